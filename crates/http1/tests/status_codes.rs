//! Responses whose status is not one of a final response.

use std::cell::Cell;
use std::net::SocketAddr;
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

/// Far longer than any step takes; a client that waits for a further response fails the row.
const WAIT_LIMIT: Duration = Duration::from_secs(3);

const PROPER: &str =
    "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-seal: s\r\ncontent-length: 2\r\n\r\nok";

/// Header sections and bodies of one response: with and without the seal, with each body framing.
const ENDINGS: [&str; 5] = [
    "content-length: 0\r\n\r\n",
    "attempt-id: a1\r\nserver-seal: s\r\ncontent-length: 0\r\n\r\n",
    "attempt-id: a1\r\nserver-seal: s\r\ncontent-length: 2\r\n\r\nok",
    "attempt-id: a1\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
    "server-seal: s\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
];

/// Starts a server whose first connection answers its first request with `first`. All other
/// requests, also on that connection, get a proper response. Returns the number of requests that
/// the first connection received and whether it has ended.
async fn server(first: String) -> (SocketAddr, Rc<Cell<u32>>, Rc<Cell<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, ended) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
    let (count, end) = (requests.clone(), ended.clone());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        actix_rt::spawn(async move {
            let mut request = [0; 1_024];
            let mut answer = first.as_str();
            while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                count.set(count.get() + 1);
                let _ = stream.write_all(answer.as_bytes()).await;
                answer = PROPER;
            }
            end.set(true);
        });
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                    let _ = stream.write_all(PROPER.as_bytes()).await;
                }
            });
        }
    });
    (address, requests, ended)
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "h").body(Full::default()).unwrap()
}

/// Returns what is wrong after a response with this status line and ending, if anything.
async fn fault_after(status: &str, ending: &str) -> Option<String> {
    let (address, requests, ended) = server(format!("HTTP/1.1 {status}\r\n{ending}")).await;
    let client = Client::new(address, Settings::default(), Clock::boot());

    let found = timeout(WAIT_LIMIT, client.send(request())).await;
    let after = timeout(WAIT_LIMIT, client.send(request())).await;

    let Ok(Err(SendError::Unknown { .. })) = found else { return Some(format!("{found:?}")) };
    if !after.as_ref().is_ok_and(|r| r.as_ref().is_ok_and(|r| r.status() == 200)) {
        return Some(format!("the request behind it: {after:?}"));
    }
    let closed = async {
        while !ended.get() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    if timeout(WAIT_LIMIT, closed).await.is_err() {
        return Some("the connection stays open".into());
    }
    (requests.get() != 1).then(|| format!("{} requests on the connection", requests.get()))
}

fn statuses_that_are_none() -> Vec<String> {
    let number = |n: u16| format!("{n:03} X");
    let mut all: Vec<String> = (0..=99).map(number).collect();
    all.extend([101, 102, 104, 150, 199].map(number));
    all.extend((600..=999).step_by(19).chain([600, 601, 999]).map(number));
    let odd = ["20 OK", "2 OK", "2000 OK", "0200 OK", "20", "+20 OK", "-20 OK", "+200 OK"];
    all.extend(odd.map(str::to_owned));
    let odd = [" 20 OK", "20  OK", "2 0 OK", " 200 OK", "\t200 OK", "", " ", "OK", "2x0 OK"];
    all.extend(odd.map(str::to_owned));
    all.extend(
        ["abc OK", "20O OK", "0x1 OK", "2.0 OK", "200OK", "\u{662}00 OK"].map(str::to_owned),
    );
    all
}

/// Guards against a response of a backend server in trouble, such as one with the status 000, that
/// reaches the caller as a response, and against a connection that is used again after it.
#[actix_rt::test]
async fn a_status_that_is_not_final_is_no_response() {
    let mut faults = Vec::new();
    for status in statuses_that_are_none() {
        for ending in ENDINGS {
            if let Some(fault) = fault_after(&status, ending).await {
                faults.push(format!("{status:?} {ending:?}: {fault}"));
                break;
            }
        }
    }
    assert!(faults.is_empty(), "{} rows:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against an interim response that is taken for the final one, and against one without a
/// final response that is passed on.
#[actix_rt::test]
async fn interim_responses_are_skipped() {
    let proper = PROPER;
    let rows = [
        (format!("HTTP/1.1 100 Continue\r\n\r\n{proper}"), true),
        (format!("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{proper}"), true),
        (format!("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nlink: </a>\r\n\r\n{proper}"), true),
        (format!("HTTP/1.1 103 X\r\ncontent-length: 2\r\n\r\nok{proper}"), false),
        (format!("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X\r\n\r\n{proper}"), false),
        (format!("HTTP/1.1 104 X\r\n\r\n{proper}"), false),
    ];
    for (answer, accepted) in rows {
        let (address, requests, _) = server(answer.clone()).await;
        let client = Client::new(address, Settings::default(), Clock::boot());

        let first = timeout(WAIT_LIMIT, client.send(request())).await.unwrap();
        let second = timeout(WAIT_LIMIT, client.send(request())).await.unwrap();

        assert_eq!(first.is_ok(), accepted, "{answer:?}: {first:?}");
        assert_eq!(second.unwrap().status(), 200, "{answer:?}");
        assert_eq!(requests.get(), if accepted { 2 } else { 1 }, "{answer:?}");
    }
}
