//! Calls between hosts: one HTTP/2 connection to each host, opened on demand.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, Response};
use http1::BodyError;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::rt::Executor;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use mesh::{HolderId, Purpose, TransferId, WitnessReply, WitnessRequest};
use model::{HostAddr, Millis};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crate::backend::{Origin, RESPONSE_WAIT};
use crate::bodies::TransferGuard;
use crate::state::{Cx, WritingGuard};
use crate::wire::{
    Forward, ForwardExtension, ForwardReply, ForwardReplyExtension, Message, NotRun, Outcome,
    decode, decode_extended, encode, encode_extended,
};
use crate::{backend, bodies, key_ownership, listeners, relay, renewals};
use client_memory::Connection;

/// Connect timeout. The longest round trip between regions takes 60 ms; a longer wait would cost
/// the caller more than trying another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a failed connection attempt before the next one.
const CONNECT_BACKOFF: Millis = Millis(200);

/// Interval and timeout of pings. While requests are in flight, a host that doesn't answer a ping
/// within the timeout counts as unreachable. A ping may wait behind bodies on a narrow link.
const KEEPALIVE: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(1_800));

/// The peer must acknowledge written bytes within this time.
const TCP_USER_TIMEOUT: Millis = Millis(1_800);

/// Idle connections are probed after this time.
const KEEPALIVE_IDLE: Millis = Millis(20_000);

/// Path of requests that a host runs on its backend server.
const RUN_PATH: &str = "/run";

/// Path of questions whether a large body may be sent.
pub const ANNOUNCE_PATH: &str = "/announce";

/// Path of questions to a host as a witness of leases.
pub const WITNESS_PATH: &str = "/witness";

/// Path of renewals that a host writes for another one.
pub const RENEWAL_PATH: &str = "/renewal";

/// Path of requests for the hosts that hold leases.
pub const MEMBERS_PATH: &str = "/members";

/// Path of requests for changes in the store.
pub const CHANGES_PATH: &str = "/news";

/// What a request of another host takes besides the copies of its head, in bytes.
const REQUEST_BYTES: usize = 8 << 10;

/// How many copies of its head are in memory at most besides the message: as it was decoded, and as
/// it is written to the backend server.
const HEAD_COPIES: usize = 2;

/// The part of a reply, in bytes, that arrives before there is room for it. A host on a link of
/// 10 Mbit/s sends less during a round trip between regions.
const REPLY_WINDOW_BYTES: u32 = 128 << 10;

/// The largest reply between hosts, in bytes.
const MAX_REPLY_BYTES: usize = 80 << 20;

/// The largest message to another host in addition to an announced body, in bytes.
const MAX_MESSAGE_BYTES: usize = (1 << 20) + bodies::LARGE_BODY_BYTES;

/// Spawns the futures of HTTP/2 connections on the local task set.
#[derive(Clone, Copy)]
pub struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
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
struct HostConnection {
    tx: Mutex<Option<SendRequest<Message>>>,
    /// When the last attempt to connect failed.
    failed_at: Cell<Option<Millis>>,
}

/// The connections to other hosts.
#[derive(Default)]
pub struct HostConnections {
    connections: RefCell<Vec<(HostAddr, Rc<HostConnection>)>>, // Sorted by host.
}

impl HostConnections {
    fn get(&self, host: HostAddr) -> Rc<HostConnection> {
        let mut connections = self.connections.borrow_mut();
        match connections.binary_search_by_key(&host, |(h, _)| *h) {
            Ok(i) => connections[i].1.clone(),
            Err(i) => {
                let connection = Rc::<HostConnection>::default();
                connections.insert(i, (host, connection.clone()));
                connection
            }
        }
    }

    /// Returns whether the last attempt to connect to a host failed.
    pub fn is_unreachable(&self, host: HostAddr) -> bool {
        let connections = self.connections.borrow();
        let at = connections.binary_search_by_key(&host, |(h, _)| *h);
        at.is_ok_and(|i| connections[i].1.failed_at.get().is_some())
    }

    /// Closes the connection to a host that no longer exists.
    pub fn remove(&self, host: HostAddr) {
        self.connections.borrow_mut().retain(|(h, _)| *h != host);
    }
}

