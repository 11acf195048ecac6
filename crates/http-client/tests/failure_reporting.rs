//! The client reports the result of a request correctly wherever the connection fails.

use awc::Client;
use awc::error::SendRequestError;
use http_client::{BodyFraming, ClientLimits, Delivery, body_framing, client, delivery_of};
use model::Millis;
use stand_ins::backend::{Backend, BackendSettings, FenceChecking, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn strict() -> Client {
    client(ClientLimits {
        max_connections: 10,
        connect_timeout: Millis(10_000),
        idle_timeout: Millis(2_000),
    })
}

/// The result of a request as the client reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reported {
    Complete(u16, Vec<u8>),
    Truncated,
    NoResponse(Delivery),
}

async fn get(client: &Client, url: String) -> Reported {
    match client.get(url).send().await {
        Ok(mut response) => match response.body().limit(1 << 30).await {
            Ok(body) => Reported::Complete(response.status().as_u16(), body.to_vec()),
            Err(_) => Reported::Truncated,
        },
        Err(e) => Reported::NoResponse(delivery_of(&e)),
    }
}

/// Starts a server that answers one request per connection with raw bytes and closes it.
async fn raw_server(response: Vec<u8>) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(io.read_u8().await.unwrap());
            }
            io.write_all(&response).await.unwrap();
            io.shutdown().await.unwrap();
        }
    });
    format!("http://{addr}/")
}

const SIZED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmenu";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nme\r\n2\r\nnu\r\n0\r\n\r\n";
const UNTIL_CLOSE: &[u8] = b"HTTP/1.0 200 OK\r\n\r\nmenu";
const REDIRECT: &[u8] =
    b"HTTP/1.1 302 Found\r\nlocation: http://127.0.0.1:9/\r\ncontent-length: 0\r\n\r\n";

/// Truncates a response at every byte and returns what the client reports.
async fn truncate_at_every_byte(client: &Client, response: &[u8]) -> Vec<Reported> {
    let mut reported = Vec::new();
    for end in 0..response.len() {
        let url = raw_server(response[..end].to_vec()).await;
        reported.push(get(client, url).await);
    }
    reported
}

/// Counts the reports that are wrong for a truncated response.
fn count_false_reports(reported: &[Reported]) -> usize {
    reported
        .iter()
        .filter(|s| matches!(s, Reported::Complete(..) | Reported::NoResponse(Delivery::NotSent)))
        .count()
}

#[test]
fn a_response_truncated_at_any_byte_is_not_complete() {
    run(async {
        for response in [SIZED, CHUNKED] {
            let reported = truncate_at_every_byte(&strict(), response).await;
            assert_eq!(count_false_reports(&reported), 0, "{reported:?}");
            let complete = get(&strict(), raw_server(response.to_vec()).await).await;
            assert_eq!(complete, Reported::Complete(200, b"menu".to_vec()));
        }
    });
}

/// Runs the same check with awc's default client, to show that the check can fail.
#[test]
fn the_truncation_check_detects_a_client_that_ignores_truncation() {
    run(async {
        for response in [SIZED, CHUNKED] {
            let reported = truncate_at_every_byte(&Client::default(), response).await;
            assert!(count_false_reports(&reported) > 0, "{reported:?}");
        }
    });
}

#[test]
fn a_response_that_ends_on_close_is_not_known_to_be_complete() {
    run(async {
        let url = raw_server(UNTIL_CLOSE.to_vec()).await;
        assert_eq!(get(&strict(), url).await, Reported::Truncated);
    });
}

/// awc treats bodies that end when the connection is closed as empty, so the caller has to inspect
/// the head.
#[test]
fn the_head_determines_the_body_framing() {
    let check = |method: &'static str, head: &str, expected: BodyFraming| {
        run(async {
            let url = raw_server(format!("HTTP/1.1 {head}\r\n\r\n").into_bytes()).await;
            let response = strict().request(method.parse().unwrap(), url).send().await.unwrap();
            let found = body_framing(method, response.status(), response.headers());
            assert_eq!(found, expected, "{method} {head}");
        });
    };
    check("GET", "200 OK", BodyFraming::UntilClose);
    check("GET", "200 OK\r\nconnection: close", BodyFraming::UntilClose);
    check("POST", "404 None", BodyFraming::UntilClose);
    check("GET", "200 OK\r\ncontent-length: 4", BodyFraming::Length(4));
    check("GET", "200 OK\r\ntransfer-encoding: chunked", BodyFraming::Chunked);
    check("GET", "204 None", BodyFraming::Length(0));
    check("GET", "304 Same\r\ncontent-length: 4", BodyFraming::Length(0));
    check("HEAD", "200 OK\r\ncontent-length: 4", BodyFraming::Length(0));
}

#[test]
fn a_redirect_is_not_followed() {
    run(async {
        let url = raw_server(REDIRECT.to_vec()).await;
        assert_eq!(get(&strict(), url).await, Reported::Complete(302, Vec::new()));
    });
}

fn backend() -> Backend {
    start(&BackendSettings::new("playlists").fences(FenceChecking::Unchecked)).unwrap()
}

#[test]
fn a_lost_response_is_distinguished_from_an_unsent_request() {
    run(async {
        let server = backend();
        let lost = strict()
            .get(format!("http://{}/", server.addr()))
            .insert_header(("stand-in-fault", "lose-answer"))
            .send()
            .await;
        let free = TcpListener::bind(("127.0.0.1", 0)).await.unwrap().local_addr().unwrap();
        let refused: Result<_, SendRequestError> =
            strict().get(format!("http://{free}/")).send().await;

        assert_eq!(delivery_of(&lost.err().unwrap()), Delivery::MaybeSent);
        assert_eq!(server.runs().len(), 1);
        assert_eq!(delivery_of(&refused.err().unwrap()), Delivery::NotSent);
    });
}

#[test]
fn connections_are_reused() {
    run(async {
        let server = backend();
        let client = client(ClientLimits {
            max_connections: 1,
            connect_timeout: Millis(10_000),
            idle_timeout: Millis(2_000),
        });
        for _ in 0..100 {
            let reported = get(&client, format!("http://{}/", server.addr())).await;
            assert!(matches!(reported, Reported::Complete(200, _)));
        }
    });
}
