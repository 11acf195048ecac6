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
    check(serve_response(b"HTTP/1.1 20"), lost, ConnectionHealth::Broken);
    let invalid = Outcome::Unknown(UnknownReason::InvalidResponse);
    check(serve_response(b"\x00nonsense\r\n\r\n"), invalid, ConnectionHealth::Broken);
    let refused = b"HTTP/1.1 503 Down\r\npapayarill-refused: shed\r\ncontent-length: 0\r\n\r\n";
    let not_run = Outcome::NotRun(NotRunReason::BackendRefused);
    check(serve_response(refused), not_run, ConnectionHealth::Healthy);
    let down = b"HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n";
    check(serve_response(down), Outcome::Ran(503), ConnectionHealth::Healthy);
}

/// Starts a server whose first connection answers its first request with `first`. All other requests
/// get a proper response, which names the connection.
fn serve_kept(first: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut first = Some(first);
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            let mut answer = first.take();
            thread::spawn(move || {
                let proper = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                while stream.read(&mut [0; 65_536]).is_ok_and(|n| n > 0) {
                    let bytes = answer.take().unwrap_or_else(|| proper.clone());
                    if stream.write_all(bytes.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Sends two requests. Returns the outcome of the first, and the status of the second with its body,
/// which names the connection.
async fn run_twice(addr: SocketAddr) -> (Outcome<u16>, Outcome<(u16, String)>) {
    let backend = Backend::new();
    let head = ForwardHead { method: "GET".into(), time_left: Millis(3_000), ..head() };
    let run = || {
        let (fence, time_left) = (None, head.time_left);
        let attempt = Attempt { addr, attempt_id: 1, fence, head: &head, time_left };
        backend.run(attempt, Bytes::new(), HostAddr(addr))
    };
    let first = match run().await.outcome {
        Outcome::Ran((head, body)) => {
            let _ = body.try_collect::<Vec<Bytes>>().await;
            Outcome::Ran(head.status)
        }
        other => other.map(|(head, _)| head.status),
    };
    let second = match run().await.outcome {
        Outcome::Ran((head, body)) => {
            let body = body.try_collect::<Vec<Bytes>>().await.unwrap_or_default().concat();
            Outcome::Ran((head.status, String::from_utf8_lossy(&body).into_owned()))
        }
        other => other.map(|(head, _)| (head.status, String::new())),
    };
    (first, second)
}

/// Guards against a response of a backend server in trouble, such as one with the status 000, that
/// reaches the caller as a response, and against a connection that is used again after it: an
/// interim response taken for the final one leaves the final one to the next request.
#[test]
fn a_status_that_is_not_final_is_no_response() {
    let sealed = "server-seal: s\r\ncontent-length: 0\r\n\r\n";
    let refusal = "papayarill-refused: shed\r\ncontent-length: 0\r\n\r\n";
    let endings = ["content-length: 0\r\n\r\n", sealed, refusal, "content-length: 2\r\n\r\nok"];
    let number = |n: u16| format!("{n:03} X");
    let mut statuses: Vec<String> = (0..=99).map(number).collect();
    statuses.extend([101, 102, 104, 150, 199].map(number));
    statuses.extend((600..=999).step_by(19).chain([600, 601, 999]).map(number));
    let odd = ["20 OK", "2000 OK", "0200 OK", "20", "+20 OK", "-20 OK", "+200 OK", " 200 OK"];
    statuses.extend(odd.map(str::to_owned));
    let odd = ["20  OK", "2 0 OK", "\t200 OK", "", " ", "OK", "2x0 OK", "abc OK", "200OK"];
    statuses.extend(odd.map(str::to_owned));
    let mut rows: Vec<String> = Vec::new();
    for status in &statuses {
        rows.extend(endings.map(|ending| format!("HTTP/1.1 {status}\r\n{ending}")));
    }
    rows.push("HTTP/1.1\r\n\r\n".into());
    rows.push("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n".into());
    rows.push("HTTP/1.1 103 X\r\ncontent-length: 2\r\n\r\nok".into());
    let expected =
        (Outcome::Unknown(UnknownReason::InvalidResponse), Outcome::Ran((200, "1".to_owned())));

    let mut faults = Vec::new();
    for answer in rows {
        let found = System::new().block_on(run_twice(serve_kept(answer.clone())));
        if found != expected {
            faults.push(format!("{answer:?}: {found:?}"));
        }
    }

    assert!(faults.is_empty(), "{} rows:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against an interim response that is passed on in place of the final one.
#[test]
fn interim_responses_are_skipped() {
    let proper = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n0";
    let rows = [
        format!("HTTP/1.1 100 Continue\r\n\r\n{proper}"),
        format!("HTTP/1.1 103 X\r\nlink: </a>\r\n\r\n{proper}"),
        format!("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nlink: </a>\r\n\r\n{proper}"),
    ];
    for answer in rows {
        let found = System::new().block_on(run_twice(serve_kept(answer.clone())));

        assert_eq!(found, (Outcome::Ran(200), Outcome::Ran((200, "0".into()))), "{answer:?}");
    }
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
