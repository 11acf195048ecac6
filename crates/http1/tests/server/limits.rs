//! What a server connection holds: requests in progress, bytes of requests and of responses, and
//! what is left of it when its caller goes.

use std::rc::Rc;

use http1::server::{HeldBytes, Settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::{
    BIG_BYTES, REST_CHUNK_BYTES, Record, SETTLE, WAIT_LIMIT, connect, wait_until,
};

async fn send(stream: &mut TcpStream, text: &str) {
    timeout(WAIT_LIMIT, stream.write_all(text.as_bytes())).await.expect("sent").unwrap();
}

/// Waits until this number of handlers was started, and no more.
async fn started(record: &Record, count: usize) {
    wait_until("the handlers start", || record.started.borrow().len() >= count).await;
    sleep(SETTLE).await;
    assert_eq!(record.started.borrow().len(), count, "{:?}", record.started.borrow());
}

/// Writes until the server takes nothing more. Returns the number of bytes written.
async fn fill(stream: &mut TcpStream, piece: &[u8]) -> usize {
    let mut sent = 0;
    while let Ok(n) = timeout(SETTLE * 5, stream.write(piece)).await {
        sent += n.unwrap();
    }
    sent
}

/// What two sockets on one machine may buffer.
const MAX_SOCKET_BYTES: usize = 16 << 20;

/// Guards against a caller that occupies the process with requests without end.
#[actix_rt::test]
async fn requests_in_progress_are_limited_in_number() {
    let settings = Settings { max_requests: 4, ..Settings::default() };
    let (mut stream, record) = connect(settings, None).await;
    for i in 0..6 {
        send(&mut stream, &format!("GET /wait-{i} HTTP/1.1\r\n\r\n")).await;
    }
    started(&record, 4).await;
    // A response that stands behind a missing one frees no place.
    record.release("/wait-1");
    started(&record, 4).await;
    record.release("/wait-0");
    started(&record, 6).await;

    let sent = fill(&mut stream, &b"GET /wait-x HTTP/1.1\r\n\r\n".repeat(1_000)).await;

    assert!(sent < MAX_SOCKET_BYTES, "{sent} bytes were taken");
    assert!(record.most_held.get().unread <= 8 << 10, "{:?}", record.most_held.get());
    assert_eq!(record.started.borrow().len(), 6);
}

/// Guards against bodies without end that are read for requests which can't start yet, or whose
/// handlers don't read.
#[actix_rt::test]
async fn unread_bytes_of_requests_are_limited() {
    let max_unread_bytes = Settings::default().max_unread_bytes;
    let body = "Transfer-Encoding: chunked\r\n\r\n";
    for behind in ["POST /p HTTP/1.1\r\n", "GET /wait-b HTTP/1.1\r\n"] {
        let (mut stream, record) = connect(Settings::default(), None).await;
        send(&mut stream, &format!("GET /wait-a HTTP/1.1\r\n\r\n{behind}{body}")).await;

        let sent = fill(&mut stream, &b"5\r\nchunk\r\n".repeat(10_000)).await;

        let most = record.most_held.get().unread;
        assert!(sent < MAX_SOCKET_BYTES, "{behind}: {sent} bytes were taken");
        assert!(most >= max_unread_bytes / 2, "{behind}: only {most} bytes are held");
        assert!(most <= 2 * max_unread_bytes, "{behind}: {most} bytes are held");
    }
}

/// Guards against a caller that requests much and reads nothing, or slowly.
#[actix_rt::test]
async fn no_request_starts_while_many_bytes_wait_to_be_written() {
    let (mut stream, record) = connect(Settings::default(), Some(16 << 10)).await;
    for _ in 0..20 {
        send(&mut stream, "GET /big HTTP/1.1\r\n\r\n").await;
        sleep(SETTLE / 10).await;
    }
    sleep(SETTLE).await;
    let before = record.started.borrow().len();
    let held = record.held.get().unwritten;

    let mut read = 0;
    let mut buf = vec![0; 1 << 20];
    while read < 20 * BIG_BYTES {
        read += timeout(WAIT_LIMIT, stream.read(&mut buf)).await.expect("read on").unwrap();
    }

    assert!(before < 10, "{before} requests were started");
    assert!((1..=2 * BIG_BYTES + (1 << 20)).contains(&held), "{held} bytes were held");
    assert_eq!(record.started.borrow().len(), 20);
    wait_until("the guards are dropped", || record.guards.get() == 0).await;
    wait_until("nothing is held", || record.held.get() == HeldBytes::default()).await;
}

/// Guards against a request that must not run twice and starts while a response before it is still
/// being written: the caller may lose that response, and send both again.
#[actix_rt::test]
async fn a_request_that_must_not_run_twice_waits_until_responses_are_written() {
    let settings = Settings { max_unwritten_bytes: 8 * BIG_BYTES, ..Settings::default() };
    let (mut stream, record) = connect(settings, Some(16 << 10)).await;
    for _ in 0..5 {
        send(&mut stream, "GET /big HTTP/1.1\r\n\r\n").await;
    }
    send(&mut stream, "POST /p HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n").await;
    wait_until("the lookup starts", || record.started.borrow().contains(&"/c".to_owned())).await;
    sleep(SETTLE).await;

    assert!(record.held.get().unwritten > 0, "everything is written already");
    assert!(!record.started.borrow().contains(&"/p".to_owned()), "started early");
    let mut read = 0;
    let mut buf = vec![0; 1 << 20];
    while !record.started.borrow().contains(&"/p".to_owned()) {
        read += timeout(WAIT_LIMIT, stream.read(&mut buf)).await.expect("read on").unwrap();
    }
    // The sockets hold some megabytes of the rest.
    assert!(read > 2 * BIG_BYTES, "started after {read} bytes were read");
}

/// Guards against work that goes on for a caller that has left, also while the connection reads
/// nothing.
#[actix_rt::test]
async fn a_caller_that_leaves_cancels_its_handlers() {
    let close: fn(TcpStream) = drop;
    let reset: fn(TcpStream) = |stream| {
        socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    };
    let rows = [
        ("closed, one request", 1, 0, close),
        ("reset, one request", 1, 0, reset),
        ("closed, as many requests as may run", 16, 0, close),
        ("reset, as many requests as may run", 16, 0, reset),
        ("closed, with unread requests", 16, 9, close),
        ("reset, with unread requests", 16, 9, reset),
    ];
    for (name, running, more, leave) in rows {
        let (mut stream, record) = connect(Settings::default(), None).await;
        for _ in 0..running {
            send(&mut stream, "GET /wait HTTP/1.1\r\n\r\n").await;
        }
        started(&record, running).await;
        for _ in 0..more {
            send(&mut stream, "GET /wait HTTP/1.1\r\n\r\n").await;
        }
        sleep(SETTLE).await;

        leave(stream);

        wait_until(&format!("{name}: the connection goes on"), || record.ended.get()).await;
        assert_eq!(record.cancelled.borrow().len(), running, "{name}");
        assert_eq!(record.started.borrow().len(), running, "{name}");
    }
}

/// Guards against input without end that nobody reads, and against a response that is lost because
/// the connection is closed with unread input.
#[actix_rt::test]
async fn a_body_that_is_not_read_is_discarded_up_to_a_limit() {
    let settings = Settings { max_discarded_bytes: 100_000, ..Settings::default() };
    let cases = [
        ("a known length within the limit", "Content-Length: 90000\r\n\r\n", false),
        ("a known length beyond the limit", "Content-Length: 900000000\r\n\r\n", true),
        ("chunks beyond the limit", "Transfer-Encoding: chunked\r\n\r\n", true),
    ];
    for (name, head, closes) in cases {
        let (mut stream, record) = connect(settings, None).await;
        send(&mut stream, &format!("POST /p HTTP/1.1\r\n{head}")).await;
        let body = b"a\r\n0123456789\r\n".repeat(6_000);
        // The connection may be closed at any time.
        let _ = timeout(WAIT_LIMIT, stream.write_all(&body)).await.expect(name);
        let mut received = vec![0; 12];
        timeout(WAIT_LIMIT, stream.read_exact(&mut received)).await.expect(name).unwrap();

        assert_eq!(received, b"HTTP/1.1 200", "{name}");
        let piece = vec![b'x'; 10_000];
        let end = async { while !record.ended.get() && stream.write_all(&piece).await.is_ok() {} };
        if closes {
            timeout(WAIT_LIMIT, end).await.unwrap_or_else(|_| panic!("{name}: it reads on"));
            wait_until(name, || record.ended.get()).await;
        } else {
            sleep(SETTLE).await;
            assert!(!record.ended.get(), "{name}: closed");
        }
        drop(stream);
        wait_until(name, || record.ended.get()).await;
        assert_eq!(Rc::strong_count(&record.guards), 1, "{name}");
    }
}

/// Guards against memory that is taken and not counted: heads of requests that wait or run, responses
/// with their heads, and buffers.
#[actix_rt::test]
async fn all_that_a_connection_allocates_is_counted() {
    const LENGTH: usize = 10_000;
    let long = "c".repeat(LENGTH);
    let rows = [
        ("half a head", format!("GET /a HTTP/1.1\r\nCookie: {long}"), LENGTH),
        ("running", format!("GET /wait HTTP/1.1\r\nCookie: {long}\r\n\r\n").repeat(4), 4 * LENGTH),
        (
            "waiting",
            "GET /wait HTTP/1.1\r\n\r\n".to_owned()
                + &format!("POST /p HTTP/1.1\r\nCookie: {long}\r\n\r\n").repeat(4),
            4 * LENGTH,
        ),
        (
            "body behind a request",
            format!(
                "GET /wait HTTP/1.1\r\n\r\nPOST /p HTTP/1.1\r\nContent-Length: 20000\r\n\r\n{long}"
            ),
            LENGTH,
        ),
        ("short fields", format!("GET /wait HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(90)), 90 * 100),
    ];
    for (name, text, bytes) in rows {
        let (mut stream, record) = connect(Settings::default(), None).await;
        send(&mut stream, &text).await;

        let counted = || record.held.get().allocated >= bytes;
        wait_until(&format!("{name}: not counted"), counted).await;

        drop(stream);
        wait_until(name, || record.ended.get()).await;
        assert_eq!(record.held.get(), HeldBytes::default(), "{name}");
    }
}

/// Guards against unread responses that aren't counted because they were copied, and against blaming
/// a caller for requests that wait for their responses.
#[actix_rt::test]
async fn what_waits_for_the_caller_is_told_apart() {
    let (mut stream, record) = connect(Settings::default(), None).await;
    send(&mut stream, "GET /wait HTTP/1.1\r\n\r\n").await;
    started(&record, 1).await;
    let running = record.held.get();
    send(&mut stream, "GET /half HTTP/1.1\r\n").await;
    sleep(SETTLE).await;
    let half = record.held.get();
    drop(stream);

    let (mut stream, unread) = connect(Settings::default(), Some(4 << 10)).await;
    fill(&mut stream, &b"GET /a HTTP/1.1\r\n\r\n".repeat(1_000)).await;

    assert!(running.allocated > 0 && running.awaiting_caller == 0, "{running:?}");
    assert!(half.awaiting_caller >= 20, "{half:?}");
    let held = unread.held.get();
    assert!(held.unwritten >= 100_000 && held.awaiting_caller >= 100_000, "{held:?}");
    assert!(held.allocated >= held.awaiting_caller, "{held:?}");
}

/// Guards against input that is read without room for it, and a connection that stays asleep.
#[actix_rt::test]
async fn nothing_is_read_until_there_is_room() {
    let (mut stream, record) = connect(Settings::default(), None).await;
    record.full.set(true);

    send(&mut stream, "GET /a HTTP/1.1\r\n\r\n").await;
    started(&record, 0).await;
    record.freed.notify_one();
    started(&record, 0).await;
    record.full.set(false);
    record.freed.notify_one();

    started(&record, 1).await;
}

/// Guards against a connection that waits for room and isn't closed when its caller leaves.
#[actix_rt::test]
async fn a_caller_that_leaves_ends_the_wait_for_room() {
    let (mut stream, record) = connect(Settings::default(), None).await;
    record.full.set(true);
    send(&mut stream, "GET /a HTTP/1.1\r\n\r\n").await;
    sleep(SETTLE).await;

    drop(stream);

    wait_until("the connection goes on", || record.ended.get()).await;
}

/// Guards against callers that pipeline while memory is short.
#[actix_rt::test]
async fn one_request_is_taken_at_a_time_while_memory_is_short() {
    let (mut stream, record) = connect(Settings::default(), None).await;
    record.short.set(true);
    for i in 0..3 {
        send(&mut stream, &format!("GET /wait-{i} HTTP/1.1\r\n\r\n")).await;
    }
    started(&record, 1).await;

    record.release("/wait-0");
    started(&record, 2).await;
    record.short.set(false);
    record.release("/wait-1");

    started(&record, 3).await;
}

/// Guards against a caller that keeps the process busy with requests that nobody serves, and against
/// slowing down one whose requests are served in between.
#[actix_rt::test]
async fn requests_that_nobody_serves_are_taken_slowly() {
    let unserved = "GET /unserved HTTP/1.1\r\n\r\n";
    let served = "GET /a HTTP/1.1\r\n\r\n";
    let rows = [
        ("unserved", unserved.repeat(200), 16..=24),
        ("served", served.repeat(200), 200..=200),
        ("in between", (unserved.repeat(10) + served).repeat(18), 198..=198),
    ];
    for (name, text, expected) in rows {
        let (mut stream, record) = connect(Settings::default(), None).await;

        send(&mut stream, &text).await;
        wait_until(name, || record.started.borrow().len() >= *expected.start()).await;
        sleep(SETTLE).await;

        let count = record.started.borrow().len();
        assert!(expected.contains(&count), "{name}: {count} requests were taken");
    }
}

/// Guards against input that piles up because more is read for each request that is taken.
#[actix_rt::test]
async fn nothing_is_read_before_the_requests_that_were_read() {
    let rows = [
        ("memory is short", true, "GET /a HTTP/1.1\r\n\r\n"),
        ("not served", false, "GET /unserved HTTP/1.1\r\n\r\n"),
        ("served at once", false, "GET /a HTTP/1.1\r\n\r\n"),
    ];
    for (name, short, request) in rows {
        let (mut stream, record) = connect(Settings::default(), None).await;
        record.short.set(short);

        send(&mut stream, &request.repeat(5_000)).await;
        wait_until(name, || record.started.borrow().len() >= 16).await;
        sleep(SETTLE).await;

        let most = record.most_held.get().unread;
        assert!(most <= 8 << 10, "{name}: {most} bytes are held");
    }
}

/// Guards against responses that nobody reads and that nobody counts, since the system has taken
/// them.
#[actix_rt::test]
async fn a_response_that_is_not_read_stays_with_the_connection() {
    let (mut stream, record) = connect(Settings::default(), Some(4 << 10)).await;

    send(&mut stream, "GET /big HTTP/1.1\r\n\r\n").await;
    started(&record, 1).await;
    wait_until("the response is written", || record.held.get().unwritten > 0).await;
    sleep(SETTLE).await;

    let held = record.held.get();
    assert!(held.unwritten >= BIG_BYTES - (128 << 10), "{held:?} of {BIG_BYTES}");
}

/// Guards against streamed responses that nobody reads, and that are taken from their source all the
/// same, or not counted.
#[actix_rt::test]
async fn a_streamed_response_that_is_not_read_is_not_taken() {
    let (mut stream, record) = connect(Settings::default(), Some(4 << 10)).await;

    send(&mut stream, "GET /stream/-/rest HTTP/1.1\r\n\r\n").await;
    started(&record, 1).await;
    sleep(SETTLE).await;

    let held = record.held.get();
    let expected = REST_CHUNK_BYTES..=4 * REST_CHUNK_BYTES;
    assert!(expected.contains(&held.unwritten), "{held:?}");
    assert!(held.awaiting_caller >= held.unwritten, "{held:?}");
}
