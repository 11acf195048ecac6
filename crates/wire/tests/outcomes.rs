//! The client reports the outcome of a request correctly wherever the connection fails.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use common::proxy::{ByteLimit, Proxy};
use common::{LONG, collect, config_call, echo, head, listener, ran, run, server};
use futures_util::FutureExt;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use model::{HostAddr, Millis, NotRunReason, Outcome, UnknownReason};
use tokio::net::TcpListener;
use wire::codec::encode_outcome;
use wire::{BlockedPeers, BodyError, CallError, Client, ClientSettings, Reply, full_body};

const BODY: &[u8] = b"one order for the survey crew at Tsumeb";

fn client() -> Client {
    Client::new(ClientSettings::default())
}

/// The outcome of one request as the client reports it, without the response head.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reported {
    Complete(Bytes),
    Incomplete(BodyError),
    NotRun(NotRunReason),
    Unknown(UnknownReason),
}

async fn forward(client: &Client, to: HostAddr, time_left: Millis) -> Reported {
    match client.forward(to, head(time_left), Bytes::from_static(BODY)).await {
        Outcome::Ran((_, body)) => {
            collect(body).await.map_or_else(Reported::Incomplete, Reported::Complete)
        }
        Outcome::NotRun(reason) => Reported::NotRun(reason),
        Outcome::Unknown(reason) => Reported::Unknown(reason),
    }
}

/// What a faulty peer does with the requests that it receives.
#[derive(Clone, Copy, Debug)]
enum PeerFault {
    CloseBeforeReading,
    CloseAfterReading,
    Reset(Reason),
    NoResponse,
    Status(StatusCode),
    Raw(&'static [u8]),
    Head {
        announced: Option<u64>,
        sent: &'static [u8],
    },
    /// Passes on a response with this status.
    HeadStatus(u16),
    ReportNotRun,
    ReportUnknown,
}

/// Starts a peer that speaks HTTP/2, responds to pings and injects `fault` into every request.
async fn faulty_peer(fault: PeerFault) -> HostAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = HostAddr(listener.local_addr().unwrap());
    tokio::task::spawn_local(async move {
        let (io, _) = listener.accept().await.unwrap();
        let mut conn = h2::server::handshake(io).await.unwrap();
        let mut tasks = Vec::new();
        while let Some(Ok((req, tx))) = conn.accept().await {
            if matches!(fault, PeerFault::CloseBeforeReading) {
                return;
            }
            let (done_tx, done) = tokio::sync::oneshot::channel::<()>();
            tasks.push(tokio::task::spawn_local(inject_fault(fault, req, tx, done_tx)));
            if matches!(fault, PeerFault::CloseAfterReading) {
                tokio::select! {
                    _ = done => return,
                    _ = conn.accept() => return,
                }
            }
        }
    });
    addr
}

async fn inject_fault(
    fault: PeerFault,
    req: Request<RecvStream>,
    mut tx: SendResponse<Bytes>,
    done: tokio::sync::oneshot::Sender<()>,
) {
    let mut body = req.into_body();
    while let Some(Ok(data)) = body.data().await {
        body.flow_control().release_capacity(data.len()).unwrap();
    }
    let respond = |tx: &mut SendResponse<Bytes>, data: Bytes| {
        let mut stream = tx.send_response(Response::new(()), false).unwrap();
        stream.send_data(data, true).unwrap();
        stream
    };
    match fault {
        PeerFault::CloseBeforeReading | PeerFault::CloseAfterReading => drop(done),
        PeerFault::Reset(reason) => tx.send_reset(reason),
        PeerFault::NoResponse => std::future::pending().await,
        PeerFault::Status(status) => {
            let mut response = Response::new(());
            *response.status_mut() = status;
            tx.send_response(response, true).unwrap();
        }
        PeerFault::Raw(data) => drop(respond(&mut tx, Bytes::from_static(data))),
        PeerFault::Head { announced, sent } => {
            let data = framed(Outcome::Ran(common::response_head(announced)), sent);
            drop(respond(&mut tx, data));
        }
        PeerFault::HeadStatus(status) => {
            let head = wire::ResponseHead { status, ..common::response_head(Some(0)) };
            drop(respond(&mut tx, framed(Outcome::Ran(head), b"")));
        }
        PeerFault::ReportNotRun => {
            drop(respond(&mut tx, framed(Outcome::NotRun(NotRunReason::NoLease), b"")));
        }
        PeerFault::ReportUnknown => {
            let unknown = Outcome::Unknown(UnknownReason::BackendDied);
            drop(respond(&mut tx, framed(unknown, b"")));
        }
    }
}

fn framed(outcome: Outcome<wire::ResponseHead>, body: &[u8]) -> Bytes {
    let frame = encode_outcome(outcome).unwrap();
    let length = u32::try_from(frame.len()).unwrap().to_be_bytes();
    [&length[..], &frame, body].concat().into()
}

