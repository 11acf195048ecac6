//! Requests of callers: validates them, passes them to the ingress and streams the responses back.
//!
//! Requests that can be rejected with local information alone are rejected here, with a specific
//! status and before anything is sent to a backend server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use bytes::Bytes;
use client_memory::{Charge, MemoryAccount};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, request};
use http1::BodyError;
use http1::server::{BrokenOff, RequestBody, ResponseBody, Unserved};
use mesh::{HolderId, Purpose};
use model::{Clock, Millis, NotRunReason, Outcome, RequestId, UnknownReason, is_final_status};
use papayarill_config::{Config, RetrySafety, Service};
use routing::response::{self, ErrorResponse, OUTCOME_HEADER};
use routing::rules::{self, RequestPolicy};
use routing::target::Target;
use snafu::{ResultExt, Snafu};
use tokio::sync::{oneshot, watch};
use tokio_stream::wrappers::ReceiverStream;
use wire::ResponseHead;

use crate::backend::{INTERNAL_HEADER_PREFIX, is_hop_by_hop_header};
use crate::ingress::{BodyReceiver, CallerRequest, Ingress, RequestResult};
use crate::listener::plain_response;

/// The maximum total size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// How many copies of a request's head are in memory at most while it is served.
const HEAD_COPIES: usize = 4;

/// How long a caller is held back while other bodies take the memory.
const MEMORY_WAIT: Duration = Duration::from_millis(200);

/// What the process buffers of a response whose caller doesn't read, besides what the connection
/// has taken, in bytes: the window of a stream of another host, and the parts that wait in order.
const RESPONSE_BUFFER_BYTES: u64 = 256 << 10;

/// The connection and the system take this much of a response that nobody reads, so that a shorter
/// one leaves no buffers full.
const SHORT_RESPONSE_BYTES: usize = 32 << 10;

/// How far the timestamp of a request id may be ahead of this host's wall clock. The request waits
/// until the lead has passed.
const MAX_CALLER_CLOCK_LEAD: Millis = Millis(1_000);

/// The header that carries the request id.
const REQUEST_ID_HEADER: &str = "idempotency-key";

/// The header by which a caller can shorten the time limit.
const TIME_LEFT_HEADER: &str = "papayarill-time-left-ms";

/// The response header with the address of the owner's host process.
const OWNER_HEADER: &str = "papayarill-owner";

/// What requests of callers need.
pub struct CallersState {
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Config>>,
    /// The ingress actor.
    pub ingress: Addr<Ingress>,
    /// The wall clock.
    pub wall_clock: Clock,
    /// The account of what is held for callers.
    pub memory: Rc<MemoryAccount>,
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
    #[snafu(display("there is no memory for the request"))]
    NoMemory,
}

impl RequestError {
    fn status(&self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::UnsupportedMethod => 405,
            Self::BodyTooLong { .. } => 413,
            Self::HeadersTooLong => 431,
            Self::NoMemory => 503,
            _ => 400,
        }
    }
}

/// Handles a request on the connection `holder`.
pub async fn handle(
    state: &CallersState,
    holder: HolderId,
    req: Request<RequestBody>,
) -> Response<ResponseBody> {
    let (head, body) = req.into_parts();
    let head_bytes: usize = head.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    let target_bytes = head.uri.path_and_query().map_or(0, |t| t.as_str().len());
    let copies = HEAD_COPIES * (head_bytes + target_bytes);
    // The memory counts as used until the request has ended.
    let Some(_memory) = state.memory.admit_request(copies as u64) else {
        return rejection(&RequestError::NoMemory);
    };
    match parse_request(&head, body, holder, state).await {
        Ok((request, _body_memory)) => send_to_ingress(request, holder, state).await,
        Err(error) => rejection(&error),
    }
}

