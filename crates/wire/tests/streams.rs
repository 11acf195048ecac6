//! Large, slow, concurrent and cancelled streams over one connection.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::proxy::{ByteLimit, Proxy};
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

const CHUNK: usize = 16 * 1024;
const LARGE_BODY: usize = 64 * 1024 * 1024;

/// Maximum number of bytes in flight on a stream that is not read: the receiver's window, the
/// sender's buffer and one chunk at either end.
const MAX_IN_FLIGHT: usize = 2 * 128 * 1024 + 2 * CHUNK;

fn client() -> Client {
    Client::new(ClientSettings::default())
}

fn expect_ran(outcome: Outcome<(ResponseHead, Body)>) -> (ResponseHead, Body) {
    match outcome {
        Outcome::Ran(response) => response,
        Outcome::NotRun(reason) => panic!("not run: {reason}"),
        Outcome::Unknown(reason) => panic!("unknown: {reason}"),
    }
}

/// Returns the chunk of a response at `index`. Adjacent chunks differ.
fn chunk(index: usize) -> Bytes {
    let fill = u8::try_from(index % 251).unwrap();
    vec![fill; CHUNK].into()
}

/// Returns a body of `size` bytes that counts in `produced` the bytes that were read from it.
fn counting_body(size: usize, produced: Rc<Cell<usize>>) -> Body {
    let chunks = stream::iter(0..size / CHUNK).map(move |index| {
        produced.set(produced.get() + CHUNK);
        Ok(chunk(index))
    });
    chunks.boxed_local()
}

#[test]
fn a_large_response_is_complete_and_uses_bounded_memory() {
    run(async {
        let produced = Rc::new(Cell::new(0));
        let counter = produced.clone();
        let server = server(move |_, _| {
            let body = counting_body(LARGE_BODY, counter.clone());
            async move { ran(LARGE_BODY as u64, body) }.boxed_local()
        });
        let client = client();
        let (_, mut body) =
            expect_ran(client.forward(server.addr(), head(LONG), Bytes::new()).await);

        let (mut at, mut most_ahead) = (0, 0);
        while let Some(data) = body.next().await {
            for byte in data.unwrap() {
                assert_eq!(usize::from(byte), at / CHUNK % 251);
                at += 1;
            }
            most_ahead = most_ahead.max(produced.get() - at);
        }

        assert_eq!(at, LARGE_BODY);
        assert!(most_ahead <= MAX_IN_FLIGHT, "{most_ahead} bytes were in flight");
    });
}

#[test]
fn unread_streams_do_not_block_other_streams() {
    run(async {
        let produced = Rc::new(Cell::new(0));
        let counter = produced.clone();
        let server = server(move |_, _| {
            let body = counting_body(LARGE_BODY, counter.clone());
            async move { ran(LARGE_BODY as u64, body) }.boxed_local()
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

        assert!(
            produced.get() <= unread.len() * MAX_IN_FLIGHT,
            "{} bytes were produced",
            produced.get()
        );
        let another = client.forward(server.addr(), head(LONG), Bytes::new()).await;
        let first = expect_ran(another).1.next().await;
        assert_eq!(first, Some(Ok(chunk(0))), "a request on the same connection");
        assert_eq!(client.connections(), 2, "one for calls and one for forwarded requests");
    });
}

#[test]
fn out_of_order_responses_reach_their_requests() {
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
            (body, collect(expect_ran(outcome).1).await.unwrap())
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
        let (responses, ()) = tokio::join!(join_all((0..REQUESTS).map(send)), opening);

        assert!(responses.iter().all(|(sent, received)| sent == received));
        assert_eq!(client.connections(), 1);
    });
}