#[test]
fn a_peer_failure_after_sending_makes_the_outcome_unknown() {
    let check = |fault, expected: Reported| {
        run(async {
            let to = faulty_peer(fault).await;
            let reported = forward(&client(), to, LONG).await;
            assert_eq!(reported, expected, "{fault:?}");
        });
    };
    let connection_lost = || Reported::Unknown(UnknownReason::ConnectionLost);

    check(PeerFault::CloseBeforeReading, connection_lost());
    check(PeerFault::CloseAfterReading, connection_lost());
    check(PeerFault::Reset(Reason::INTERNAL_ERROR), connection_lost());
    check(PeerFault::Reset(Reason::CANCEL), connection_lost());
    check(PeerFault::Raw(b""), connection_lost());
    check(PeerFault::Raw(b"\0\0\0\x09\x01\0"), connection_lost());
    check(PeerFault::Raw(b"\0\0\0\x02\x01\x09"), connection_lost());
    check(PeerFault::Raw(b"\xff\xff\xff\xff"), connection_lost());
    check(PeerFault::ReportUnknown, Reported::Unknown(UnknownReason::BackendDied));
}

/// Guards against a status of no response that a host of an earlier release passes on.
#[test]
fn a_status_that_is_not_final_makes_the_outcome_unknown() {
    let statuses = [(0, false), (99, false), (100, false), (101, false), (199, false), (200, true)];
    for (status, is_response) in statuses.into_iter().chain([(599, true), (600, false)]) {
        let reported = run(async {
            let to = faulty_peer(PeerFault::HeadStatus(status)).await;
            forward(&client(), to, LONG).await
        });

        let expected = match is_response {
            true => Reported::Complete(Bytes::new()),
            false => Reported::Unknown(UnknownReason::InvalidResponse),
        };
        assert_eq!(reported, expected, "{status}");
    }
}

#[test]
fn a_sent_request_is_not_run_only_if_the_peer_reports_it() {
    let check = |fault, expected| {
        run(async {
            let to = faulty_peer(fault).await;
            let reported = forward(&client(), to, LONG).await;
            assert_eq!(reported, Reported::NotRun(expected), "{fault:?}");
        });
    };

    check(PeerFault::ReportNotRun, NotRunReason::NoLease);
    check(PeerFault::Reset(Reason::REFUSED_STREAM), NotRunReason::Overloaded);
    check(PeerFault::Status(StatusCode::BAD_REQUEST), NotRunReason::NotConnected);
    check(PeerFault::Status(StatusCode::PAYLOAD_TOO_LARGE), NotRunReason::NotConnected);
}

#[test]
fn a_body_length_mismatch_is_an_error() {
    let check = |announced, sent: &'static [u8], expected| {
        run(async {
            let fault = PeerFault::Head { announced, sent };
            let to = faulty_peer(fault).await;
            let reported = forward(&client(), to, LONG).await;
            assert_eq!(reported, expected, "{fault:?}");
        });
    };
    let mismatch =
        |found, expected| Reported::Incomplete(BodyError::LengthMismatch { found, expected });

    check(Some(4), b"menu", Reported::Complete(Bytes::from_static(b"menu")));
    check(None, b"menu", Reported::Complete(Bytes::from_static(b"menu")));
    check(Some(5), b"menu", mismatch(4, 5));
    check(Some(3), b"menu", mismatch(4, 3));
    check(Some(1), b"", mismatch(0, 1));
}

#[test]
fn an_unsent_request_is_not_run() {
    run(async {
        let refusing_addr = {
            let listener = listener();
            HostAddr(listener.local_addr().unwrap())
        };
        let closing = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let closing_addr = HostAddr(closing.local_addr().unwrap());
        tokio::task::spawn_local(async move { while closing.accept().await.is_ok() {} });
        let silent = listener();
        let silent_addr = HostAddr(silent.local_addr().unwrap());
        let server = echo();
        let isolated = client();
        isolated.block_peers(BlockedPeers::Peers(vec![server.addr()]));

        let impatient = Client::new(ClientSettings::default().connect_timeout(Millis(100)));
        let not_connected = Reported::NotRun(NotRunReason::NotConnected);
        assert_eq!(forward(&client(), refusing_addr, LONG).await, not_connected);
        assert_eq!(forward(&client(), closing_addr, LONG).await, not_connected);
        assert_eq!(forward(&impatient, silent_addr, LONG).await, not_connected);
        assert_eq!(forward(&isolated, server.addr(), LONG).await, not_connected);
        let late = forward(&client(), silent_addr, Millis(50)).await;
        assert_eq!(late, Reported::NotRun(NotRunReason::Deadline));
        let called = client().call(refusing_addr, config_call(), LONG).await;
        assert!(matches!(called, Err(CallError::NotConnected { .. })));
    });
}

#[test]
fn an_unresponsive_peer_causes_a_timeout() {
    run(async {
        let to = faulty_peer(PeerFault::NoResponse).await;
        let client = client();

        let forwarded = forward(&client, to, Millis(50)).await;
        let called = client.call(to, config_call(), Millis(50)).await;

        assert_eq!(forwarded, Reported::Unknown(UnknownReason::Timeout));
        assert!(matches!(called, Err(CallError::TimedOut { .. })));
    });
}

