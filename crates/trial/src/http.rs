//! Plain HTTP for trials.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::Millis;

/// How long a server may take to answer.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Limits of the client.
const LIMITS: http_client::ClientLimits = http_client::ClientLimits {
    max_connections: 1_024,
    connect_timeout: Millis(5_000),
    idle_timeout: Millis(2_000),
};

/// The longest answer that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// What a caller sees of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The HTTP status; zero if there was no whole answer.
    pub status: u16,
    /// The value of `papayarill-outcome`.
    pub outcome: String,
    /// The value of `papayarill-reason`.
    pub reason: String,
    /// The value of `papayarill-this-send`.
    pub this_send: String,
    /// The body.
    pub body: Bytes,
}

impl Seen {
    fn nothing(reason: &str) -> Self {
        let reason = reason.to_owned();
        let nothing = String::new();
        Self { status: 0, outcome: nothing.clone(), reason, this_send: nothing, body: Bytes::new() }
    }

    /// Returns whether the caller was told that this send did not run the request.
    pub fn did_not_run(&self) -> bool {
        self.outcome == "not-run" || self.this_send == "not-run"
    }
}

/// Returns a client for many requests, which takes no broken answer for a whole one.
pub fn client() -> awc::Client {
    http_client::client(LIMITS)
}

/// Sends a request and reads the whole answer.
pub async fn send(req: awc::ClientRequest, body: Bytes) -> Seen {
    let Ok(mut answer) = req.timeout(TIME_LIMIT).send_body(body).await else {
        return Seen::nothing("no answer");
    };
    let text = |name: &str| {
        let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (text("papayarill-outcome"), text("papayarill-reason"));
    let this_send = text("papayarill-this-send");
    let status = answer.status().as_u16();
    match answer.body().limit(MAX_BODY_BYTES).await {
        Ok(body) => Seen { status, outcome, reason, this_send, body },
        Err(_) => Seen::nothing("cut"),
    }
}

/// Gets a body, if the server answers with success.
pub async fn get(addr: SocketAddr, target: &str) -> Option<Bytes> {
    let seen = send(client().get(format!("http://{addr}{target}")), Bytes::new()).await;
    (seen.status == 200).then_some(seen.body)
}

/// Puts a JSON body.
pub async fn put(addr: SocketAddr, target: &str, json: &str) {
    let req = client().put(format!("http://{addr}{target}"));
    let req = req.insert_header(("content-type", "application/json"));
    let seen = send(req, Bytes::copy_from_slice(json.as_bytes())).await;
    assert!(seen.status < 300, "{addr}{target} answered with {}", seen.status);
}
