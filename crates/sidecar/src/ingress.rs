//! Handles requests of callers on this host: reads the request and looks up its route. `attempts`
//! sends it to backend servers, and `response` builds the response.

use std::rc::Rc;

use adapter::{ErrorResponse, RequestHead};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use http1::BodyError;
use http1::server::RequestBody;
use log::info;
use mesh::{Config, HolderId, RetrySafety, SuspectUpdate};
use model::{Millis, RegionName, ServiceName};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::attempts::execute;
use crate::bodies;
use crate::response::{DEFAULT_RETRY_AFTER_MS, caller_response, retry_after, unserved_response};
use crate::state::{ActiveConfig, Cx};
use crate::wire::{Forward, NotRun};

/// How long a caller waits that sends no deadline.
const DEFAULT_CALLER_TIMEOUT: Millis = Millis(60_000);

/// How many copies of a request's head are in memory at most while it is served: as it is forwarded,
/// as it is encoded, and in the buffers that it is written from.
const HEAD_COPIES: usize = 4;

/// A request of a caller together with its route and deadlines.
pub(crate) struct Call {
    pub(crate) received_at: Millis,
    pub(crate) id: String,
    pub(crate) service: ServiceName,
    pub(crate) route: Rc<str>,
    pub(crate) retry_safety: RetrySafety,
    pub(crate) max_attempts: u32,
    pub(crate) deadline: Millis,
    pub(crate) target_deadline: Millis,
    pub(crate) caller_deadline: Millis,
    pub(crate) key: Option<u16>,
    pub(crate) allowed_regions: Vec<RegionName>,
    pub(crate) forward: Forward,
    pub(crate) body: Bytes,
}

/// Why a call has no response of a backend server.
pub(crate) enum Failure {
    NotRun { why: NotRun, after_ms: u64 },
    Unknown(String),
    TimedOut,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Cx>);

impl InFlightGuard {
    fn new(cx: &Rc<Cx>) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);
        Self(cx.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Handles a request of a caller.
pub async fn handle(
    cx: Rc<Cx>,
    holder: HolderId,
    req: Request<RequestBody>,
) -> Response<Full<Bytes>> {
    let _in_flight = InFlightGuard::new(&cx);
    let (head, body) = req.into_parts();
    // The request may have waited for the responses before it on the same connection.
    let received_at = cx.now().since(Millis::from(body.age()));
    match adapter::parse_request_head(&head) {
        Ok(request_head) => serve(&cx, holder, received_at, head, request_head, body).await,
        Err(e) => {
            info!("event=refused id=- why={e:?}");
            unserved_response(ErrorResponse::BadRequest, None)
        }
    }
}

async fn serve(
    cx: &Rc<Cx>,
    holder: HolderId,
    received_at: Millis,
    head: http::request::Parts,
    request_head: RequestHead,
    body: RequestBody,
) -> Response<Full<Bytes>> {
    let id = request_head.id.clone();
    if cx.rejecting.get() {
        info!("event=refused id={id} why=stopping");
        return unserved_response(
            ErrorResponse::NotRun(retry_after(DEFAULT_RETRY_AFTER_MS)),
            Some(&id),
        );
    }
    let head_bytes: usize = head.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    let target_bytes = head.uri.path_and_query().map_or(0, |t| t.as_str().len());
    let copies = HEAD_COPIES * (head_bytes + target_bytes);
    // The memory counts as used until the request has ended.
    let Some(_memory) = cx.memory.admit_request(copies as u64) else {
        info!("event=refused id={id} why=memory");
        let after = retry_after(DEFAULT_RETRY_AFTER_MS);
        return unserved_response(ErrorResponse::NotRun(after), Some(&id));
    };
    let config = cx.state.borrow().config.clone();
    let Some(ActiveConfig { config, .. }) = config else {
        info!("event=refused id={id} why=no-configuration");
        return unserved_response(
            ErrorResponse::NotRun(retry_after(DEFAULT_RETRY_AFTER_MS)),
            Some(&id),
        );
    };
    if head_bytes > config.limits.max_header_bytes {
        info!("event=refused id={id} why=head-too-long limit={}", config.limits.max_header_bytes);
        return unserved_response(ErrorResponse::HeadersTooLarge, Some(&id));
    }
    let max_bytes = config.limits.max_body_bytes;
    let (body, _body_memory) = match bodies::read(cx, holder, body, max_bytes).await {
        Ok(read) => read,
        Err(BodyError::TooLong { .. }) => {
            info!("event=refused id={id} why=body-too-long limit={max_bytes}");
            return unserved_response(ErrorResponse::BodyTooLarge, Some(&id));
        }
        Err(BodyError::NoRoom) => {
            info!("event=refused id={id} why=no-memory");
            let after = retry_after(DEFAULT_RETRY_AFTER_MS);
            return unserved_response(ErrorResponse::NotRun(after), Some(&id));
        }
        Err(BodyError::Incomplete { reason: e }) => {
            info!("event=refused id={id} why=body-cut error={e:?}");
            return unserved_response(ErrorResponse::BadRequest, Some(&id));
        }
    };
    let Some(mut call) = build_call(cx, received_at, &head, request_head, body, &config) else {
        info!("event=refused id={id} why=no-route version={}", config.version);
        return unserved_response(ErrorResponse::NoRoute, Some(&id));
    };
    drop(head);
    let result = execute(cx, holder, &mut call).await;
    caller_response(cx, &call, &config, result)
}

fn build_call(
    cx: &Cx,
    received_at: Millis,
    head: &http::request::Parts,
    request_head: RequestHead,
    body: Bytes,
    config: &Config,
) -> Option<Call> {
    let route = config.find_route(&request_head.host, head.uri.path())?;
    let service = route.pick_service(rand::random()).clone();
    let keyed = config.service(&service).is_some_and(|s| s.keyed);
    let caller_left = request_head.time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let key = request_head.key.filter(|_| keyed);
    let headers = head.headers.iter();
    let headers = headers.map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec())).collect();
    let target = head.uri.path_and_query().map_or_else(|| "/".into(), ToString::to_string);
    let forward = Forward {
        version: config.version.0,
        id: request_head.id.clone(),
        service: service.as_str().to_owned(),
        from: cx.settings.service.as_str().to_owned(),
        method: head.method.as_str().to_owned(),
        target,
        headers,
        key,
        class: xxh3_64(route.name.as_bytes()),
        priority: route.priority,
        target_ms: 0,
        limit_ms: 0,
        caller_ms: 0,
        digest: 0,
        suspects: SuspectUpdate::default(),
    };
    let digest = request_digest(&forward, &body);
    let forward = Forward { digest, ..forward };
    Some(Call {
        received_at,
        id: request_head.id,
        service,
        route: Rc::from(&*route.name),
        retry_safety: route.retry_safety,
        max_attempts: route.max_attempts,
        deadline: received_at + caller_left.min(route.time_limit),
        target_deadline: received_at + route.target_latency,
        caller_deadline: received_at + caller_left,
        key,
        allowed_regions: route.allowed_regions.clone(),
        forward,
        body,
    })
}

/// Hashes everything that determines what a request does on a backend server.
fn request_digest(forward: &Forward, body: &[u8]) -> u64 {
    let Forward { service, from, method, target, .. } = forward;
    let mut hash = Xxh3::new();
    for part in [service, from, method, target] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}
