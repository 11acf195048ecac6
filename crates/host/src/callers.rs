//! The HTTP listener for callers: validates requests, passes them to the ingress and streams the
//! responses back.
//!
//! Requests that can be rejected with local information alone are rejected here, with a specific
//! status and before anything is sent to a backend server.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_web::body::{BodyStream, SizedStream};
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use model::{Clock, Millis, Outcome, RequestId, UnknownReason, is_final_status};
use papayarill_config::{Config, RetrySafety, Service};
use routing::response::{self, ErrorResponse, OUTCOME_HEADER, RETRY_AFTER_HEADER};
use routing::rules::{self, RequestPolicy};
use routing::target::Target;
use snafu::{ResultExt, Snafu};
use tokio::sync::{oneshot, watch};
use tokio_stream::wrappers::ReceiverStream;
use wire::ResponseHead;

use crate::backend::{INTERNAL_HEADER_PREFIX, is_hop_by_hop_header};
use crate::ingress::{BodyReceiver, CallerRequest, Ingress, RequestResult};

/// The number of threads that parse callers' HTTP requests.
const WORKER_THREADS: usize = 2;

/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection of a caller is kept open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a graceful shutdown waits for responses that are still being sent, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 30;

/// The maximum total size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// How far the timestamp of a request id may be ahead of this host's wall clock. The request waits
/// until the lead has passed.
const MAX_CALLER_CLOCK_LEAD: Millis = Millis(1_000);

/// The header that carries the request id.
const REQUEST_ID_HEADER: &str = "idempotency-key";

/// The header by which a caller can shorten the time limit.
const TIME_LEFT_HEADER: &str = "papayarill-time-left-ms";

/// The response header with the address of the owner's host process.
const OWNER_HEADER: &str = "papayarill-owner";

/// The state shared with the HTTP worker threads.
#[derive(Clone)]
pub struct CallersState {
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Config>>,
    /// The ingress actor.
    pub ingress: Addr<Ingress>,
    /// The wall clock.
    pub wall_clock: Clock,
    /// Whether this host is draining. If so, connections are closed after the response, so that
    /// callers reconnect to other hosts.
    pub draining: watch::Receiver<bool>,
}

/// Why a request was rejected before it reached the ingress.
#[derive(Debug, Snafu)]
enum RequestError {
    #[snafu(display("no service has this name"))]
    UnknownService,
    #[snafu(display("the method is not supported"))]
    UnsupportedMethod,
    #[snafu(display("the key: {source}"))]
    Key { source: rules::KeyError },
    #[snafu(display("the header idempotency-key is missing; this request runs at most once"))]
    MissingId,
    #[snafu(display("the header idempotency-key: {source}"))]
    MalformedId { source: model::RequestIdError },
    #[snafu(display(
        "the header idempotency-key: minted {lead} ms in the future, \
         at most {MAX_CALLER_CLOCK_LEAD} ms are waited out"
    ))]
    IdFromFuture { lead: Millis },
    #[snafu(display("the header {name} is malformed"))]
    MalformedHeader { name: &'static str },
    #[snafu(display("the headers are longer than {MAX_HEADER_BYTES} bytes"))]
    HeadersTooLong,
    #[snafu(display("the body is longer than {limit} bytes"))]
    BodyTooLong { limit: u64 },
    #[snafu(display("the body broke off"))]
    IncompleteBody,
}

impl RequestError {
    fn status(&self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::UnsupportedMethod => 405,
            Self::BodyTooLong { .. } => 413,
            Self::HeadersTooLong => 431,
            _ => 400,
        }
    }
}

