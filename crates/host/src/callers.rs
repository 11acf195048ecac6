//! The listener for callers: HTTP in, a checked request to the ingress, the whole answer out.
//!
//! Everything that can be refused without asking anyone is refused here, with a status of its own
//! and before a byte goes to a backend server.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_web::body::{BodyStream, SizedStream};
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use model::{Clock, Millis, Outcome, RequestId};
use papayarill_config::{Config, Repeat, Service};
use routing::response::{self, ErrorResponse, OUTCOME_HEADER, RETRY_AFTER_HEADER};
use routing::rules::{self, RequestPolicy};
use routing::target::Target;
use snafu::{ResultExt, Snafu};
use tokio::sync::{oneshot, watch};
use tokio_stream::wrappers::ReceiverStream;
use wire::ResponseHead;

use crate::backend::{OWN_HEADER_PREFIX, is_hop_header};
use crate::ingress::{CallerRequest, Chunks, Ingress, Served};

/// Threads that parse callers' HTTP.
const WORKERS: usize = 2;

/// How long a caller may take to send the head of a request.
const HEAD_TIME_LIMIT: Duration = Duration::from_secs(5);

/// How long an idle connection of a caller is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// How long a stop waits for answers that are still being sent, in seconds.
const STOP_TIME_LIMIT_SECONDS: u64 = 30;

/// The longest header block that is passed on, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// How far the clock of a caller may be ahead.
const MAX_CALLER_LEAD: Millis = Millis(1_000);

/// The header with the caller's request id.
const REQUEST_ID_HEADER: &str = "idempotency-key";

/// The header with which a caller shortens the time limit.
const TIME_LEFT_HEADER: &str = "papayarill-time-left-ms";

/// The header that names the host process of the owner.
const OWNER_HEADER: &str = "papayarill-owner";

/// What the listener needs.
#[derive(Clone)]
pub struct CallersState {
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Config>>,
    /// The ingress.
    pub ingress: Addr<Ingress>,
    /// Wall-clock time.
    pub wall: Clock,
    /// Whether this host is leaving, so that callers should connect elsewhere.
    pub leaving: watch::Receiver<bool>,
}

/// Why a request was refused before it went anywhere.
#[derive(Debug, Snafu)]
enum RequestError {
    #[snafu(display("no service has this name"))]
    UnknownService,
    #[snafu(display("the method is not supported"))]
    Method,
    #[snafu(display("the key: {source}"))]
    Key { source: rules::KeyError },
    #[snafu(display("the header idempotency-key is missing; this request runs at most once"))]
    MissingId,
    #[snafu(display("the header idempotency-key: {source}"))]
    Id { source: model::RequestIdError },
    #[snafu(display(
        "the header idempotency-key: minted {lead} ms in the future, \
         at most {MAX_CALLER_LEAD} ms are waited out"
    ))]
    Future { lead: Millis },
    #[snafu(display("the header {name} is malformed"))]
    Header { name: &'static str },
    #[snafu(display("the headers are longer than {MAX_HEADER_BYTES} bytes"))]
    Headers,
    #[snafu(display("the body is longer than {limit} bytes"))]
    BodyTooLong { limit: u64 },
    #[snafu(display("the body broke off"))]
    BodyCut,
}

