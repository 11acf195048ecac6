//! The memory that a client holds while it reads. The only test of its process, which it measures.

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

const WAIT_LIMIT: Duration = Duration::from_secs(60);

const MAX_RESPONSE: usize = 2 << 10;

/// What a client may hold for a response: its buffers, but not one for each byte.
const MAX_HELD: usize = 4 << 20;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse::<usize>().unwrap() << 10
}

/// Starts a server that answers with `first` and then sends `piece` by itself until its client closes
/// the connection. Returns a client, and the largest resident memory that was seen meanwhile.
async fn piecewise_server(first: &'static str, piece: &'static str) -> (Client, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peak = Rc::new(Cell::new(0));
    let seen = peak.clone();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        for i in 0.. {
            if stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            // The client reads this piece before the next one is sent.
            tokio::time::sleep(Duration::from_micros(100)).await;
            if i % 64 == 0 {
                seen.set(seen.get().max(resident_bytes()));
            }
        }
    });
    let settings = Settings { max_response_bytes: MAX_RESPONSE, ..Settings::default() };
    (Client::new(address, settings, Clock::boot()), peak)
}

/// Guards against a process that is killed for its memory: each piece of a body kept the buffer
/// alive that it was read into, so that the limit on the sum of the lengths bounded nothing.
#[actix_rt::test]
async fn a_body_in_small_pieces_takes_no_more_memory_than_its_limit() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n", "x"),
    ];
    for (first, piece) in cases {
        let (client, peak) = piecewise_server(first, piece).await;
        let request = Request::get("/").header("host", "h").body(Full::<Bytes>::default()).unwrap();
        let before = resident_bytes();

        let result = timeout(WAIT_LIMIT, client.send(request)).await;

        let result = result.unwrap_or_else(|_| panic!("{first:?}: the client reads on"));
        assert!(matches!(result, Err(SendError::Unknown { .. })), "{first:?}: {result:?}");
        let held = peak.get().saturating_sub(before);
        assert!(held < MAX_HELD, "{first:?}: {held} bytes for {MAX_RESPONSE}");
    }
}
