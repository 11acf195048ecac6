//! Large, slow, concurrent and cancelled streams over one connection.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::proxy::{Allowance, Proxy};
use common::{LONG, collect, config_call, echo, head, ran, run, server};
use futures_util::FutureExt;
use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use model::{Millis, NotRunReason, Outcome};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::sync::{oneshot, watch};
use wire::{Body, BodyError, Client, ClientSettings, ResponseHead, full_body};

const PIECE: usize = 16 * 1024;
const LARGE: usize = 64 * 1024 * 1024;

/// Bytes that may be under way on one stream whose reader does not read: the receiver's window,
/// the sender's buffer and one piece at either end.
const STREAM_BOUND: usize = 2 * 128 * 1024 + 2 * PIECE;

fn client() -> Client {
    Client::new(ClientSettings::default())
}

fn unwrap_ran(outcome: Outcome<(ResponseHead, Body)>) -> (ResponseHead, Body) {
    match outcome {
        Outcome::Ran(answer) => answer,
        Outcome::NotRun(reason) => panic!("not run: {reason}"),
        Outcome::Unknown(reason) => panic!("unknown: {reason}"),
    }
}

/// Returns the piece of an answer at `index`; no two neighbours are alike.
fn piece(index: usize) -> Bytes {
    let fill = u8::try_from(index % 251).unwrap();
    vec![fill; PIECE].into()
}

/// Returns a body of `size` bytes that counts what was taken from it.
fn counted(size: usize, taken: Rc<Cell<usize>>) -> Body {
    let pieces = stream::iter(0..size / PIECE).map(move |index| {
        taken.set(taken.get() + PIECE);
        Ok(piece(index))
    });
    pieces.boxed_local()
}

#[test]
fn a_large_answer_is_whole_and_takes_bounded_memory() {
    run(async {
        let taken = Rc::new(Cell::new(0));
        let counter = taken.clone();
        let server = server(move |_, _| {
            let body = counted(LARGE, counter.clone());
            async move { ran(LARGE as u64, body) }.boxed_local()
        });
        let client = client();
        let (_, mut body) =
            unwrap_ran(client.forward(server.addr(), head(LONG), Bytes::new()).await);

        let (mut at, mut most_ahead) = (0, 0);
        while let Some(data) = body.next().await {
            for byte in data.unwrap() {
                assert_eq!(usize::from(byte), at / PIECE % 251);
                at += 1;
            }
            most_ahead = most_ahead.max(taken.get() - at);
        }

        assert_eq!(at, LARGE);
        assert!(most_ahead <= STREAM_BOUND, "{most_ahead} bytes were under way");
    });
}

#[test]
fn streams_that_nobody_reads_hold_up_no_other() {
    run(async {
        let taken = Rc::new(Cell::new(0));
        let counter = taken.clone();
        let server = server(move |_, _| {
            let body = counted(LARGE, counter.clone());
            async move { ran(LARGE as u64, body) }.boxed_local()
        });
        let client = client();
        let mut unread = Vec::new();
        for _ in 0..64 {
            unread.push(client.forward(server.addr(), head(LONG), Bytes::new()).await);
        }

        let mut replies = 0;
        while replies < 1_000 {
            client.call(server.addr(), config_call(), LONG).await.unwrap();
            replies += 1;
        }

        assert!(taken.get() <= unread.len() * STREAM_BOUND, "{} bytes were taken", taken.get());
        let another = client.forward(server.addr(), head(LONG), Bytes::new()).await;
        let first = unwrap_ran(another).1.next().await;
        assert_eq!(first, Some(Ok(piece(0))), "a request on the same connection");
        assert_eq!(client.connections(), 2, "one for calls and one for requests");
    });
}

#[test]
fn answers_out_of_order_reach_their_own_requests() {
    run(async {
        const REQUESTS: usize = 500;
        let gates: Rc<RefCell<Vec<oneshot::Sender<()>>>> = Rc::default();
        let waiting = gates.clone();
        let server = server(move |head, body| {
            let (tx, rx) = oneshot::channel();
            waiting.borrow_mut().push(tx);
            async move {
                rx.await.unwrap();
                ran(head.body_length, full_body(body))
            }
            .boxed_local()
        });
        let client = client();

        let send = async |number: usize| {
            let body = Bytes::from(number.to_string());
            let outcome = client.forward(server.addr(), head(LONG), body.clone()).await;
            (body, collect(unwrap_ran(outcome).1).await.unwrap())
        };
        let opening = async {
            while gates.borrow().len() < REQUESTS {
                tokio::task::yield_now().await;
            }
            let mut waiting = gates.take();
            waiting.shuffle(&mut StdRng::seed_from_u64(7));
            for gate in waiting {
                gate.send(()).unwrap();
                tokio::task::yield_now().await;
            }
        };
        let (answers, ()) = tokio::join!(join_all((0..REQUESTS).map(send)), opening);

        assert!(answers.iter().all(|(sent, received)| sent == received));
        assert_eq!(client.connections(), 1);
    });
}

