//! The HTTP/1.1 listeners: for callers, who may pipeline their requests, for the backend server, for
//! readiness checks and for metrics.

use std::future::Ready;
use std::rc::Rc;
use std::time::Duration;

use adapter::{RegistryCall, encode_heartbeat_reply, parse_registry_call, text_response};
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use http1::BodyError;
use http1::server::{self, HeldBytes, MemoryFreed, Policy, RequestBody};
use log::{info, warn};
use mesh::{
    BackendHeartbeat, GrantDelivery, HeartbeatAction, HeartbeatReply, HolderId, Incarnation,
    Purpose, RetrySafety,
};
use metrics_exporter_prometheus::PrometheusHandle;
use model::Millis;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::state::{Connections, Cx, WritingGuard};
use crate::{cold_start, departures, ingress};
use client_memory::{Connection, ConnectionGroup};

/// The largest heartbeat, in bytes: all keys of a service in short ranges.
const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

/// How long a heartbeat response is held back for new grants. The response is due within a second,
/// and the next heartbeat follows a little less than a second after the previous one.
const HEARTBEAT_HOLD: Millis = Millis(600);

/// Clients must acknowledge written bytes within this time.
const TCP_USER_TIMEOUT: Millis = Millis(10_000);

/// Idle accepted connections are probed after this time.
const KEEPALIVE_IDLE: Millis = Millis(20_000);

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Serves callers until the process ends. Once the process stops, each connection closes after the
/// responses to the requests that it has read.
pub async fn listen_for_callers(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, cx.accepted.callers.name(), TCP_USER_TIMEOUT).await;
        let Some(connection) = cx.accepted.callers.add().await else { continue };
        let policy = ConnectionPolicy { connection, routes: Some(cx.clone()) };
        let settings = server::Settings::default();
        cx.memory.spawn(serve(cx.clone(), stream, settings, policy, ingress::handle));
    }
}

/// Serves requests to one of the other addresses with `handler` until the process ends. Once the process
/// stops, each connection closes after the response in progress.
pub async fn listen<F, R>(
    cx: Rc<Cx>,
    group: fn(&Connections) -> &ConnectionGroup,
    listener: TcpListener,
    handler: F,
) where
    F: Fn(Rc<Cx>, HolderId, Request<RequestBody>) -> R + Clone + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let settings = server::Settings { max_requests: 1, ..server::Settings::default() };
    loop {
        let stream = accept(&listener, group(&cx.accepted).name(), TCP_USER_TIMEOUT).await;
        let Some(connection) = group(&cx.accepted).add().await else { continue };
        let policy = ConnectionPolicy { connection, routes: None };
        cx.memory.spawn(serve(cx.clone(), stream, settings, policy, handler.clone()));
    }
}

/// Serves a connection. The head of the next request must arrive before the idle timeout.
pub async fn serve<F, R>(
    cx: Rc<Cx>,
    stream: TcpStream,
    settings: server::Settings,
    policy: ConnectionPolicy,
    handler: F,
) where
    F: Fn(Rc<Cx>, HolderId, Request<RequestBody>) -> R + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let limits = cx.state.borrow().config.as_ref().map(|c| c.config.limits).unwrap_or_default();
    let settings = server::Settings {
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: limits.idle_timeout,
        ..settings
    };
    let shared = cx.clone();
    let (holder, closed) = (policy.connection.id(), policy.connection.closed());
    let requests = policy.connection.requests();
    let handler = move |req| {
        let cx = shared.clone();
        let request = requests.start();
        let handled = handler(cx.clone(), holder, req);
        async move {
            // Callers that repeat refused requests don't keep a stopping process from its end.
            let accepted = !cx.rejecting.get();
            let response = handled.await;
            (response, (request, accepted.then(|| WritingGuard::new(&cx.writing))))
        }
    };
    let served = server::serve(stream, settings, handler, policy, cx.close_connections.notified());
    tokio::select! {
        () = served => {}
        () = closed => {}
    }
}

/// What decides about a connection.
pub struct ConnectionPolicy {
    /// The connection.
    pub connection: Connection,
    /// Set if its requests are those of callers, which may start early as their routes say.
    pub routes: Option<Rc<Cx>>,
}

impl Policy for ConnectionPolicy {
    fn may_start_early(&self, head: &http::request::Parts) -> bool {
        let Some(cx) = &self.routes else { return false };
        let state = cx.state.borrow();
        let Some(active) = &state.config else { return false };
        let Some(host) = adapter::request_host(head) else { return false };
        let route = active.config.find_route(host, head.uri.path());
        route.is_some_and(|r| r.retry_safety == RetrySafety::Idempotent)
    }

