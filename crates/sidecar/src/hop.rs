//! Requests between hosts: one h2 connection to each host, opened when it is needed.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::rt::Executor;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use mesh::{WitnessReply, WitnessRequest};
use model::{HostAddr, Millis};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::state::Cx;
use crate::wire::{End, Forward, NotRun, Outcome, decode, encode};
use crate::{backend, edges, news};

/// A connection has to be made within this. The longest way between regions takes 60 ms there and
/// back; a longer wait would cost callers more than another host does.
const CONNECT: Duration = Duration::from_millis(400);

/// After a failed attempt, the next one may start after this.
const CONNECT_PAUSE: Millis = Millis(200);

/// While requests are under way, a host that doesn't answer a ping within the second span is lost.
const PING: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(1_000));

/// Written bytes have to be confirmed within this.
const UNCONFIRMED: Millis = Millis(1_800);

/// Probes on idle connections start after this.
const PROBE_AFTER: Millis = Millis(20_000);

/// Where a host takes requests for its backend server.
const RUN: &str = "/run";

/// Where a host answers as a witness.
pub const WITNESS: &str = "/witness";

/// Where a host answers what changed in the store.
pub const NEWS: &str = "/news";

/// The longest message between hosts, in bytes.
const MAX_MESSAGE: usize = 80 << 20;

/// Spawns the futures of h2 connections on the local task set.
#[derive(Clone, Copy)]
pub struct Local;

impl<F> Executor<F> for Local
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        actix_rt::spawn(async move {
            future.await;
        });
    }
}

#[derive(Default)]
struct Link {
    tx: Option<SendRequest<Full<Bytes>>>,
    failed: Option<Millis>,
}

/// The connections to other hosts.
#[derive(Default)]
pub struct Hops {
    links: RefCell<Vec<(HostAddr, Rc<Mutex<Link>>)>>, // Sorted by host.
}

impl Hops {
    fn link(&self, host: HostAddr) -> Rc<Mutex<Link>> {
        let mut links = self.links.borrow_mut();
        match links.binary_search_by_key(&host, |(h, _)| *h) {
            Ok(i) => links[i].1.clone(),
            Err(i) => {
                let link = Rc::<Mutex<Link>>::default();
                links.insert(i, (host, link.clone()));
                link
            }
        }
    }

    /// Closes the connection to a host that is gone.
    pub fn forget(&self, host: HostAddr) {
        self.links.borrow_mut().retain(|(h, _)| *h != host);
    }
}

fn not_run(why: NotRun) -> Outcome {
    let end = End::NotRun { why, after_ms: 0 };
    Outcome { end, ..Outcome::default() }
}

fn unknown(why: String) -> Outcome {
    let end = End::Unknown { why };
    Outcome { end, arrived: true, ..Outcome::default() }
}

/// Sends a request to `host` and returns how it ended there. Dropping the future cancels it there.
pub async fn send(cx: &Cx, host: HostAddr, forward: &Forward, body: &Bytes) -> (Outcome, Bytes) {
    let message = encode(forward, body);
    // A connection that turns out to be closed before anything was written is replaced once.
    for _ in 0..2 {
        let Some(mut tx) = connect(cx, host).await else {
            return (not_run(NotRun::Unreachable), Bytes::new());
        };
        let req = Request::post(address(RUN)).body(Full::new(message.clone()));
        let Ok(req) = req else { return (not_run(NotRun::Malformed), Bytes::new()) };
        let answer = match tx.try_send_request(req).await {
            Ok(answer) => answer,
            Err(mut e) => {
                drop_link(cx, host).await;
                if e.take_message().is_some() {
                    continue;
                }
                return (unknown(e.into_error().to_string()), Bytes::new());
            }
        };
        let body = match Limited::new(answer.into_body(), MAX_MESSAGE).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return (unknown(e.to_string()), Bytes::new()),
        };
        return match decode::<Outcome>(body) {
            Ok((outcome, body)) => {
                cx.heard_version(outcome.version);
                cx.heard_suspects(&outcome.suspects);
                (outcome, body)
            }
            Err(e) => (unknown(e.to_string()), Bytes::new()),
        };
    }
    (not_run(NotRun::Unreachable), Bytes::new())
}

async fn connect(cx: &Cx, host: HostAddr) -> Option<SendRequest<Full<Bytes>>> {
    let link = cx.hops.link(host);
    let mut link = link.lock().await;
    if let Some(tx) = link.tx.as_ref().filter(|tx| !tx.is_closed()) {
        return Some(tx.clone());
    }
    link.tx = None;
    if link.failed.is_some_and(|at| cx.now().since(at) < CONNECT_PAUSE) {
        return None;
    }
    match open(host).await {
        Ok(tx) => {
            if link.failed.take().is_some() {
                info!("event=host-regained host={host}");
            }
            link.tx = Some(tx.clone());
            Some(tx)
        }
        Err(why) => {
            if link.failed.is_none() {
                warn!("event=host-lost host={host} why={why:?}");
            }
            link.failed = Some(cx.now());
            None
        }
    }
}