/// A request whose connection was closed after a number of bytes.
struct Case {
    reported: Reported,
    handler_ran: bool,
}

/// Returns whether the client's report contradicts what happened.
fn is_false_report(case: &Case) -> bool {
    match &case.reported {
        Reported::Complete(body) => body != BODY || !case.handler_ran,
        Reported::NotRun(_) => case.handler_ran,
        Reported::Incomplete(_) | Reported::Unknown(_) => false,
    }
}

/// Sends a request through a proxy, and returns the case and how many bytes the proxy forwarded in
/// each direction.
async fn run_case(limit: ByteLimit) -> (Case, (usize, usize)) {
    let runs = Rc::new(Cell::new(0));
    let count = runs.clone();
    let server = server(move |head, body| {
        count.set(count.get() + 1);
        async move { ran(head.body_length, full_body(body)) }.boxed_local()
    });
    let proxy = Proxy::start(server.addr(), limit).await;
    let reported = forward(&client(), proxy.addr, LONG).await;
    let forwarded = proxy.forwarded();
    proxy.stop();
    // Bytes that have reached the server may still cause a run.
    server.stop(LONG).await;
    (Case { reported, handler_ran: runs.get() > 0 }, forwarded)
}

/// Closes the connection after every possible number of bytes, in either direction.
async fn disconnect_at_every_byte() -> Vec<Case> {
    let (complete, (requests, responses)) = run_case(ByteLimit::UNLIMITED).await;
    assert_eq!(complete.reported, Reported::Complete(Bytes::from_static(BODY)));
    let mut cases = Vec::new();
    for limit in 0..requests {
        cases.push(run_case(ByteLimit { requests: limit, ..ByteLimit::UNLIMITED }).await.0);
    }
    for limit in 0..responses {
        cases.push(run_case(ByteLimit { responses: limit, ..ByteLimit::UNLIMITED }).await.0);
    }
    cases
}

#[test]
fn a_disconnect_at_any_byte_is_reported_correctly() {
    let cases = run(disconnect_at_every_byte());

    let false_reports = cases.iter().filter(|case| is_false_report(case)).count();

    assert_eq!(false_reports, 0, "of {} cases", cases.len());
    for kind in [
        |reported: &Reported| matches!(reported, Reported::NotRun(_)),
        |reported: &Reported| matches!(reported, Reported::Unknown(_)),
        |reported: &Reported| matches!(reported, Reported::Incomplete(_)),
    ] {
        assert!(cases.iter().any(|case| kind(&case.reported)), "every kind of failure occurred");
    }
}

/// Simulates two client bugs: a lost connection is reported as "not run", or a truncated body as
/// complete. The check of the previous test must detect both.
#[test]
fn the_disconnect_check_detects_false_reports() {
    let cases = run(disconnect_at_every_byte());
    let unknown_as_not_run = |reported: &Reported| match reported {
        Reported::Unknown(_) => Reported::NotRun(NotRunReason::NotConnected),
        reported => reported.clone(),
    };
    let truncated_as_complete = |reported: &Reported| match reported {
        Reported::Incomplete(BodyError::Truncated { .. } | BodyError::LengthMismatch { .. }) => {
            Reported::Complete(Bytes::new())
        }
        reported => reported.clone(),
    };
    let false_reports = |bug: &dyn Fn(&Reported) -> Reported| {
        let altered = cases.iter().map(|case| Case { reported: bug(&case.reported), ..*case });
        altered.filter(is_false_report).count()
    };

    assert!(false_reports(&unknown_as_not_run) > 0);
    assert!(false_reports(&truncated_as_complete) > 0);
}

#[test]
fn a_frozen_peer_delays_neither_its_own_nor_other_requests() {
    run(async {
        let (server, other) = (echo(), echo());
        let proxy = Proxy::start(server.addr(), ByteLimit::UNLIMITED).await;
        let limits =
            ClientSettings::default().connect_timeout(Millis(200)).ping_timeout(Millis(200));
        let client = Client::new(limits);
        let complete = Reported::Complete(Bytes::from_static(BODY));
        assert_eq!(forward(&client, proxy.addr, LONG).await, complete);

        proxy.freeze();
        let sent = forward(&client, proxy.addr, Millis(50)).await;
        let (next, elsewhere) =
            tokio::join!(forward(&client, proxy.addr, LONG), forward(&client, other.addr(), LONG));

        assert_eq!(sent, Reported::Unknown(UnknownReason::Timeout));
        assert_eq!(next, Reported::NotRun(NotRunReason::NotConnected));
        assert_eq!(elsewhere, complete);
    });
}

#[test]
fn a_blocked_server_is_reachable_after_unblocking() {
    run(async {
        let server = echo();
        let client = client();
        assert_eq!(client.call(server.addr(), config_call(), LONG).await.unwrap(), Reply::Done);

        server.block_peers(BlockedPeers::All);
        let during = client.call(server.addr(), config_call(), LONG).await;
        server.block_peers(BlockedPeers::None);
        let after = client.call(server.addr(), config_call(), LONG).await;

        assert!(during.is_err());
        assert_eq!(after.unwrap(), Reply::Done);
    });
}
