//! Sends single requests and classifies their responses.

use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::error::SendRequestError;
use awc::{Client, Connector};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use super::report::RequestOutcome;
use super::{LoadPlan, RequestIds};
use crate::backend::protocol::KEY;

/// The response header in which a host process reports the outcome.
const OUTCOME: &str = "papayarill-outcome";

/// The header that carries a request id.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024 * 1024;

/// Sends the requests of one connection.
pub(super) struct Sender {
    client: Client,
    rng: StdRng,
}

impl Sender {
    pub(super) fn new(plan: &LoadPlan, index: u64) -> Self {
        let connector = Connector::new().limit(1).timeout(plan.time_limit.into());
        let client = Client::builder().connector(connector).timeout(plan.time_limit.into());
        let seed = plan.seed.wrapping_mul(1 << 32).wrapping_add(index);
        Self { client: client.finish(), rng: StdRng::seed_from_u64(seed) }
    }

    /// Sends one request and waits for the complete response.
    pub(super) async fn send(&mut self, plan: &LoadPlan) -> RequestOutcome {
        let key = plan.keys.draw(&mut self.rng);
        let to = plan.targets[self.rng.random_range(0..plan.targets.len())];
        let url = format!("http://{to}{}", plan.path.replace("{key}", &key));
        let Ok(method) = plan.method.parse() else { return RequestOutcome::Rejected };
        let mut req = self.client.request(method, url).insert_header((KEY, key.as_str()));
        for (name, value) in &plan.headers {
            req = req.append_header((name.as_str(), value.replace("{key}", &key)));
        }
        if plan.request_ids == RequestIds::Fresh {
            req = req.insert_header((IDEMPOTENCY_KEY, Uuid::now_v7().to_string()));
        }
        let mut response = match req.send().await {
            Ok(response) => response,
            Err(SendRequestError::Timeout) => return RequestOutcome::Timeout,
            Err(_) => return RequestOutcome::Disconnected,
        };
        let Ok(body) = response.body().limit(MAX_RESPONSE_BYTES).await else {
            return RequestOutcome::Truncated;
        };
        classify_response(response.status(), response.headers(), &body, &key)
    }
}

fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    key: &str,
) -> RequestOutcome {
    // The HTTP client reports no error for a body that was cut off.
    let declared_length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if declared_length.is_some_and(|length: usize| length != body.len()) {
        return RequestOutcome::Truncated;
    }
    let outcome = headers.get(OUTCOME).map(|value| value.as_bytes());
    match (status, outcome) {
        (status, _) if status.is_success() => check_response_key(body, key),
        (_, Some(b"not-run")) => RequestOutcome::NotRun,
        (_, Some(b"unknown")) => RequestOutcome::Unknown,
        (status, _) if status.is_client_error() => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    }
}

/// Checks that the first line of the test backend's response names the key.
fn check_response_key(body: &[u8], key: &str) -> RequestOutcome {
    let line = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let response: Option<serde_json::Value> = serde_json::from_slice(line).ok();
    if response.is_some_and(|response| response["key"] == key) {
        RequestOutcome::Answered
    } else {
        RequestOutcome::Mismatched
    }
}
