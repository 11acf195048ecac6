//! What the client reports of a request is true, wherever its connection breaks.

use awc::Client;
use awc::error::SendRequestError;
use http_client::{BodyFraming, ClientLimits, Delivery, body_framing, client, delivery_of};
use model::Millis;
use stand_ins::backend::{Backend, BackendSettings, Fences, start};
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

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seen {
    Whole(u16, Vec<u8>),
    Cut,
    Broken(Delivery),
}

async fn get(client: &Client, url: String) -> Seen {
    match client.get(url).send().await {
        Ok(mut answer) => match answer.body().limit(1 << 30).await {
            Ok(body) => Seen::Whole(answer.status().as_u16(), body.to_vec()),
            Err(_) => Seen::Cut,
        },
        Err(e) => Seen::Broken(delivery_of(&e)),
    }
}

/// Answers one request on each connection with raw bytes and closes it.
async fn raw_server(answer: Vec<u8>) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(io.read_u8().await.unwrap());
            }
            io.write_all(&answer).await.unwrap();
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

/// Cuts an answer at every byte and returns what a client saw.
async fn every_cut(client: &Client, answer: &[u8]) -> Vec<Seen> {
    let mut seen = Vec::new();
    for end in 0..answer.len() {
        let url = raw_server(answer[..end].to_vec()).await;
        seen.push(get(client, url).await);
    }
    seen
}

fn lies(seen: &[Seen]) -> usize {
    seen.iter().filter(|s| matches!(s, Seen::Whole(..) | Seen::Broken(Delivery::NotSent))).count()
}

#[test]
fn an_answer_cut_at_any_byte_is_no_whole_answer() {
    run(async {
        for answer in [SIZED, CHUNKED] {
            let seen = every_cut(&strict(), answer).await;
            assert_eq!(lies(&seen), 0, "{seen:?}");
            let whole = get(&strict(), raw_server(answer.to_vec()).await).await;
            assert_eq!(whole, Seen::Whole(200, b"menu".to_vec()));
        }
    });
}

/// The same check with awc as it comes, to see that it can fail.
#[test]
fn the_cut_check_notices_a_client_that_takes_cuts_for_ends() {
    run(async {
        for answer in [SIZED, CHUNKED] {
            let seen = every_cut(&Client::default(), answer).await;
            assert!(lies(&seen) > 0, "{seen:?}");
        }
    });
}

#[test]
fn an_answer_that_ends_with_its_connection_is_not_known_to_be_whole() {
    run(async {
        let url = raw_server(UNTIL_CLOSE.to_vec()).await;
        assert_eq!(get(&strict(), url).await, Seen::Cut);
    });
}

/// awc takes bodies that end with their connection for empty, so the head has to be looked at.
#[test]
fn the_head_tells_where_the_body_ends() {
    let check = |method: &'static str, head: &str, expected: BodyFraming| {
        run(async {
            let url = raw_server(format!("HTTP/1.1 {head}\r\n\r\n").into_bytes()).await;
            let answer = strict().request(method.parse().unwrap(), url).send().await.unwrap();
            let found = body_framing(method, answer.status(), answer.headers());
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
fn a_redirect_is_an_answer_like_any_other() {
    run(async {
        let url = raw_server(REDIRECT.to_vec()).await;
        assert_eq!(get(&strict(), url).await, Seen::Whole(302, Vec::new()));
    });
}

fn backend() -> Backend {
    start(&BackendSettings::new("playlists").fences(Fences::Unchecked)).unwrap()
}

#[test]
fn a_lost_answer_is_told_from_a_lost_request() {
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
fn connections_are_used_again() {
    run(async {
        let server = backend();
        let client = client(ClientLimits {
            max_connections: 1,
            connect_timeout: Millis(10_000),
            idle_timeout: Millis(2_000),
        });
        for _ in 0..100 {
            let seen = get(&client, format!("http://{}/", server.addr())).await;
            assert!(matches!(seen, Seen::Whole(200, _)));
        }
    });
}
