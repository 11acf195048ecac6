//! Listeners over HTTP/1.1: callers, the backend server, questions whether the process is ready,
//! and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use adapter::{RegistryCall, encode_heartbeat_reply, parse_registry_call, text_response};
use bytes::Bytes;
use futures_util::future::{Either, select};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use mesh::{Beat, BeatReply, Heard};
use metrics_exporter_prometheus::PrometheusHandle;
use model::Millis;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::ingress;
use crate::state::Cx;

/// The longest heartbeat, in bytes: all keys of a service in short ranges.
const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

/// An answer to a heartbeat waits this long for news. It has to come within a second, and the next
/// heartbeat comes a little less than a second after the last.
const HEARTBEAT_HOLD: Millis = Millis(600);

/// Written bytes have to be confirmed by callers within this.
const TCP_USER_TIMEOUT: Millis = Millis(10_000);

/// Probes on idle connections that were taken start after this.
const KEEPALIVE_IDLE: Millis = Millis(20_000);

/// After a connection that couldn't be taken, as when descriptors run out, the next is tried.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The longest head of a request, in bytes; the smallest buffer that the library takes is 8 KiB.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What an edge answers; it has no errors of its own.
pub type HandlerResult = Result<Response<Full<Bytes>>, Infallible>;

/// Answers requests on a listener with `handler` until the process ends. Connections close after
/// the answer under way once the process is told to stop.
pub async fn listen<F, R>(cx: Rc<Cx>, name: &'static str, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Cx>, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = HandlerResult> + 'static,
{
    loop {
        let stream = accept(&listener, name, TCP_USER_TIMEOUT).await;
        actix_rt::spawn(serve(cx.clone(), stream, handler.clone()));
    }
}

/// Takes the next connection. Bytes written to it have to be confirmed within `user_timeout`.
pub async fn accept(listener: &TcpListener, name: &str, user_timeout: Millis) -> TcpStream {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("event=accept-failed listener={name} error={e:?}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match http1::watch_peer(&stream, user_timeout, KEEPALIVE_IDLE) {
            Ok(()) => return stream,
            Err(e) => warn!("event=connection-dropped listener={name} error={e:?}"),
        }
    }
}

async fn serve<F, R>(cx: Rc<Cx>, stream: TcpStream, handler: F)
where
    F: Fn(Rc<Cx>, Request<Incoming>) -> R + 'static,
    R: Future<Output = HandlerResult> + 'static,
{
    // The head of the next request has to come while the connection may be idle.
    let limits = cx.state.borrow().config.as_ref().map(|c| c.config.limits).unwrap_or_default();
    let shared = cx.clone();
    let service = hyper::service::service_fn(move |req| handler(shared.clone(), req));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.idle))
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let connection = std::pin::pin!(connection);
    // A connection that breaks takes its request along; callers see that themselves.
    let stopped = std::pin::pin!(cx.close_connections.notified());
    if let Either::Right((_, mut connection)) = select(connection, stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Answers callers.
pub async fn handle_caller(cx: Rc<Cx>, req: Request<Incoming>) -> HandlerResult {
    ingress::handle(cx, req).await
}

/// Answers whether the process takes requests.
pub async fn handle_ready(cx: Rc<Cx>, _req: Request<Incoming>) -> HandlerResult {
    let ready = cx.state.borrow().config.is_some() && !cx.stopping.get();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Ok(text_response(status, Bytes::new()))
}

/// Answers the backend server of this host.
pub async fn handle_registry_call(cx: Rc<Cx>, req: Request<Incoming>) -> HandlerResult {
    let (head, body) = req.into_parts();
    let target = head.uri.path_and_query().map_or("", |t| t.as_str()).to_owned();
    let body = match Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            warn!("event=beat-refused error={e:?}");
            return Ok(text_response(
                StatusCode::BAD_REQUEST,
                Bytes::from_static(b"body cut or too long"),
            ));
        }
    };
    match parse_registry_call(&target, &body) {
        Ok(RegistryCall::Heartbeat(heartbeat)) => Ok(handle_heartbeat(&cx, &heartbeat).await),
        Ok(RegistryCall::Deregister(id)) => {
            handle_deregister(&cx, &id);
            Ok(json_response(Bytes::from_static(b"{}")))
        }
        Err(e) => {
            warn!("event=beat-refused error={:?}", e.to_string());
            Ok(text_response(StatusCode::BAD_REQUEST, Bytes::from(e.to_string())))
        }
    }
}