#[test]
fn a_slow_body_may_exceed_the_time_limit_of_its_head() {
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

        // On a busy machine, the head may take longer than the first time limit.
        let mut time_left = Millis(50);
        let mut body = loop {
            let outcome = client().forward(server.addr(), head(time_left), Bytes::new()).await;
            match outcome {
                // The client is dropped here, which must not truncate the response either.
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

/// Sends a signal when it is dropped.
struct DropSignal(Option<oneshot::Sender<()>>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        let _ = self.0.take().map(|tx| tx.send(()));
    }
}

#[test]
fn dropping_a_request_cancels_its_handler() {
    run(async {
        let (started_tx, started) = oneshot::channel();
        let (dropped_tx, dropped) = oneshot::channel();
        let signals = RefCell::new(Some((started_tx, DropSignal(Some(dropped_tx)))));
        let server = server(move |_, _| {
            let (started, signal) = signals.take().unwrap();
            async move {
                let _signal = signal;
                started.send(()).unwrap();
                std::future::pending().await
            }
            .boxed_local()
        });
        let client = client();

        tokio::select! {
            _ = client.forward(server.addr(), head(LONG), Bytes::new()) => panic!("responded"),
            _ = started => {}
        }

        dropped.await.unwrap();
        assert_eq!(client.connections(), 1, "the connection outlives the stream");
    });
}

#[test]
fn dropping_a_body_cancels_its_source() {
    run(async {
        let (dropped_tx, dropped) = oneshot::channel();
        let signal = RefCell::new(Some(DropSignal(Some(dropped_tx))));
        let server = server(move |_, _| {
            let signal = signal.take().unwrap();
            let body = stream::iter([Ok(chunk(0))]).chain(stream::once(async move {
                let _signal = signal;
                std::future::pending().await
            }));
            async move { ran(None, body.boxed_local()) }.boxed_local()
        });
        let client = client();

        let outcome = client.forward(server.addr(), head(LONG), Bytes::new()).await;
        let (_, mut body) = expect_ran(outcome);
        assert_eq!(body.next().await, Some(Ok(chunk(0))));
        drop(body);

        dropped.await.unwrap();
    });
}

#[test]
fn a_failing_source_or_length_mismatch_ends_the_body_with_an_error() {
    let check = |announced: Option<u64>, chunks: Vec<Result<Bytes, BodyError>>| {
        run(async {
            let server = server(move |_, _| {
                let body = stream::iter(chunks.clone()).boxed_local();
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
fn a_response_that_fails_immediately_still_delivers_its_head() {
    run(async {
        let server = server(|_, _| {
            let chunks =
                [Ok(Bytes::from_static(b"menu")), Err(BodyError::Truncated { received: 4 })];
            let body = stream::iter(chunks).boxed_local();
            async move { ran(Some(100), body) }.boxed_local()
        });

        let outcome = client().forward(server.addr(), head(LONG), Bytes::new()).await;

        let (_, body) = expect_ran(outcome);
        assert_eq!(collect(body).await, Err(BodyError::Truncated { received: 4 }));
    });
}

#[test]
fn a_graceful_stop_finishes_active_streams_and_accepts_no_new_ones() {
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
            collect(expect_ran(outcome).1).await
        };
        let stopping = async {
            started.await.unwrap();
            let stopped = tokio::task::spawn_local(async move { server.stop(LONG).await });
            let reason = loop {
                match client.forward(to, head(LONG), Bytes::new()).await {
                    Outcome::NotRun(NotRunReason::Draining) => {}
                    Outcome::NotRun(reason) => break reason,
                    Outcome::Ran(_) | Outcome::Unknown(_) => {
                        panic!("the server accepted a new request")
                    }
                }
            };
            gate_tx.send(()).unwrap();
            (reason, stopped.await.unwrap())
        };
        let (response, (reason, aborted)) = tokio::join!(running, stopping);

        assert_eq!(response, Ok(Bytes::from_static(b"done")));
        assert_eq!((reason, aborted), (NotRunReason::NotConnected, 0));
    });
}

#[test]
fn a_client_reconnects_after_its_peer_restarts() {
    run(async {
        let client = client();
        let first = echo();
        let addr = first.addr();
        client.call(addr, config_call(), LONG).await.unwrap();

        let aborted = first.stop(LONG).await;
        let between = client.call(addr, config_call(), LONG).await;
        let listener = std::net::TcpListener::bind(addr.0).unwrap();
        let second = common::serve_echo(listener);
        let after = client.call(second.addr(), config_call(), LONG).await;

        assert_eq!(aborted, 0);
        assert!(between.is_err());
        assert!(after.is_ok());
    });
}

#[test]
fn a_peer_on_a_slow_link_is_not_considered_unresponsive() {
    run(async {
        const STREAMS: usize = 64;
        const SIZE: usize = 256 * 1024;
        let produced = Rc::new(Cell::new(0));
        let server = server(move |_, _| {
            let body = counting_body(SIZE, produced.clone());
            async move { ran(SIZE as u64, body) }.boxed_local()
        });
        let proxy = Proxy::start(server.addr(), ByteLimit::UNLIMITED).await;
        let client = Client::new(ClientSettings::default().ping_interval(Millis(100)));
        client.call(proxy.addr, config_call(), LONG).await.unwrap();
        // Sending the data of all flow-control windows takes longer than the ping timeout.
        proxy.slow_down(Duration::from_millis(2));

        let receive = async || {
            let outcome = client.forward(proxy.addr, head(LONG), Bytes::new()).await;
            collect(expect_ran(outcome).1).await.unwrap().len()
        };
        let sizes = join_all((0..STREAMS).map(|_| receive())).await;

        assert_eq!(sizes, [SIZE; STREAMS]);
    });
}

#[test]
fn a_call_does_not_wait_for_a_stalled_response() {
    run(async {
        let server = server(move |_, _| {
            let body = counting_body(LARGE_BODY, Rc::default());
            async move { ran(LARGE_BODY as u64, body) }.boxed_local()
        });
        let proxy = Proxy::start(server.addr(), ByteLimit::UNLIMITED).await;
        let client = client();
        let outcome = client.forward(proxy.addr, head(LONG), Bytes::new()).await;
        let (_, mut body) = expect_ran(outcome);
        let first = body.next().await;

        proxy.freeze_existing();
        let called = client.call(proxy.addr, config_call(), LONG).await;

        assert_eq!(first, Some(Ok(chunk(0))));
        assert!(called.is_ok(), "{called:?}");
    });
}