async fn drop_link(cx: &Cx, host: HostAddr) {
    let link = cx.hops.link(host);
    let mut link = link.lock().await;
    if link.tx.as_ref().is_some_and(|tx| tx.is_closed()) {
        link.tx = None;
    }
}

async fn open(host: HostAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = match timeout(CONNECT, TcpStream::connect(host.0)).await {
        Ok(stream) => stream.map_err(|e| e.to_string())?,
        Err(_) => return Err(format!("no connection within {CONNECT:?}")),
    };
    http1::watch_peer(&stream, UNCONFIRMED, PROBE_AFTER).map_err(|e| e.to_string())?;
    let (tx, connection) = http2::Builder::new(Local)
        .timer(TokioTimer::new())
        .keep_alive_interval(PING.0)
        .keep_alive_timeout(PING.1)
        .initial_stream_window_size(1 << 20)
        .initial_connection_window_size(4 << 20)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    actix_rt::spawn(async move {
        // How the connection ends is told to the requests that it carries.
        let _ = connection.await;
    });
    Ok(tx)
}

/// h2 wants a name of the host; the connection says which one it is.
fn address(path: &str) -> String {
    format!("http://host{path}")
}

/// Asks a host a question other than to run a request. Returns nothing if there is no answer
/// within `limit`.
pub async fn ask<A: Decode<()>>(
    cx: &Cx,
    host: HostAddr,
    path: &'static str,
    question: &impl Encode,
    limit: Duration,
) -> Option<A> {
    let asked = async {
        let mut tx = connect(cx, host).await?;
        let req = Request::post(address(path)).body(Full::new(encode(question, &[]))).ok()?;
        let answer = tx.send_request(req).await.ok()?;
        let body = Limited::new(answer.into_body(), MAX_MESSAGE).collect().await.ok()?.to_bytes();
        decode::<A>(body).ok().map(|(answer, _)| answer)
    };
    timeout(limit, asked).await.ok().flatten()
}

/// Takes requests of other hosts until the process stops. A host that can't connect knows that
/// its request did not run.
pub async fn listen(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        let accepted = edges::accept(&listener, "hosts", UNCONFIRMED);
        match select(pin!(accepted), pin!(cx.stop.notified())).await {
            Either::Left((stream, _)) => actix_rt::spawn(serve(cx.clone(), stream)),
            Either::Right(_) => return,
        };
    }
}

/// Serves another host until the connection ends. Once the process stops, it is told to send
/// nothing more here: a request that crosses the end of the connection may have run for all that
/// its sender knows.
async fn serve(cx: Rc<Cx>, stream: TcpStream) {
    let service = hyper::service::service_fn(|req| answer(cx.clone(), req));
    let connection = hyper::server::conn::http2::Builder::new(Local)
        .timer(TokioTimer::new())
        .initial_stream_window_size(1 << 20)
        .initial_connection_window_size(4 << 20)
        .serve_connection(TokioIo::new(stream), service);
    let connection = pin!(connection);
    let stopped = pin!(cx.stop.notified());
    // A connection that breaks is told to the requests that it carries.
    if let Either::Right((_, mut connection)) = select(connection, stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn answer(cx: Rc<Cx>, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = req.uri().path().to_owned();
    let message = match Limited::new(req.into_body(), MAX_MESSAGE).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            warn!("event=message-cut path={path} error={e:?}");
            return Ok(refused());
        }
    };
    let answered = match path.as_str() {
        WITNESS => decode(message).map(|(ask, _)| encode(&bear_witness(&cx, &ask), &[])),
        NEWS => match decode(message) {
            Ok((ask, _)) => Ok(encode(&news::answer(&cx, &ask).await, &[])),
            Err(e) => Err(e),
        },
        _ => match decode(message) {
            Ok((forward, body)) => Ok(run(&cx, &forward, body).await),
            Err(e) => Err(e),
        },
    };
    Ok(match answered {
        Ok(message) => Response::new(Full::new(message)),
        Err(e) => {
            warn!("event=message-refused path={path} error={e:?}");
            refused()
        }
    })
}

fn refused() -> Response<Full<Bytes>> {
    Response::new(Full::new(encode(&not_run(NotRun::Malformed), &[])))
}

async fn run(cx: &Rc<Cx>, forward: &Forward, body: Bytes) -> Bytes {
    cx.heard_version(forward.version);
    cx.heard_suspects(&forward.suspects);
    let (outcome, body) = backend::run(cx, forward, body).await;
    encode(&outcome, &body)
}

fn bear_witness(cx: &Cx, ask: &WitnessRequest) -> WitnessReply {
    let word = cx.state.borrow_mut().witness.answer(ask, cx.process, cx.now());
    info!(
        "event=witness question={:?} holder={} generation={} word={word:?}",
        ask.question, ask.holder, ask.generation
    );
    word
}
