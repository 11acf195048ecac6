//! Servers that send bytes which are no answer: without end, or for another request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use http1::{Client, SendError, Settings};
use model::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Far longer than any step takes.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

const MAX_RESPONSE: usize = 1 << 20;

/// Starts a server that answers each request with `first` and then sends `endless` until its client
/// closes the connection. Returns a client, and how many bytes of `endless` were sent once the
/// connection has ended.
async fn endless_server(first: &'static str, endless: &'static str) -> (Client, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Rc::new(Cell::new(0));
    let ended = Rc::new(Cell::new(0));
    let total = ended.clone();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        let piece = endless.repeat(1_000);
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            sent.set(sent.get() + piece.len());
        }
        total.set(sent.get());
    });
    let settings = Settings { max_response_bytes: MAX_RESPONSE, ..Settings::default() };
    (Client::new(address, settings, Clock::boot()), ended)
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "h").body(Full::default()).unwrap()
}

#[actix_rt::test]
async fn bytes_without_end_are_read_only_up_to_a_limit() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n", "x-more: and more and more\r\n"),
        ("HTTP/1.1 200 OK\r\nx: ", "a value that does not end"),
        ("", "no head at all "),
        ("HTTP/1.1 200 OK\r\n\r\n", "a body that ends with its connection"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nchunk\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "extension"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "a long body"),
    ];
    for (first, endless) in cases {
        let (client, ended) = endless_server(first, endless).await;

        let result = timeout(WAIT_LIMIT, client.send(request())).await;
        let result = result.unwrap_or_else(|_| panic!("{first:?}: the client reads on"));

        assert!(matches!(result, Err(SendError::Unknown { .. })), "{first:?}: {result:?}");
        let closed = async {
            while ended.get() == 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_LIMIT, closed).await.unwrap_or_else(|_| panic!("{first:?}: still open"));
        // Besides what was read, the buffers of two sockets hold some megabytes.
        assert!(ended.get() < MAX_RESPONSE + (16 << 20), "{first:?}: {} bytes", ended.get());
    }
}

/// Starts a server whose connections answer the first request with `first`, and each later request
/// with the answer `late`, which belongs to none.
async fn repeating_server(first: &'static str, late: &'static str) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(async move {
                let mut request = [0; 1_024];
                let mut answer = first;
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    answer = late;
                }
            });
        }
    });
    Client::new(address, Settings::default(), Clock::boot())
}

#[actix_rt::test]
async fn a_connection_on_which_more_came_than_an_answer_carries_no_other_request() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none";
    let with_more = [
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none and more",
    ];
    for first in with_more {
        let client = repeating_server(first, answer).await;
        for _ in 0..3 {
            let response = client.send(request()).await.unwrap();
            assert_eq!(&response.body()[..], b"one", "{first:?}");
            // The rest of the bytes is noticed before the connection is used again.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against a request that is told not to have run although it did: a server wrote a refusal
/// once more, where the response to the same request, sent again, was due.
#[actix_rt::test]
async fn a_refusal_that_comes_twice_is_not_the_response_to_the_next_request() {
    let refusal =
        "HTTP/1.1 503 Busy\r\nattempt-id: a1\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        for first in [refusal, "HTTP/1.1 200 OK\r\nattempt-id: a1\r\ncontent-length: 3\r\n\r\nran"]
        {
            let (mut stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(async move {
                let mut request = [0; 1_024];
                let mut answer = first;
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    answer = refusal;
                }
            });
        }
    });
    let may_reuse = |head: &http::response::Parts| !head.headers.contains_key("not-executed");
    let client = Client::new(address, Settings { may_reuse, ..Settings::default() }, Clock::boot());

    let refused = client.send(request()).await.unwrap();
    let sent_again = client.send(request()).await.unwrap();

    assert_eq!((refused.status().as_u16(), sent_again.status().as_u16()), (503, 200));
}

/// Guards against a response that breaks off in its head and reaches the caller as a whole one.
#[actix_rt::test]
async fn a_head_that_breaks_off_is_no_response() {
    let heads = [
        "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-seal: s\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nattempt-id: a1\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nattempt-id: a1\r\nserver-seal: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-seal: s\r\n\r\n",
    ];
    for head in heads {
        for cut in 1..head.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await.unwrap();
                stream.write_all(&head.as_bytes()[..cut]).await.unwrap();
            });
            let client = Client::new(address, Settings::default(), Clock::boot());

            let result = client.send(request()).await;

            let broken_off = &head[..cut];
            assert!(matches!(result, Err(SendError::Unknown { .. })), "{broken_off:?}: {result:?}");
        }
    }
}