fn not_run(why: NotRun) -> ForwardReply {
    let outcome = Outcome::NotRun { why, after_ms: 0 };
    ForwardReply { outcome, ..ForwardReply::default() }
}

fn unknown(why: String) -> ForwardReply {
    let outcome = Outcome::Unknown { why };
    ForwardReply { outcome, arrived: true, ..ForwardReply::default() }
}

/// Forwards a request to `host` and returns its outcome there. Dropping the future cancels it
/// there.
pub async fn forward(
    cx: &Cx,
    holder: HolderId,
    host: HostAddr,
    forward: &Forward,
    extension: ForwardExtension,
    body: &Bytes,
) -> (ForwardReply, Bytes) {
    // What fits into the window of the stream arrives without being asked for.
    let Some(_window) = cx.memory.admit_reply(REPLY_WINDOW_BYTES.into()) else {
        return (not_run(NotRun::NoRoom), Bytes::new());
    };
    let mut path = RUN_PATH.to_owned();
    if body.len() >= bodies::LARGE_BODY_BYTES {
        match bodies::announce(cx, host, forward, body.len()).await {
            Ok(TransferId(id)) => path = format!("{RUN_PATH}/{id}"),
            Err(reply) => return (reply, Bytes::new()),
        }
    }
    let message = Message::new(forward, &extension, body);
    // A connection that turns out to be closed before anything was written is replaced once.
    for _ in 0..2 {
        let Some(mut tx) = connect(cx, host).await else {
            return (not_run(NotRun::Unreachable), Bytes::new());
        };
        let req = Request::post(uri(&path)).body(message.clone());
        let Ok(req) = req else { return (not_run(NotRun::Malformed), Bytes::new()) };
        let response = match tx.try_send_request(req).await {
            Ok(response) => response,
            Err(mut e) => {
                drop_if_closed(cx, host).await;
                if e.take_message().is_some() {
                    continue;
                }
                return (unknown(e.into_error().to_string()), Bytes::new());
            }
        };
        let mut room = cx.memory.response(holder, RESPONSE_WAIT);
        let read =
            http1::read_body_with_room(response.into_body(), MAX_REPLY_BYTES, &mut room).await;
        let body = match read {
            Ok(body) => room.attach(body),
            Err(e) => return (unknown(e.to_string()), Bytes::new()),
        };
        return match decode_extended::<ForwardReply, ForwardReplyExtension>(body) {
            Ok((mut reply, extension, body)) => {
                reply.outcome = reply.outcome.with_final_status();
                cx.observe_config_version(reply.version);
                cx.merge_suspects(&reply.suspects);
                cx.record_class_load(host, forward, extension.class);
                (reply, body)
            }
            Err(e) => (unknown(e.to_string()), Bytes::new()),
        };
    }
    (not_run(NotRun::Unreachable), Bytes::new())
}

async fn connect(cx: &Cx, host: HostAddr) -> Option<SendRequest<Message>> {
    let connection = cx.host_connections.get(host);
    let mut open = connection.tx.lock().await;
    if let Some(tx) = open.as_ref().filter(|tx| !tx.is_closed()) {
        return Some(tx.clone());
    }
    *open = None;
    if connection.failed_at.get().is_some_and(|at| cx.now().since(at) < CONNECT_BACKOFF) {
        return None;
    }
    match open_connection(host).await {
        Ok(tx) => {
            if connection.failed_at.take().is_some() {
                info!("event=host-reachable host={host}");
            }
            *open = Some(tx.clone());
            Some(tx)
        }
        Err(why) => {
            if connection.failed_at.get().is_none() {
                warn!("event=host-unreachable host={host} why={why:?}");
            }
            connection.failed_at.set(Some(cx.now()));
            None
        }
    }
}

async fn drop_if_closed(cx: &Cx, host: HostAddr) {
    let connection = cx.host_connections.get(host);
    let mut open = connection.tx.lock().await;
    if open.as_ref().is_some_and(|tx| tx.is_closed()) {
        *open = None;
    }
}