    fn is_stopping(&self) -> bool {
        self.routes.as_ref().is_some_and(|cx| cx.stopping.get())
    }

    fn record_held_bytes(&self, held: HeldBytes) {
        self.connection.record_held(held);
    }

    fn reserve(&self, bytes: usize) -> Result<(), MemoryFreed> {
        self.connection.reserve_input(bytes)
    }

    fn is_memory_short(&self) -> bool {
        self.connection.is_memory_short()
    }
}

/// Accepts the next connection. Its peer must acknowledge written bytes within `user_timeout`.
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
        match http1::set_liveness_options(&stream, user_timeout, KEEPALIVE_IDLE) {
            Ok(()) => return stream,
            Err(e) => warn!("event=connection-dropped listener={name} error={e:?}"),
        }
    }
}

/// Handles readiness checks.
pub async fn handle_ready(
    cx: Rc<Cx>,
    _: HolderId,
    _: Request<RequestBody>,
) -> Response<Full<Bytes>> {
    let ready = cx.state.borrow().config.is_some() && !cx.stopping.get();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    text_response(status, Bytes::new())
}

/// Handles registry calls (heartbeat, deregistration) of this host's backend server.
pub async fn handle_registry_call(
    cx: Rc<Cx>,
    holder: HolderId,
    req: Request<RequestBody>,
) -> Response<Full<Bytes>> {
    let (head, body) = req.into_parts();
    let target = head.uri.path_and_query().map_or("", |t| t.as_str()).to_owned();
    // Heartbeats matter more than new requests.
    let mut room = cx.memory.request(holder, Purpose::Control, Duration::ZERO);
    let body = match http1::read_body_with_room(body, MAX_HEARTBEAT_BYTES, &mut room).await {
        Ok(body) => body,
        Err(e) => {
            warn!("event=heartbeat-rejected error={:?}", e.to_string());
            let (status, text): (_, &[u8]) = match e {
                BodyError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, b"no memory"),
                _ => (StatusCode::BAD_REQUEST, b"body cut or too long"),
            };
            return text_response(status, Bytes::from_static(text));
        }
    };
    let _memory = room.arrived();
    match parse_registry_call(&target, &body) {
        Ok(RegistryCall::Heartbeat(heartbeat)) => handle_heartbeat(&cx, &heartbeat).await,
        Ok(RegistryCall::Deregister { id, started_at }) => {
            handle_deregister(&cx, &id, started_at);
            match departures::wait_until_recorded(&cx).await {
                true => json_response(Bytes::from_static(b"{}")),
                false => not_recorded(),
            }
        }
        Err(e) => {
            warn!("event=heartbeat-rejected error={:?}", e.to_string());
            text_response(StatusCode::BAD_REQUEST, Bytes::from(e.to_string()))
        }
    }
}

async fn handle_heartbeat(cx: &Cx, heartbeat: &adapter::Heartbeat) -> Response<Full<Bytes>> {
    if heartbeat.service != cx.settings.service {
        warn!("event=heartbeat-rejected why=other-service service={}", heartbeat.service);
        return text_response(StatusCode::BAD_REQUEST, Bytes::from_static(b"another service"));
    }
    let received_at = cx.now();
    let backend = &heartbeat.backend;
    if !departures::wait_until_known(cx).await {
        return not_recorded();
    }
    let action = if cx.state.borrow().departures.admits(&backend.incarnation, backend.seq) {
        record_heartbeat(cx, heartbeat, received_at)
    } else {
        info!(
            "event=heartbeat-late id={} seq={} why=departed",
            backend.incarnation.id, backend.seq
        );
        metrics::counter!("papayarill_late_heartbeats").increment(1);
        HeartbeatAction::Stale
    };
    if backend.draining && action != HeartbeatAction::Stale {
        cx.state.borrow_mut().departures.record_draining(&backend.incarnation, backend.seq);
        cx.departure_due.notify_one();
        if !departures::wait_until_recorded(cx).await {
            return not_recorded();
        }
    }
    let carries_grants = cx.owns_keys() && cx.grant_delivery() == GrantDelivery::HeartbeatReply;
    if action == HeartbeatAction::MayDefer && carries_grants {
        wait_for_grant_change(cx, backend, received_at).await;
    }
    let reply = match action {
        HeartbeatAction::Stale => HeartbeatReply::default(),
        HeartbeatAction::ReplyNow | HeartbeatAction::MayDefer => {
            cx.state.borrow_mut().ownership.heartbeat_reply(backend, received_at)
        }
    };
    cx.changed.notify_waiters();
    json_response(encode_heartbeat_reply(&reply))
}