impl RequestError {
    fn status(&self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::Method => 405,
            Self::BodyTooLong { .. } => 413,
            Self::Headers => 431,
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
        .workers(WORKERS)
        .tcp_nodelay(true)
        .client_request_timeout(HEAD_TIME_LIMIT)
        .keep_alive(KEEP_ALIVE)
        .shutdown_timeout(STOP_TIME_LIMIT_SECONDS)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

async fn handle(
    req: HttpRequest,
    body: web::Payload,
    state: web::Data<CallersState>,
) -> HttpResponse {
    let leaving = *state.leaving.borrow();
    let mut res = match prepare(&req, body, &state).await {
        Ok(request) => pass_on(request, &state).await,
        Err(error) => refused(&error),
    };
    if leaving {
        res.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    res
}

/// Turns an HTTP request into a checked request, or says what is wrong with it.
async fn prepare(
    req: &HttpRequest,
    body: web::Payload,
    state: &CallersState,
) -> Result<CallerRequest, RequestError> {
    let config = state.config.borrow().clone();
    let target = req.uri().path_and_query().map_or("/", |t| t.as_str());
    let service = config.service(Target::new(target).service);
    let service = service.ok_or(RequestError::UnknownService)?;
    let method = rules::parse_method(req.method().as_str()).ok_or(RequestError::Method)?;
    let matched = rules::match_rule(service, method, target);
    let key = rules::read_key(service, target, |name| {
        let mut values = req.headers().get_all(name);
        values.next().map(|v| v.as_bytes())
    })
    .context(KeySnafu)?;
    let id = read_id(req.headers(), &matched)?;
    if let Some(id) = id {
        wait_until_minted(id, &state.wall).await?;
    }
    let time_limit = read_time_limit(req.headers(), &matched)?;
    let headers = passed_headers(req.headers())?;
    let body = read_body(body, service.max_body_bytes).await?;
    let digest = rules::digest(req.method().as_str(), target, key.as_deref(), &body);
    let (keep, gone) = oneshot::channel();
    Ok(CallerRequest {
        service: service.name.clone(),
        partition: partition(service, key.as_deref(), id),
        id,
        digest,
        matched,
        time_limit,
        method: req.method().as_str().to_owned(),
        target: target.to_owned(),
        headers,
        body,
        keep: Some(keep),
        gone,
    })
}

/// A request with a key goes to the owner of the key; one without a key that runs at most once
/// goes to the owner of its id, so that all its re-sends meet the same records.
fn partition(
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

/// Reads the request id. Idempotent requests need none, and theirs is passed on unread.
fn read_id(
    headers: &HeaderMap,
    matched: &RequestPolicy,
) -> Result<Option<RequestId>, RequestError> {
    if matched.repeat == Repeat::Repeatable {
        return Ok(None);
    }
    let value = headers.get(REQUEST_ID_HEADER).ok_or(RequestError::MissingId)?;
    let header_error = RequestError::Header { name: REQUEST_ID_HEADER };
    let text = value.to_str().map_err(|_| header_error)?;
    RequestId::parse(text.trim_matches('"')).context(IdSnafu).map(Some)
}

/// Waits out the lead of a caller's clock. No owner ever runs an id before the time at which it
/// claims to be minted, so after a takeover ids of all earlier times can be told apart.
async fn wait_until_minted(id: RequestId, wall: &Clock) -> Result<(), RequestError> {
    let lead = id.minted_at().since(wall.now());
    if lead > MAX_CALLER_LEAD {
        return FutureSnafu { lead }.fail();
    }
    if lead > Millis::ZERO {
        tokio::time::sleep(lead.into()).await;
    }
    Ok(())
}

fn read_time_limit(headers: &HeaderMap, matched: &RequestPolicy) -> Result<Millis, RequestError> {
    let Some(value) = headers.get(TIME_LEFT_HEADER) else {
        return Ok(matched.time_limit);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let wanted = parsed.ok_or(RequestError::Header { name: TIME_LEFT_HEADER })?;
    Ok(matched.time_limit.min(Millis(wanted)))
}

/// Leaves out the headers of the connection and those that only host processes may set.
fn passed_headers(headers: &HeaderMap) -> Result<Vec<(String, Vec<u8>)>, RequestError> {
    let mut passed = Vec::new();
    let mut bytes = 0;
    for (name, value) in headers {
        let name = name.as_str();
        bytes += name.len() + value.len();
        if is_hop_header(name) || name.starts_with(OWN_HEADER_PREFIX) {
            continue;
        }
        passed.push((name.to_owned(), value.as_bytes().to_vec()));
    }
    if bytes > MAX_HEADER_BYTES {
        return HeadersSnafu.fail();
    }
    Ok(passed)
}

async fn read_body(mut body: web::Payload, limit: u64) -> Result<Bytes, RequestError> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|_| RequestError::BodyCut)?;
        let length = whole.len() + chunk.len();
        if u64::try_from(length).unwrap_or(u64::MAX) > limit {
            return BodyTooLongSnafu { limit }.fail();
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Passes the request on. Dropping this future, as happens when the caller goes away, drops the
/// request's `keep` and with it the work on the request.
async fn pass_on(mut request: CallerRequest, state: &CallersState) -> HttpResponse {
    let keep = request.keep.take();
    let sent = state.ingress.send(request).await;
    let res = match sent {
        Ok(served) => answered(served),
        Err(_) => from_caller_answer(&response::not_run(
            model::NotRunReason::Draining,
            response::DEFAULT_RETRY_AFTER,
        )),
    };
    drop(keep);
    res
}

fn answered(served: Served) -> HttpResponse {
    match response::for_outcome(&served.outcome, served.retry_after) {
        Some(answer) => from_caller_answer(&answer),
        None => match served.outcome {
            Outcome::Ran((head, body)) => whole_answer(head, body),
            _ => HttpResponse::InternalServerError().finish(),
        },
    }
}

fn whole_answer(head: ResponseHead, body: Chunks) -> HttpResponse {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    let mut told = false;
    for (name, value) in &head.headers {
        told |= name == OUTCOME_HEADER;
        res.append_header((name.as_str(), value.as_slice()));
    }
    if !told {
        res.insert_header((OUTCOME_HEADER, "ran"));
    }
    res.insert_header((OWNER_HEADER, head.owner.to_string()));
    let body = ReceiverStream::new(body);
    match head.body_length {
        Some(length) => res.body(SizedStream::new(length, body)),
        None => res.body(BodyStream::new(body)),
    }
}

fn from_caller_answer(answer: &ErrorResponse) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    for (name, value) in answer.headers() {
        res.insert_header((name, value));
    }
    res.body(answer.reason.clone())
}

fn refused(error: &RequestError) -> HttpResponse {
    log::info!("ingress: Refused a request: {error}.");
    metrics::counter!("papayarill_requests_malformed_total").increment(1);
    let answer = response::malformed(&error.to_string());
    let mut res = from_caller_answer(&answer);
    *res.status_mut() = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    res.headers_mut().remove(RETRY_AFTER_HEADER);
    res
}
