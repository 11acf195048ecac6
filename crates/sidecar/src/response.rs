//! Builds the responses to callers, and logs and counts them.

use adapter::{ErrorResponse, error_response};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use http1::server::Unserved;
use log::{info, warn};
use mesh::Config;
use model::Millis;

use crate::ingress::{Call, Failure};
use crate::state::Cx;
use crate::wire::{ForwardReply, Outcome};

/// The `Retry-After` of a response if no better estimate is known, in milliseconds.
pub(crate) const DEFAULT_RETRY_AFTER_MS: u64 = 400;

/// Random extra delay in `Retry-After`, as a fraction of it, so that callers don't all retry at
/// once.
const RETRY_JITTER: f64 = 0.5;

pub(crate) fn retry_after(after_ms: u64) -> Millis {
    let spread = 1.0 + RETRY_JITTER * rand::random::<f64>();
    Millis((after_ms.max(50) as f64 * spread) as u64)
}

/// Builds the response to a request that no backend server has run.
pub(crate) fn unserved_response(error: ErrorResponse, id: Option<&str>) -> Response<Full<Bytes>> {
    let mut response = error_response(error, id);
    response.extensions_mut().insert(Unserved);
    response
}

/// Builds the response to a caller.
pub(crate) fn caller_response(
    cx: &Cx,
    call: &Call,
    config: &Config,
    result: Result<(ForwardReply, Bytes), Failure>,
) -> Response<Full<Bytes>> {
    let (id, route, version) = (&call.id, &call.route, config.version);
    let took = cx.now().since(call.received_at);
    metrics::histogram!("papayarill_request_ms", "route" => route.to_string())
        .record(took.0 as f64);
    let count = |end: &'static str| {
        metrics::counter!("papayarill_requests", "route" => route.to_string(), "end" => end)
            .increment(1);
    };
    match result {
        Ok((reply, body)) => {
            let Outcome::Ran { status, headers } = reply.outcome.with_final_status() else {
                count("unknown");
                return error_response(ErrorResponse::IncompleteResponse, Some(id));
            };
            count("answered");
            info!(
                "event=answered id={id} route={route} version={version} status={status} took_ms={took}"
            );
            backend_response(status, headers, body)
        }
        Err(Failure::NotRun { why, after_ms }) => {
            count("not-run");
            let after = retry_after(if after_ms > 1 { after_ms } else { DEFAULT_RETRY_AFTER_MS });
            info!(
                "event=refused id={id} route={route} version={version} why={why:?} \
                 key={:?} after_ms={after} took_ms={took}",
                call.key
            );
            unserved_response(ErrorResponse::NotRun(after), Some(id))
        }
        Err(Failure::Unknown(why)) => {
            count("unknown");
            warn!(
                "event=outcome-unknown id={id} route={route} version={version} why={why:?} took_ms={took}"
            );
            error_response(ErrorResponse::IncompleteResponse, Some(id))
        }
        Err(Failure::TimedOut) => {
            count("timed-out");
            warn!("event=timed-out id={id} route={route} version={version} took_ms={took}");
            error_response(ErrorResponse::TimedOut, Some(id))
        }
    }
}

fn backend_response(
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = name.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