fn record_heartbeat(
    cx: &Cx,
    heartbeat: &adapter::Heartbeat,
    received_at: Millis,
) -> HeartbeatAction {
    let connections = cx.connections();
    let mut state = cx.state.borrow_mut();
    let before =
        (state.ownership.backend_incarnation().cloned(), state.ownership.backend_serving());
    let action = state.ownership.receive_heartbeat(&heartbeat.backend, received_at);
    let after = (state.ownership.backend_incarnation().cloned(), state.ownership.backend_serving());
    if after.0.as_ref() == Some(&heartbeat.backend.incarnation) {
        // Each running request uses a connection of its own.
        state.queue.set_slots(heartbeat.slots.min(connections));
        state.connect_failed_at = None;
    }
    if action != HeartbeatAction::Stale {
        cold_start::record_heartbeat(&mut state, heartbeat, before.0 != after.0, received_at);
    }
    if before.0 != after.0 {
        state.deregistered_at = None;
        cx.grant_client.close_idle();
    }
    drop(state);
    if let (true, Some(current)) = (before != after, &after.0) {
        info!("event=backend id={} started={} open={}", current.id, current.started_at, after.1);
    }
    cx.changed.notify_waiters();
    cx.ownership_due.notify_one();
    cx.grants_due.notify_one();
    action
}

/// Waits until the response would change the grants of the backend server.
async fn wait_for_grant_change(cx: &Cx, backend: &BackendHeartbeat, received_at: Millis) {
    loop {
        let changed = cx.changed.notified();
        let left = HEARTBEAT_HOLD.since(cx.now().since(received_at));
        if left == Millis::ZERO
            || cx.state.borrow().ownership.reply_changes_grants(backend, received_at)
        {
            return;
        }
        // A timeout and a notification lead to the same check at the top of the loop.
        let _ = timeout(Duration::from(left), changed).await;
    }
}

/// Records that a backend server has deregistered. A call without its start concerns the current
/// incarnation; one of an earlier incarnation changes nothing.
fn handle_deregister(cx: &Cx, id: &str, started_at: Option<u64>) {
    let mut state = cx.state.borrow_mut();
    let current = state.ownership.backend_incarnation().cloned();
    let same_id = current.as_ref().filter(|b| b.id == id);
    let started_at = started_at.or(same_id.map(|b| b.started_at));
    let leaving = started_at.map(|started_at| Incarnation { started_at, id: id.to_owned() });
    let known = current.is_some() && current == leaving;
    info!("event=backend-deregistered id={id} started={started_at:?} known={known}");
    if known {
        state.ownership.backend_deregistered();
        state.deregistered_at = Some(cx.now());
        cx.grants_due.notify_one();
    }
    if let Some(leaving) = leaving.filter(|l| current.as_ref().is_none_or(|c| l >= c)) {
        state.departures.record_deregistration(leaving);
        cx.departure_due.notify_one();
    }
}

/// The response to a call that can't be confirmed while the store doesn't answer.
fn not_recorded() -> Response<Full<Bytes>> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not recorded yet"))
}

fn json_response(body: Bytes) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a handler that renders the metrics.
pub fn metrics_handler(
    handle: PrometheusHandle,
) -> impl Fn(Rc<Cx>, HolderId, Request<RequestBody>) -> Ready<Response<Full<Bytes>>> + Clone + 'static
{
    move |cx, holder, _| {
        // Set on read, because quarantines and cold periods expire without an event that could update the gauge.
        metrics::gauge!("papayarill_crashing_requests").set(cx.quarantined_count() as f64);
        let cold = cx.state.borrow().queue.cold_start().cold_until(cx.now());
        metrics::gauge!("papayarill_backend_cold").set(f64::from(u8::from(cold.is_some())));
        let evacuated = cx.state.borrow().evacuations.active().count();
        metrics::gauge!("papayarill_evacuated_zones").set(evacuated as f64);
        metrics::gauge!("papayarill_held_bytes").set(cx.memory.used() as f64);
        let responses = cx.memory.response_bytes();
        metrics::gauge!("papayarill_held_response_bytes").set(responses as f64);
        let text = cx.memory.hold(holder, Bytes::from(handle.render()));
        std::future::ready(text_response(StatusCode::OK, text))
    }
}