async fn open_connection(host: HostAddr) -> Result<SendRequest<Message>, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(host.0)).await {
        Ok(stream) => stream.map_err(|e| e.to_string())?,
        Err(_) => return Err(format!("no connection within {CONNECT_TIMEOUT:?}")),
    };
    http1::set_liveness_options(&stream, TCP_USER_TIMEOUT, KEEPALIVE_IDLE)
        .map_err(|e| e.to_string())?;
    let (tx, connection) = http2::Builder::new(LocalExecutor)
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEPALIVE.0)
        .keep_alive_timeout(KEEPALIVE.1)
        .initial_stream_window_size(REPLY_WINDOW_BYTES)
        .initial_connection_window_size(4 << 20)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    actix_rt::spawn(async move {
        // The end of the connection reaches its requests as an error.
        let _ = connection.await;
    });
    Ok(tx)
}

/// HTTP/2 requires an authority; the connection already determines the host.
fn uri(path: &str) -> String {
    format!("http://host{path}")
}

/// Makes a call other than a forwarded request. Returns `None` if there is no reply within `limit`.
pub async fn call<R: Decode<()>>(
    cx: &Cx,
    host: HostAddr,
    path: &'static str,
    message: &impl Encode,
    limit: Duration,
) -> Option<R> {
    let called = call_extended::<R, ()>(cx, host, path, message, &(), limit).await;
    called.map(|(reply, ())| reply)
}

/// Makes a call whose message and reply have extensions.
pub async fn call_extended<R: Decode<()>, E: Decode<()> + Encode + Default>(
    cx: &Cx,
    host: HostAddr,
    path: &'static str,
    message: &impl Encode,
    extension: &E,
    limit: Duration,
) -> Option<(R, E)> {
    let exchange = async {
        let mut tx = connect(cx, host).await?;
        let message = Message::from(encode_extended(message, extension, &[]));
        let req = Request::post(uri(path)).body(message).ok()?;
        let response = tx.send_request(req).await.ok()?;
        let body = http1::read_body(response.into_body(), MAX_REPLY_BYTES).await.ok()?;
        decode_extended::<R, E>(body).ok().map(|(reply, extension, _)| (reply, extension))
    };
    timeout(limit, exchange).await.ok().flatten()
}

/// Accepts connections of other hosts until the process stops. A host that can't connect knows that
/// its request did not run.
pub async fn listen(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        let accepted = listeners::accept(&listener, cx.accepted.hosts.name(), TCP_USER_TIMEOUT);
        match select(pin!(accepted), pin!(cx.close_connections.notified())).await {
            Either::Left((stream, _)) => {
                let Some(connection) = cx.accepted.hosts.add().await else { continue };
                cx.memory.spawn(serve_connection(cx.clone(), stream, connection));
            }
            Either::Right(_) => return,
        };
    }
}

/// Serves a connection of another host. Once the process stops, it sends a GOAWAY first: if a
/// request were on its way while the connection closes, its sender could not tell whether it ran.
async fn serve_connection(cx: Rc<Cx>, stream: TcpStream, accepted: Connection) {
    let (holder, requests) = (accepted.id(), accepted.requests());
    let service = hyper::service::service_fn(|req| {
        let request = requests.start();
        let handled = handle(cx.clone(), holder, req);
        async move {
            let _request = request;
            handled.await
        }
    });
    let connection = hyper::server::conn::http2::Builder::new(LocalExecutor)
        .timer(TokioTimer::new())
        .initial_stream_window_size(1 << 20)
        .initial_connection_window_size(4 << 20)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closed = pin!(accepted.closed());
    let stopped = pin!(cx.close_connections.notified());
    // A broken connection reaches its requests as an error.
    tokio::select! {
        _ = &mut connection => return,
        () = &mut closed => return,
        () = stopped => {}
    }
    let _writing = WritingGuard::new(&cx.writing);
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = closed => {}
    }
}

