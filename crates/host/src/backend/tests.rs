//! What an attempt says of a backend server that answers strangely or not at all.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use bytes::Bytes;
use model::{HostAddr, Millis, NotRunReason, Outcome, Priority, ServiceName, UnknownReason};
use wire::ForwardHead;

use super::{Attempt, Attempted, Backend, Connection};

/// Listens on a port, reads the start of one request and sends these bytes before it hangs up.
fn answer_with(bytes: &'static [u8]) -> SocketAddr {
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

fn attempt(addr: SocketAddr) -> Attempted {
    let head = head();
    let attempt = Attempt { addr, call: 1, fence: None, head: &head, time_left: head.time_left };
    actix_rt::System::new().block_on(Backend::new().run(attempt, Bytes::new(), HostAddr(addr)))
}

#[test]
fn only_a_request_that_was_not_sent_was_not_run() {
    let check = |addr, expected: Outcome<u16>, connection| {
        let attempted = attempt(addr);
        assert_eq!(attempted.outcome.map(|(head, _)| head.status), expected);
        assert_eq!(attempted.connection, connection);
    };
    let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
    let not_connected = Outcome::NotRun(NotRunReason::NotConnected);
    check(closed_port(), not_connected, Connection::Refused);
    check(answer_with(b""), lost.clone(), Connection::Broken);
    check(answer_with(b"HTTP/1.1 20"), lost.clone(), Connection::Broken);
    check(answer_with(b"\x00nonsense\r\n\r\n"), lost, Connection::Broken);
    let refused = b"HTTP/1.1 503 Down\r\npapayarill-refused: shed\r\ncontent-length: 0\r\n\r\n";
    let not_run = Outcome::NotRun(NotRunReason::BackendRefused);
    check(answer_with(refused), not_run, Connection::Good);
    let down = b"HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n";
    check(answer_with(down), Outcome::Ran(503), Connection::Good);
}