#[test]
fn a_slow_answer_is_not_cut_by_the_time_limit_of_its_head() {
    run(async {
        let (gate, gate_rx) = watch::channel(false);
        let server = server(move |_, _| {
            let mut gate = gate_rx.clone();
            let first = stream::iter([Ok(Bytes::from_static(b"kp "))]);
            let second = stream::once(async move {
                gate.wait_for(|open| *open).await.unwrap();
                Ok(Bytes::from_static(b"index"))
            });
            async move { ran(None, first.chain(second).boxed_local()) }.boxed_local()
        });

        // A busy machine may need more than the first limit for the head.
        let mut time_left = Millis(50);
        let mut body = loop {
            let outcome = client().forward(server.addr(), head(time_left), Bytes::new()).await;
            match outcome {
                // The client is dropped here, which must not cut the answer either.
                Outcome::Ran((_, body)) => break body,
                Outcome::NotRun(_) | Outcome::Unknown(_) => time_left += time_left,
            }
        };
        let first = body.next().await;
        tokio::time::sleep((time_left + Millis(1)).into()).await;
        gate.send(true).unwrap();
        let rest = collect(body).await;

        assert_eq!(first, Some(Ok(Bytes::from_static(b"kp "))));
        assert_eq!(rest, Ok(Bytes::from_static(b"index")));
    });
}

/// Rings when it is dropped.
struct Bell(Option<oneshot::Sender<()>>);

impl Drop for Bell {
    fn drop(&mut self) {
        let _ = self.0.take().map(|tx| tx.send(()));
    }
}

#[test]
fn dropping_a_request_drops_its_handler() {
    run(async {
        let (started_tx, started) = oneshot::channel();
        let (dropped_tx, dropped) = oneshot::channel();
        let bells = RefCell::new(Some((started_tx, Bell(Some(dropped_tx)))));
        let server = server(move |_, _| {
            let (started, bell) = bells.take().unwrap();
            async move {
                let _bell = bell;
                started.send(()).unwrap();
                std::future::pending().await
            }
            .boxed_local()
        });
        let client = client();

        tokio::select! {
            _ = client.forward(server.addr(), head(LONG), Bytes::new()) => panic!("no answer"),
            _ = started => {}
        }

        dropped.await.unwrap();
        assert_eq!(client.connections(), 1, "the connection outlives the stream");
    });
}

#[test]
fn dropping_a_body_drops_its_source() {
    run(async {
        let (dropped_tx, dropped) = oneshot::channel();
        let bell = RefCell::new(Some(Bell(Some(dropped_tx))));
        let server = server(move |_, _| {
            let bell = bell.take().unwrap();
            let body = stream::iter([Ok(piece(0))]).chain(stream::once(async move {
                let _bell = bell;
                std::future::pending().await
            }));
            async move { ran(None, body.boxed_local()) }.boxed_local()
        });
        let client = client();

        let outcome = client.forward(server.addr(), head(LONG), Bytes::new()).await;
        let (_, mut body) = unwrap_ran(outcome);
        assert_eq!(body.next().await, Some(Ok(piece(0))));
        drop(body);

        dropped.await.unwrap();
    });
}

#[test]
fn a_source_that_fails_or_lies_about_its_length_ends_in_an_error() {
    let check = |announced: Option<u64>, pieces: Vec<Result<Bytes, BodyError>>| {
        run(async {
            let server = server(move |_, _| {
                let body = stream::iter(pieces.clone()).boxed_local();
                async move { ran(announced, body) }.boxed_local()
            });
            let client = client();
            match client.forward(server.addr(), head(LONG), Bytes::new()).await {
                Outcome::Ran((_, body)) => assert!(collect(body).await.is_err(), "{announced:?}"),
                Outcome::NotRun(reason) => panic!("not run: {reason}"),
                Outcome::Unknown(_) => {}
            }
        });
    };
    let short = Bytes::from_static(b"menu");

    check(None, vec![Ok(short.clone()), Err(BodyError::Truncated { received: 4 })]);
    check(Some(4), vec![Ok(short.clone()), Err(BodyError::Truncated { received: 4 })]);
    check(Some(5), vec![Ok(short.clone())]);
    check(Some(3), vec![Ok(short)]);
    check(Some(1), vec![]);
}