async fn handle_heartbeat(cx: &Cx, heartbeat: &adapter::Heartbeat) -> Response<Full<Bytes>> {
    if heartbeat.service != cx.settings.service {
        warn!("event=beat-refused why=other-service service={}", heartbeat.service);
        return text_response(StatusCode::BAD_REQUEST, Bytes::from_static(b"another service"));
    }
    let received_at = cx.now();
    let beat = &heartbeat.beat;
    let heard = record_heartbeat(cx, heartbeat, received_at);
    if heard == Heard::MayWait && cx.owns_keys() {
        wait_for_grant_change(cx, beat, received_at).await;
    }
    let reply = match heard {
        Heard::Late => BeatReply::default(),
        Heard::AnswerNow | Heard::MayWait => cx.state.borrow_mut().keeper.reply(beat, received_at),
    };
    cx.changed.notify_waiters();
    json_response(encode_heartbeat_reply(&reply))
}

fn record_heartbeat(cx: &Cx, heartbeat: &adapter::Heartbeat, received_at: Millis) -> Heard {
    let connections = cx.connections();
    let mut state = cx.state.borrow_mut();
    let before = (state.keeper.backend().cloned(), state.keeper.serving());
    let heard = state.keeper.hear(&heartbeat.beat, received_at);
    let after = (state.keeper.backend().cloned(), state.keeper.serving());
    if after.0.as_ref() == Some(&heartbeat.beat.boot) {
        // One connection a job.
        state.queue.set_slots(heartbeat.slots.min(connections));
        state.connect_failed_at = None;
    }
    if before.0 != after.0 {
        state.draining_since = None;
    }
    drop(state);
    if let (true, Some(boot)) = (before != after, &after.0) {
        info!("event=backend id={} started={} open={}", boot.id, boot.started, after.1);
    }
    cx.changed.notify_waiters();
    cx.keeper_due.notify_one();
    heard
}

/// Waits until the answer would change what the backend server holds.
async fn wait_for_grant_change(cx: &Cx, beat: &Beat, received_at: Millis) {
    loop {
        let changed = cx.changed.notified();
        let left = HEARTBEAT_HOLD.since(cx.now().since(received_at));
        if left == Millis::ZERO || cx.state.borrow().keeper.has_news(beat, received_at) {
            return;
        }
        // Either way the next look decides.
        let _ = timeout(Duration::from(left), changed).await;
    }
}

fn handle_deregister(cx: &Cx, id: &str) {
    let mut state = cx.state.borrow_mut();
    let known = state.keeper.backend().is_some_and(|b| b.id == id);
    info!("event=backend-leaves id={id} known={known}");
    if known {
        state.keeper.leave();
        state.draining_since = Some(cx.now());
    }
}

fn json_response(body: Bytes) -> Response<Full<Bytes>> {
    let mut handler = text_response(StatusCode::OK, body);
    handler.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    handler
}

/// Returns an answer function that prints metrics.
pub fn metrics_handler(
    handle: PrometheusHandle,
) -> impl Fn(Rc<Cx>, Request<Incoming>) -> std::future::Ready<HandlerResult> + Clone + 'static {
    move |cx, _| {
        // This one falls by itself as refusals end.
        metrics::gauge!("papayarill_crashing_requests").set(cx.refused_request_count() as f64);
        let text = Bytes::from(handle.render());
        std::future::ready(Ok(text_response(StatusCode::OK, text)))
    }
}