async fn handle(
    cx: Rc<Cx>,
    holder: HolderId,
    req: Request<Incoming>,
) -> Result<Response<Message>, Infallible> {
    let path = req.uri().path().to_owned();
    let transfer = path.strip_prefix(RUN_PATH).and_then(|p| p.strip_prefix('/')?.parse().ok());
    let transfer = transfer.map(|id| TransferGuard::new(&cx, TransferId(id)));
    let announced = transfer.as_ref().map_or(0, TransferGuard::admitted_bytes);
    let limit = MAX_MESSAGE_BYTES + announced;
    // Hosts have to agree on who owns a key also while there is no memory for new requests.
    let purpose = if path.starts_with(RUN_PATH) { Purpose::Body } else { Purpose::Control };
    // What waits for room stays in the buffers of the connection, so nothing does.
    let mut room = cx.memory.request(holder, purpose, Duration::ZERO);
    let message = match http1::read_body_with_room(req.into_body(), limit, &mut room).await {
        Ok(message) => message,
        Err(BodyError::NoRoom) => {
            warn!("event=message-refused path={path} why=memory");
            metrics::counter!("papayarill_refused_requests", "why" => "memory").increment(1);
            return Ok(reply(encode(&not_run(NotRun::NoRoom), &[])));
        }
        Err(e) => {
            warn!("event=message-truncated path={path} error={:?}", e.to_string());
            return Ok(malformed_reply());
        }
    };
    let _memory = room.arrived();
    let received_bytes = message.len();
    if let Some(transfer) = transfer {
        transfer.arrived();
    }
    let handled = match path.as_str() {
        WITNESS_PATH => {
            decode(message).map(|(request, _)| encode(&handle_witness(&cx, &request), &[]))
        }
        CHANGES_PATH => match decode_extended(message) {
            Ok((request, evacuations, _)) => {
                let (reply, known) = relay::handle_pull(&cx, &request, evacuations).await;
                Ok(encode_extended(&reply, &known, &[]))
            }
            Err(e) => Err(e),
        },
        ANNOUNCE_PATH => match decode(message) {
            Ok((request, _)) => Ok(encode(&bodies::handle_announcement(&cx, request).await, &[])),
            Err(e) => Err(e),
        },
        MEMBERS_PATH => decode(message)
            .map(|(request, _)| encode(&key_ownership::handle_members(&cx, &request), &[])),
        RENEWAL_PATH => match decode(message) {
            Ok((request, _)) => Ok(encode(&renewals::handle(&cx, request).await, &[])),
            Err(e) => Err(e),
        },
        _ => match decode_extended(message) {
            Ok((forward, extension, body)) => {
                let head_bytes = received_bytes - body.len();
                let bytes = REQUEST_BYTES + HEAD_COPIES * head_bytes;
                let Some(_memory) = cx.memory.admit_request(bytes as u64) else {
                    return Ok(reply(encode(&not_run(NotRun::NoRoom), &[])));
                };
                let message = handle_forward(&cx, holder, &forward, extension, body).await;
                return Ok(Response::new(message));
            }
            Err(e) => Err(e),
        },
    };
    Ok(match handled {
        Ok(message) => reply(cx.memory.hold(holder, message)),
        Err(e) => {
            warn!("event=message-rejected path={path} error={e:?}");
            malformed_reply()
        }
    })
}

fn reply(message: Bytes) -> Response<Message> {
    Response::new(message.into())
}

fn malformed_reply() -> Response<Message> {
    reply(encode(&not_run(NotRun::Malformed), &[]))
}

async fn handle_forward(
    cx: &Rc<Cx>,
    holder: HolderId,
    forward: &Forward,
    extension: ForwardExtension,
    body: Bytes,
) -> Message {
    cx.observe_config_version(forward.version);
    cx.merge_suspects(&forward.suspects);
    let (mut reply, body) =
        backend::run(cx, holder, forward, Origin::OtherHost(extension), body).await;
    reply.outcome = reply.outcome.for_other_hosts();
    let wait =
        cx.state.borrow_mut().response_link.response_ready(forward.class, body.len(), cx.now());
    if wait > Millis::ZERO {
        sleep(Duration::from(wait)).await;
    }
    let extension = ForwardReplyExtension { class: cx.class_load(forward.class) };
    Message::new(&reply, &extension, &body).map_copied(|copied| cx.memory.hold(holder, copied))
}

fn handle_witness(cx: &Cx, request: &WitnessRequest) -> WitnessReply {
    let reply = cx.state.borrow_mut().witness.answer(request, cx.process, cx.now());
    info!(
        "event=witness-answered question={:?} holder={} generation={} word={reply:?}",
        request.question, request.holder, request.generation
    );
    reply
}