/// Validates an HTTP request and converts it to a [`CallerRequest`].
async fn parse_request(
    req: &request::Parts,
    body: RequestBody,
    holder: HolderId,
    state: &CallersState,
) -> Result<(CallerRequest, Charge), RequestError> {
    let config = state.config.borrow().clone();
    let target = req.uri.path_and_query().map_or("/", |t| t.as_str());
    let service = config.service(Target::new(target).service);
    let service = service.ok_or(RequestError::UnknownService)?;
    let method = rules::parse_method(req.method.as_str()).ok_or(RequestError::UnsupportedMethod)?;
    let policy = rules::match_rule(service, method, target);
    let key =
        rules::read_key(service, target, |name| req.headers.get(name).map(HeaderValue::as_bytes))
            .context(KeySnafu)?;
    let id = read_id(&req.headers, &policy)?;
    if let Some(id) = id {
        wait_until_minted(id, &state.wall_clock).await?;
    }
    let time_limit = read_time_limit(&req.headers, &policy)?;
    let headers = forwarded_headers(&req.headers)?;
    let (body, body_memory) = read_body(body, holder, service.max_body_bytes, state).await?;
    let digest = rules::digest(req.method.as_str(), target, key.as_deref(), &body);
    let (disconnect_guard, disconnected) = oneshot::channel();
    let request = CallerRequest {
        service: service.name.clone(),
        partition: request_partition(service, key.as_deref(), id),
        id,
        digest,
        policy,
        time_limit,
        method: req.method.as_str().to_owned(),
        target: target.to_owned(),
        headers,
        body,
        disconnect_guard: Some(disconnect_guard),
        disconnected,
    };
    Ok((request, body_memory))
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

/// Reads the body. Its memory counts as used until the charge is dropped.
async fn read_body(
    body: RequestBody,
    holder: HolderId,
    limit: u64,
    state: &CallersState,
) -> Result<(Bytes, Charge), RequestError> {
    let max_bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut room = state.memory.request(holder, Purpose::Body, MEMORY_WAIT);
    let read = http1::read_body_with_room(body, max_bytes, &mut room).await;
    let body = read.map_err(|e| match e {
        BodyError::TooLong { .. } => RequestError::BodyTooLong { limit },
        BodyError::NoRoom => RequestError::NoMemory,
        BodyError::Incomplete { .. } => RequestError::IncompleteBody,
    })?;
    Ok((body, room.arrived()))
}

/// Passes the request to the ingress. When the caller disconnects, this future is dropped, which
/// drops the request's `disconnect_guard` and so cancels the request.
async fn send_to_ingress(
    mut request: CallerRequest,
    holder: HolderId,
    state: &CallersState,
) -> Response<ResponseBody> {
    let disconnect_guard = request.disconnect_guard.take();
    let sent = state.ingress.send(request).await;
    let res = match sent {
        Ok(result) => outcome_response(result, holder, state),
        Err(_) => error_response(&response::not_run(
            NotRunReason::Draining,
            response::DEFAULT_RETRY_AFTER,
        )),
    };
    drop(disconnect_guard);
    res
}

fn outcome_response(
    result: RequestResult,
    holder: HolderId,
    state: &CallersState,
) -> Response<ResponseBody> {
    // Records that a host of an earlier release handed over may hold a status of no response.
    let outcome = match result.outcome {
        Outcome::Ran((head, _)) if !is_final_status(head.status) => {
            Outcome::Unknown(UnknownReason::InvalidResponse)
        }
        outcome => outcome,
    };
    match (response::for_outcome(&outcome, result.retry_after), outcome) {
        (None, Outcome::Ran((head, body))) => backend_response(head, body, holder, state),
        (Some(error), outcome) => {
            let mut res = error_response(&error);
            if matches!(outcome, Outcome::NotRun(_)) {
                res.extensions_mut().insert(Unserved);
            }
            res
        }
        (None, _) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}

fn backend_response(
    head: ResponseHead,
    body: BodyReceiver,
    holder: HolderId,
    state: &CallersState,
) -> Response<ResponseBody> {
    let memory = state.memory.clone();
    let (mut passed, mut buffers) = (0, None);
    let chunks = ReceiverStream::new(body).map(move |chunk| {
        let chunk = chunk.map_err(|_| BrokenOff)?;
        passed += chunk.len();
        if passed > SHORT_RESPONSE_BYTES {
            // Counts until the stream is dropped.
            buffers.get_or_insert_with(|| memory.hold_buffers(holder, RESPONSE_BUFFER_BYTES));
        }
        Ok(chunk)
    });
    let body = ResponseBody::Stream { length: head.body_length, chunks: Box::pin(chunks) };
    let mut res = Response::new(body);
    *res.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = name.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            res.headers_mut().append(name, value);
        }
    }
    if !res.headers().contains_key(OUTCOME_HEADER) {
        res.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    }
    insert_header(&mut res, OWNER_HEADER, &head.owner.to_string());
    res
}

fn error_response(error: &ErrorResponse) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = plain_response(status, error.reason.clone());
    for (name, value) in error.headers() {
        insert_header(&mut res, name, &value);
    }
    res
}

fn insert_header(res: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

/// Returns the response to a request that is rejected here.
fn rejection(error: &RequestError) -> Response<ResponseBody> {
    log::info!("ingress: Rejected a request: {error}.");
    let mut res = match error {
        RequestError::NoMemory => error_response(&response::not_run(
            NotRunReason::Overloaded,
            response::DEFAULT_RETRY_AFTER,
        )),
        _ => {
            metrics::counter!("papayarill_requests_malformed_total").increment(1);
            error_response(&response::malformed(&error.to_string()))
        }
    };
    *res.status_mut() = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    res.extensions_mut().insert(Unserved);
    res
}