/// Starts the listener.
pub fn listen(
    listener: std::net::TcpListener,
    state: CallersState,
) -> std::io::Result<actix_web::dev::Server> {
    let server = HttpServer::new(move || {
        App::new().app_data(web::Data::new(state.clone())).default_service(web::to(handle))
    });
    let server = server
        .workers(WORKER_THREADS)
        .tcp_nodelay(true)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

async fn handle(
    req: HttpRequest,
    body: web::Payload,
    state: web::Data<CallersState>,
) -> HttpResponse {
    let draining = *state.draining.borrow();
    let mut res = match parse_request(&req, body, &state).await {
        Ok(request) => send_to_ingress(request, &state).await,
        Err(error) => malformed_response(&error),
    };
    if draining {
        res.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    res
}

/// Validates an HTTP request and converts it to a [`CallerRequest`].
async fn parse_request(
    req: &HttpRequest,
    body: web::Payload,
    state: &CallersState,
) -> Result<CallerRequest, RequestError> {
    let config = state.config.borrow().clone();
    let target = req.uri().path_and_query().map_or("/", |t| t.as_str());
    let service = config.service(Target::new(target).service);
    let service = service.ok_or(RequestError::UnknownService)?;
    let method =
        rules::parse_method(req.method().as_str()).ok_or(RequestError::UnsupportedMethod)?;
    let policy = rules::match_rule(service, method, target);
    let key = rules::read_key(service, target, |name| {
        let mut values = req.headers().get_all(name);
        values.next().map(|v| v.as_bytes())
    })
    .context(KeySnafu)?;
    let id = read_id(req.headers(), &policy)?;
    if let Some(id) = id {
        wait_until_minted(id, &state.wall_clock).await?;
    }
    let time_limit = read_time_limit(req.headers(), &policy)?;
    let headers = forwarded_headers(req.headers())?;
    let body = read_body(body, service.max_body_bytes).await?;
    let digest = rules::digest(req.method().as_str(), target, key.as_deref(), &body);
    let (disconnect_guard, disconnected) = oneshot::channel();
    Ok(CallerRequest {
        service: service.name.clone(),
        partition: request_partition(service, key.as_deref(), id),
        id,
        digest,
        policy,
        time_limit,
        method: req.method().as_str().to_owned(),
        target: target.to_owned(),
        headers,
        body,
        disconnect_guard: Some(disconnect_guard),
        disconnected,
    })
}

/// Returns the partition that must run a request, if any.
///
/// A request with a key belongs to the partition of its key. An at-most-once request without a key
/// belongs to the partition of its id, so that all its retries are checked against the same
/// records.
fn request_partition(
    service: &Service,
    key: Option<&str>,
    id: Option<RequestId>,
) -> Option<model::Partition> {
    match (key, id) {
        (Some(key), _) => Some(model::partition_of(key, service.partitions)),
        (None, Some(id)) => Some(rules::partition_of_id(id, service.partitions)),
        (None, None) => None,
    }
}

/// Reads the request id. Idempotent requests need none; if they have one, it is forwarded
/// unparsed.
fn read_id(headers: &HeaderMap, policy: &RequestPolicy) -> Result<Option<RequestId>, RequestError> {
    if policy.repeat == RetrySafety::Idempotent {
        return Ok(None);
    }
    let value = headers.get(REQUEST_ID_HEADER).ok_or(RequestError::MissingId)?;
    let header_error = RequestError::MalformedHeader { name: REQUEST_ID_HEADER };
    let text = value.to_str().map_err(|_| header_error)?;
    RequestId::parse(text.trim_matches('"')).context(MalformedIdSnafu).map(Some)
}

/// Waits until the timestamp of a request id has passed.
///
/// A request therefore never runs before its id's timestamp. This lets a new owner that has no
/// records decide by the timestamp alone which ids may have run under the previous owner.
async fn wait_until_minted(id: RequestId, clock: &Clock) -> Result<(), RequestError> {
    let lead = id.minted_at().since(clock.now());
    if lead > MAX_CALLER_CLOCK_LEAD {
        return IdFromFutureSnafu { lead }.fail();
    }
    if lead > Millis::ZERO {
        tokio::time::sleep(lead.into()).await;
    }
    Ok(())
}

fn read_time_limit(headers: &HeaderMap, policy: &RequestPolicy) -> Result<Millis, RequestError> {
    let Some(value) = headers.get(TIME_LEFT_HEADER) else {
        return Ok(policy.time_limit);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let requested = parsed.ok_or(RequestError::MalformedHeader { name: TIME_LEFT_HEADER })?;
    Ok(policy.time_limit.min(Millis(requested)))
}

/// Returns the headers to forward: all but hop-by-hop headers and those that only host processes
/// may set.
fn forwarded_headers(headers: &HeaderMap) -> Result<Vec<(String, Vec<u8>)>, RequestError> {
    let mut forwarded = Vec::new();
    let mut bytes = 0;
    for (name, value) in headers {
        let name = name.as_str();
        bytes += name.len() + value.len();
        if is_hop_by_hop_header(name) || name.starts_with(INTERNAL_HEADER_PREFIX) {
            continue;
        }
        forwarded.push((name.to_owned(), value.as_bytes().to_vec()));
    }
    if bytes > MAX_HEADER_BYTES {
        return HeadersTooLongSnafu.fail();
    }
    Ok(forwarded)
}

async fn read_body(mut body: web::Payload, limit: u64) -> Result<Bytes, RequestError> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|_| RequestError::IncompleteBody)?;
        let length = buffer.len() + chunk.len();
        if u64::try_from(length).unwrap_or(u64::MAX) > limit {
            return BodyTooLongSnafu { limit }.fail();
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

/// Passes the request to the ingress. When the caller disconnects, this future is dropped, which
/// drops the request's `disconnect_guard` and so cancels the request.
async fn send_to_ingress(mut request: CallerRequest, state: &CallersState) -> HttpResponse {
    let disconnect_guard = request.disconnect_guard.take();
    let sent = state.ingress.send(request).await;
    let res = match sent {
        Ok(result) => outcome_response(result),
        Err(_) => error_response(&response::not_run(
            model::NotRunReason::Draining,
            response::DEFAULT_RETRY_AFTER,
        )),
    };
    drop(disconnect_guard);
    res
}

fn outcome_response(result: RequestResult) -> HttpResponse {
    // Records that a host of an earlier release handed over may hold a status of no response.
    let outcome = match result.outcome {
        Outcome::Ran((head, _)) if !is_final_status(head.status) => {
            Outcome::Unknown(UnknownReason::InvalidResponse)
        }
        outcome => outcome,
    };
    match response::for_outcome(&outcome, result.retry_after) {
        Some(error) => error_response(&error),
        None => match outcome {
            Outcome::Ran((head, body)) => backend_response(head, body),
            _ => HttpResponse::InternalServerError().finish(),
        },
    }
}

fn backend_response(head: ResponseHead, body: BodyReceiver) -> HttpResponse {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    let mut has_outcome_header = false;
    for (name, value) in &head.headers {
        has_outcome_header |= name == OUTCOME_HEADER;
        res.append_header((name.as_str(), value.as_slice()));
    }
    if !has_outcome_header {
        res.insert_header((OUTCOME_HEADER, "ran"));
    }
    res.insert_header((OWNER_HEADER, head.owner.to_string()));
    let body = ReceiverStream::new(body);
    match head.body_length {
        Some(length) => res.body(SizedStream::new(length, body)),
        None => res.body(BodyStream::new(body)),
    }
}

fn error_response(error: &ErrorResponse) -> HttpResponse {
    let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    for (name, value) in error.headers() {
        res.insert_header((name, value));
    }
    res.body(error.reason.clone())
}

fn malformed_response(error: &RequestError) -> HttpResponse {
    log::info!("ingress: Rejected a malformed request: {error}.");
    metrics::counter!("papayarill_requests_malformed_total").increment(1);
    let response = response::malformed(&error.to_string());
    let mut res = error_response(&response);
    *res.status_mut() = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    res.headers_mut().remove(RETRY_AFTER_HEADER);
    res
}
