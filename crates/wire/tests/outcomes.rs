//! What a client says of a request is true, wherever the path breaks.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use common::proxy::{Allowance, Proxy};
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

/// What a test saw of one request, without the answer's head.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seen {
    Whole(Bytes),
    Short(BodyError),
    NotRun(NotRunReason),
    Unknown(UnknownReason),
}

async fn forward(client: &Client, to: HostAddr, time_left: Millis) -> Seen {
    match client.forward(to, head(time_left), Bytes::from_static(BODY)).await {
        Outcome::Ran((_, body)) => collect(body).await.map_or_else(Seen::Short, Seen::Whole),
        Outcome::NotRun(reason) => Seen::NotRun(reason),
        Outcome::Unknown(reason) => Seen::Unknown(reason),
    }
}

/// What a misbehaving peer does with the first request that reaches it.
#[derive(Clone, Copy, Debug)]
enum Misdeed {
    CloseBeforeReading,
    CloseAfterReading,
    Reset(Reason),
    Ignore,
    Status(StatusCode),
    Raw(&'static [u8]),
    Head { announced: Option<u64>, sent: &'static [u8] },
    Refuse,
    Doubt,
}

/// Starts a peer that speaks h2, answers pings and misbehaves once.
async fn peer(misdeed: Misdeed) -> HostAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = HostAddr(listener.local_addr().unwrap());
    tokio::task::spawn_local(async move {
        let (io, _) = listener.accept().await.unwrap();
        let mut conn = h2::server::handshake(io).await.unwrap();
        let mut kept = Vec::new();
        while let Some(Ok((req, tx))) = conn.accept().await {
            if matches!(misdeed, Misdeed::CloseBeforeReading) {
                return;
            }
            let (done_tx, done) = tokio::sync::oneshot::channel::<()>();
            kept.push(tokio::task::spawn_local(misbehave(misdeed, req, tx, done_tx)));
            if matches!(misdeed, Misdeed::CloseAfterReading) {
                tokio::select! {
                    _ = done => return,
                    _ = conn.accept() => return,
                }
            }
        }
    });
    addr
}

async fn misbehave(
    misdeed: Misdeed,
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
    match misdeed {
        Misdeed::CloseBeforeReading | Misdeed::CloseAfterReading => drop(done),
        Misdeed::Reset(reason) => tx.send_reset(reason),
        Misdeed::Ignore => std::future::pending().await,
        Misdeed::Status(status) => {
            let mut answer = Response::new(());
            *answer.status_mut() = status;
            tx.send_response(answer, true).unwrap();
        }
        Misdeed::Raw(data) => drop(respond(&mut tx, Bytes::from_static(data))),
        Misdeed::Head { announced, sent } => {
            let data = framed(Outcome::Ran(common::answer_head(announced)), sent);
            drop(respond(&mut tx, data));
        }
        Misdeed::Refuse => {
            drop(respond(&mut tx, framed(Outcome::NotRun(NotRunReason::NoLease), b"")));
        }
        Misdeed::Doubt => {
            let doubt = Outcome::Unknown(UnknownReason::BackendDied);
            drop(respond(&mut tx, framed(doubt, b"")));
        }
    }
}

fn framed(outcome: Outcome<wire::ResponseHead>, body: &[u8]) -> Bytes {
    let frame = encode_outcome(outcome).unwrap();
    let length = u32::try_from(frame.len()).unwrap().to_be_bytes();
    [&length[..], &frame, body].concat().into()
}

#[test]
fn a_peer_that_fails_after_the_request_was_sent_leaves_it_unknown() {
    let check = |misdeed, expected: Seen| {
        run(async {
            let to = peer(misdeed).await;
            let seen = forward(&client(), to, LONG).await;
            assert_eq!(seen, expected, "{misdeed:?}");
        });
    };
    let lost = || Seen::Unknown(UnknownReason::ConnectionLost);

    check(Misdeed::CloseBeforeReading, lost());
    check(Misdeed::CloseAfterReading, lost());
    check(Misdeed::Reset(Reason::INTERNAL_ERROR), lost());
    check(Misdeed::Reset(Reason::CANCEL), lost());
    check(Misdeed::Raw(b""), lost());
    check(Misdeed::Raw(b"\0\0\0\x09\x01\0"), lost());
    check(Misdeed::Raw(b"\0\0\0\x02\x01\x09"), lost());
    check(Misdeed::Raw(b"\xff\xff\xff\xff"), lost());
    check(Misdeed::Doubt, Seen::Unknown(UnknownReason::BackendDied));
}

#[test]
fn only_a_peer_that_says_so_makes_a_sent_request_not_run() {
    let check = |misdeed, expected| {
        run(async {
            let to = peer(misdeed).await;
            let seen = forward(&client(), to, LONG).await;
            assert_eq!(seen, Seen::NotRun(expected), "{misdeed:?}");
        });
    };

    check(Misdeed::Refuse, NotRunReason::NoLease);
    check(Misdeed::Reset(Reason::REFUSED_STREAM), NotRunReason::Overloaded);
    check(Misdeed::Status(StatusCode::BAD_REQUEST), NotRunReason::NotConnected);
    check(Misdeed::Status(StatusCode::PAYLOAD_TOO_LARGE), NotRunReason::NotConnected);
}

#[test]
fn a_body_of_the_wrong_length_is_an_error() {
    let check = |announced, sent: &'static [u8], expected| {
        run(async {
            let misdeed = Misdeed::Head { announced, sent };
            let to = peer(misdeed).await;
            let seen = forward(&client(), to, LONG).await;
            assert_eq!(seen, expected, "{misdeed:?}");
        });
    };
    let short = |found, expected| Seen::Short(BodyError::LengthMismatch { found, expected });