#[test]
fn an_answer_that_breaks_off_at_once_still_delivers_its_head() {
    run(async {
        let server = server(|_, _| {
            let pieces =
                [Ok(Bytes::from_static(b"menu")), Err(BodyError::Truncated { received: 4 })];
            let body = stream::iter(pieces).boxed_local();
            async move { ran(Some(100), body) }.boxed_local()
        });

        let outcome = client().forward(server.addr(), head(LONG), Bytes::new()).await;

        let (_, body) = unwrap_ran(outcome);
        assert_eq!(collect(body).await, Err(BodyError::Truncated { received: 4 }));
    });
}

#[test]
fn a_graceful_stop_finishes_what_runs_and_takes_nothing_new() {
    run(async {
        let (started_tx, started) = oneshot::channel();
        let (gate_tx, gate) = oneshot::channel::<()>();
        let parts = RefCell::new(Some((started_tx, gate)));
        let server = server(move |_, _| {
            let parts = parts.take();
            async move {
                let Some((started, gate)) = parts else {
                    return Outcome::NotRun(NotRunReason::Draining);
                };
                started.send(()).unwrap();
                gate.await.unwrap();
                ran(4, full_body(Bytes::from_static(b"done")))
            }
            .boxed_local()
        });
        let (client, to) = (client(), server.addr());

        let running = async {
            let outcome = client.forward(to, head(LONG), Bytes::new()).await;
            collect(unwrap_ran(outcome).1).await
        };
        let stopping = async {
            started.await.unwrap();
            let stopped = tokio::task::spawn_local(async move { server.stop(LONG).await });
            let refused = loop {
                match client.forward(to, head(LONG), Bytes::new()).await {
                    Outcome::NotRun(NotRunReason::Draining) => {}
                    Outcome::NotRun(reason) => break reason,
                    Outcome::Ran(_) | Outcome::Unknown(_) => panic!("it took new work"),
                }
            };
            gate_tx.send(()).unwrap();
            (refused, stopped.await.unwrap())
        };
        let (answer, (refused, broken)) = tokio::join!(running, stopping);

        assert_eq!(answer, Ok(Bytes::from_static(b"done")));
        assert_eq!((refused, broken), (NotRunReason::NotConnected, 0));
    });
}

#[test]
fn a_client_survives_the_restart_of_its_peer() {
    run(async {
        let client = client();
        let first = echo();
        let addr = first.addr();
        client.call(addr, config_call(), LONG).await.unwrap();

        let broken = first.stop(LONG).await;
        let between = client.call(addr, config_call(), LONG).await;
        let listener = std::net::TcpListener::bind(addr.0).unwrap();
        let second = common::serve_echo(listener);
        let after = client.call(second.addr(), config_call(), LONG).await;

        assert_eq!(broken, 0);
        assert!(between.is_err());
        assert!(after.is_ok());
    });
}

#[test]
fn a_peer_behind_a_slow_link_is_not_taken_for_silent() {
    run(async {
        const STREAMS: usize = 64;
        const SIZE: usize = 256 * 1024;
        let taken = Rc::new(Cell::new(0));
        let server = server(move |_, _| {
            let body = counted(SIZE, taken.clone());
            async move { ran(SIZE as u64, body) }.boxed_local()
        });
        let proxy = Proxy::start(server.addr(), Allowance::ALL).await;
        let client = Client::new(ClientSettings::default().ping_interval(Millis(100)));
        client.call(proxy.addr, config_call(), LONG).await.unwrap();
        // What all windows hold together takes longer than the limit of a ping.
        proxy.slow_down(Duration::from_millis(2));

        let receive = async || {
            let outcome = client.forward(proxy.addr, head(LONG), Bytes::new()).await;
            collect(unwrap_ran(outcome).1).await.unwrap().len()
        };
        let sizes = join_all((0..STREAMS).map(|_| receive())).await;

        assert_eq!(sizes, [SIZE; STREAMS]);
    });
}

#[test]
fn a_call_does_not_wait_for_a_stuck_answer() {
    run(async {
        let server = server(move |_, _| {
            let body = counted(LARGE, Rc::default());
            async move { ran(LARGE as u64, body) }.boxed_local()
        });
        let proxy = Proxy::start(server.addr(), Allowance::ALL).await;
        let client = client();
        let outcome = client.forward(proxy.addr, head(LONG), Bytes::new()).await;
        let (_, mut body) = unwrap_ran(outcome);
        let first = body.next().await;

        proxy.freeze_existing();
        let called = client.call(proxy.addr, config_call(), LONG).await;

        assert_eq!(first, Some(Ok(piece(0))));
        assert!(called.is_ok(), "{called:?}");
    });
}
