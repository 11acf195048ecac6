//! Attempts against backend servers that refuse connections or send malformed or incomplete
//! responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use actix_rt::System;
use bytes::Bytes;
use futures_util::TryStreamExt;
use model::{HostAddr, Millis, NotRunReason, Outcome, Priority, ServiceName, UnknownReason};
use wire::ForwardHead;

use super::{Attempt, AttemptResult, Backend, ConnectionHealth};

/// Starts a server that reads the start of one request, sends `bytes` and closes the connection.
fn serve_response(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let count = stream.read(&mut [0; 65_536]).expect("a request");
        assert!(count > 0);
        stream.write_all(bytes).expect("an open connection");
    });
    addr
}

fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn head() -> ForwardHead {
    ForwardHead {
        service: ServiceName::new("alert-dispatch").expect("a name"),
        partition: None,
        id: None,
        digest: 0,
        priority: Priority::Interactive,
        time_left: Millis(20_000),
        rule: None,
        method: "POST".into(),
        target: "/orders".into(),
        headers: Vec::new(),
        body_length: 0,
    }
}

async fn attempt(addr: SocketAddr, method: &str) -> AttemptResult {
    let head = ForwardHead { method: method.into(), ..head() };
    let attempt =
        Attempt { addr, attempt_id: 1, fence: None, head: &head, time_left: head.time_left };
    Backend::new().run(attempt, Bytes::new(), HostAddr(addr)).await
}

#[test]
fn only_an_unsent_request_counts_as_not_run() {
    let check = |addr, expected: Outcome<u16>, connection| {
        let result = System::new().block_on(attempt(addr, "POST"));
        assert_eq!(result.outcome.map(|(head, _)| head.status), expected);
        assert_eq!(result.connection, connection);
    };
    let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
    let not_connected = Outcome::NotRun(NotRunReason::NotConnected);
    check(closed_port(), not_connected, ConnectionHealth::Refused);
    check(serve_response(b""), lost.clone(), ConnectionHealth::Broken);
    check(serve_response(b"HTTP/1.1 20"), lost.clone(), ConnectionHealth::Broken);
    check(serve_response(b"\x00nonsense\r\n\r\n"), lost, ConnectionHealth::Broken);
    let refused = b"HTTP/1.1 503 Down\r\npapayarill-refused: shed\r\ncontent-length: 0\r\n\r\n";
    let not_run = Outcome::NotRun(NotRunReason::BackendRefused);
    check(serve_response(refused), not_run, ConnectionHealth::Healthy);
    let down = b"HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n";
    check(serve_response(down), Outcome::Ran(503), ConnectionHealth::Healthy);
}

/// The declared length and the body of a response, or `None` if the body is not known to be
/// complete.
type CompleteResponse = Option<(Option<u64>, String)>;

async fn receive(addr: SocketAddr, method: &str) -> CompleteResponse {
    let Outcome::Ran((head, body)) = attempt(addr, method).await.outcome else {
        return None;
    };
    let chunks: Result<Vec<Bytes>, _> = body.try_collect().await;
    let text = String::from_utf8(chunks.ok()?.concat()).ok()?;
    Some((head.body_length, text))
}

#[test]
fn only_complete_responses_are_accepted() {
    let check = |method: &str, bytes: &'static [u8], expected: Option<(Option<u64>, &str)>| {
        let received = System::new().block_on(receive(serve_response(bytes), method));
        let expected = expected.map(|(length, text)| (length, text.to_owned()));
        assert_eq!(received, expected, "{method} {}", String::from_utf8_lossy(bytes));
    };
    check("GET", b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull", Some((Some(4), "full")));
    check("GET", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", None);
    let chunked: &[u8] =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n";
    check("GET", chunked, Some((None, "full")));
    check("GET", &chunked[..chunked.len() - 5], None);
    // These bodies end with the connection, so a truncated one is indistinguishable from a
    // complete one.
    check("GET", b"HTTP/1.1 200 OK\r\n\r\nhalf", None);
    check("GET", b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf", None);
    check("GET", b"HTTP/1.0 200 OK\r\n\r\nhalf", None);
    // These responses have no body, regardless of the declared length.
    check("HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n", Some((Some(0), "")));
    check("GET", b"HTTP/1.1 304 Same\r\ncontent-length: 4\r\n\r\n", Some((Some(0), "")));
    check("POST", b"HTTP/1.1 204 None\r\n\r\n", Some((Some(0), "")));
}