    check(Some(4), b"menu", Seen::Whole(Bytes::from_static(b"menu")));
    check(None, b"menu", Seen::Whole(Bytes::from_static(b"menu")));
    check(Some(5), b"menu", short(4, 5));
    check(Some(3), b"menu", short(4, 3));
    check(Some(1), b"", short(0, 1));
}

#[test]
fn a_request_that_was_never_sent_is_not_run() {
    run(async {
        let refusing = {
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

        let quick = Client::new(ClientSettings::default().connect_timeout(Millis(100)));
        let not_connected = Seen::NotRun(NotRunReason::NotConnected);
        assert_eq!(forward(&client(), refusing, LONG).await, not_connected);
        assert_eq!(forward(&client(), closing_addr, LONG).await, not_connected);
        assert_eq!(forward(&quick, silent_addr, LONG).await, not_connected);
        assert_eq!(forward(&isolated, server.addr(), LONG).await, not_connected);
        let late = forward(&client(), silent_addr, Millis(50)).await;
        assert_eq!(late, Seen::NotRun(NotRunReason::Deadline));
        let called = client().call(refusing, config_call(), LONG).await;
        assert!(matches!(called, Err(CallError::NotConnected { .. })));
    });
}

#[test]
fn a_peer_that_never_answers_is_a_timeout() {
    run(async {
        let to = peer(Misdeed::Ignore).await;
        let client = client();

        let forwarded = forward(&client, to, Millis(50)).await;
        let called = client.call(to, config_call(), Millis(50)).await;

        assert_eq!(forwarded, Seen::Unknown(UnknownReason::Timeout));
        assert!(matches!(called, Err(CallError::TimedOut { .. })));
    });
}

/// What is true of a request whose path was cut after some bytes.
struct Case {
    seen: Seen,
    handler_ran: bool,
}

/// Returns whether the client's word contradicts what happened.
fn is_lie(case: &Case) -> bool {
    match &case.seen {
        Seen::Whole(body) => body != BODY || !case.handler_ran,
        Seen::NotRun(_) => case.handler_ran,
        Seen::Short(_) | Seen::Unknown(_) => false,
    }
}

async fn with_cut(allowance: Allowance) -> (Case, (usize, usize)) {
    let runs = Rc::new(Cell::new(0));
    let count = runs.clone();
    let server = server(move |head, body| {
        count.set(count.get() + 1);
        async move { ran(head.body_length, full_body(body)) }.boxed_local()
    });
    let proxy = Proxy::start(server.addr(), allowance).await;
    let seen = forward(&client(), proxy.addr, LONG).await;
    let passed = proxy.passed();
    proxy.stop();
    // What has reached the server may still start a run.
    server.stop(LONG).await;
    (Case { seen, handler_ran: runs.get() > 0 }, passed)
}

/// Cuts the path at every byte of an exchange, in either direction.
async fn every_cut() -> Vec<Case> {
    let (whole, (requests, answers)) = with_cut(Allowance::ALL).await;
    assert_eq!(whole.seen, Seen::Whole(Bytes::from_static(BODY)));
    let mut cases = Vec::new();
    for cut in 0..requests {
        cases.push(with_cut(Allowance { requests: cut, ..Allowance::ALL }).await.0);
    }
    for cut in 0..answers {
        cases.push(with_cut(Allowance { answers: cut, ..Allowance::ALL }).await.0);
    }
    cases
}

#[test]
fn a_cut_at_any_byte_is_told_truthfully() {
    let cases = run(every_cut());

    let lies = cases.iter().filter(|case| is_lie(case)).count();

    assert_eq!(lies, 0, "of {} cases", cases.len());
    for kind in [
        |seen: &Seen| matches!(seen, Seen::NotRun(_)),
        |seen: &Seen| matches!(seen, Seen::Unknown(_)),
        |seen: &Seen| matches!(seen, Seen::Short(_)),
    ] {
        assert!(cases.iter().any(|case| kind(&case.seen)), "every kind of cut was reached");
    }
}

/// Takes a rule out: a lost connection counts as a lost request, or the end of what came as the
/// end of the body. The check above has to notice either.
#[test]
fn the_cut_check_notices_a_client_without_the_rules() {
    let cases = run(every_cut());
    let forget_sent = |seen: &Seen| match seen {
        Seen::Unknown(_) => Seen::NotRun(NotRunReason::NotConnected),
        seen => seen.clone(),
    };
    let forget_end = |seen: &Seen| match seen {
        Seen::Short(BodyError::Truncated { .. } | BodyError::LengthMismatch { .. }) => {
            Seen::Whole(Bytes::new())
        }
        seen => seen.clone(),
    };
    let lies = |rule: &dyn Fn(&Seen) -> Seen| {
        let twisted = cases.iter().map(|case| Case { seen: rule(&case.seen), ..*case });
        twisted.filter(is_lie).count()
    };

    assert!(lies(&forget_sent) > 0);
    assert!(lies(&forget_end) > 0);
}

#[test]
fn a_frozen_peer_blocks_neither_its_own_callers_nor_others() {
    run(async {
        let (server, other) = (echo(), echo());
        let proxy = Proxy::start(server.addr(), Allowance::ALL).await;
        let limits =
            ClientSettings::default().connect_timeout(Millis(200)).ping_timeout(Millis(200));
        let client = Client::new(limits);
        let whole = Seen::Whole(Bytes::from_static(BODY));
        assert_eq!(forward(&client, proxy.addr, LONG).await, whole);

        proxy.freeze();
        let sent = forward(&client, proxy.addr, Millis(50)).await;
        let (next, elsewhere) =
            tokio::join!(forward(&client, proxy.addr, LONG), forward(&client, other.addr(), LONG));

        assert_eq!(sent, Seen::Unknown(UnknownReason::Timeout));
        assert_eq!(next, Seen::NotRun(NotRunReason::NotConnected));
        assert_eq!(elsewhere, whole);
    });
}

#[test]
fn a_server_that_was_cut_off_can_be_reached_again() {
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
