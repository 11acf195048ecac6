//! An HTTP client for tests and measurements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::Millis;

/// The timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The connection limits and timeouts of the client.
const LIMITS: http_client::ClientLimits = http_client::ClientLimits {
    max_connections: 1_024,
    connect_timeout: Millis(5_000),
    idle_timeout: Millis(2_000),
};

/// The largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The response to one attempt as the caller observed it.
#[derive(Clone, Debug)]
pub struct ObservedResponse {
    /// The HTTP status; zero if there was no complete response.
    pub status: u16,
    /// The value of the header `papayarill-outcome`.
    pub outcome: String,
    /// The value of the header `papayarill-reason`.
    pub reason: String,
    /// The value of the header `papayarill-this-send`.
    pub this_send: String,
    /// The body.
    pub body: Bytes,
}

impl ObservedResponse {
    fn missing(reason: &str) -> Self {
        let reason = reason.to_owned();
        let empty = String::new();
        Self { status: 0, outcome: empty.clone(), reason, this_send: empty, body: Bytes::new() }
    }

    /// Returns whether the response says that this attempt did not run the request.
    pub fn did_not_run(&self) -> bool {
        self.outcome == "not-run" || self.this_send == "not-run"
    }
}

/// Returns a client with a connection pool, which reports a truncated response as an error.
pub fn client() -> awc::Client {
    http_client::client(LIMITS)
}

/// Sends a request and reads the complete response.
pub async fn send(req: awc::ClientRequest, body: Bytes) -> ObservedResponse {
    let Ok(mut response) = req.timeout(TIMEOUT).send_body(body).await else {
        return ObservedResponse::missing("no response");
    };
    let text = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (text("papayarill-outcome"), text("papayarill-reason"));
    let this_send = text("papayarill-this-send");
    let status = response.status().as_u16();
    match response.body().limit(MAX_BODY_BYTES).await {
        Ok(body) => ObservedResponse { status, outcome, reason, this_send, body },
        Err(_) => ObservedResponse::missing("cut"),
    }
}

/// Gets a response body; `None` unless the status is 200.
pub async fn get(addr: SocketAddr, target: &str) -> Option<Bytes> {
    let response = send(client().get(format!("http://{addr}{target}")), Bytes::new()).await;
    (response.status == 200).then_some(response.body)
}

/// Puts a JSON body.
///
/// # Panics
///
/// Panics if the status is 300 or above.
pub async fn put(addr: SocketAddr, target: &str, json: &str) {
    let req = client().put(format!("http://{addr}{target}"));
    let req = req.insert_header(("content-type", "application/json"));
    let response = send(req, Bytes::copy_from_slice(json.as_bytes())).await;
    assert!(response.status < 300, "{addr}{target} returned status {}", response.status);
}
