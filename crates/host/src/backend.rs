//! The local backend server: its announced state and the HTTP calls to it.
//!
//! Announcements alone do not prove that a backend server works: it is up while it both announces
//! itself and accepts connections, and a refused connection marks it as down immediately.

#[cfg(test)]
mod tests;

mod announcement;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt;
use http_client::{BodyFraming, ClientLimits, Delivery};
use model::{Fence, Millis, NotRunReason, Outcome, Partition, UnknownReason};
use routing::outcome;
use serde::Serialize;
use wire::{BodyError, ForwardHead, ResponseHead};

pub use announcement::{Announcement, BackendState, FenceCheck};

/// A backend server that sends no announcement for this long is considered down.
const ANNOUNCEMENT_TIMEOUT: Millis = Millis(2_000);

/// Timeout of a control call to the backend server.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for connecting to the backend server.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// How long an idle connection to the backend server is kept open.
const IDLE_TIMEOUT: Millis = Millis(2_000);

/// Extra time granted to the backend server beyond the deadline, so that this host always times
/// out first and then cancels the attempt. With equal deadlines, it would depend on timing which
/// side reports the timeout and with which outcome.
const DEADLINE_GRACE: Millis = Millis(100);

/// The maximum number of connections to one backend server, regardless of what it announces.
const MAX_CONNECTIONS: usize = 1_024;

/// The prefix of headers that only host processes may set.
pub const INTERNAL_HEADER_PREFIX: &str = "papayarill-";

/// The last announced state of the backend server.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BackendView {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The announced number of slots.
    pub slots: u32,
    /// The announced number of connections that it accepts.
    pub connections: u32,
    /// Whether it checks fencing tokens.
    pub fences: FenceCheck,
    /// The announced state.
    pub state: BackendState,
    /// When the last announcement arrived.
    pub heard_at: Millis,
}

/// The client for the local backend server, with its last announced state.
pub struct Backend {
    client: awc::Client,
    view: RefCell<Option<BackendView>>,
    last_fence_check: Cell<Option<FenceCheck>>,
}

/// A streamed response body.
pub type ResponseBody = wire::Body;

impl Backend {
    /// Creates a client without a known backend server.
    pub fn new() -> Self {
        let limits = ClientLimits {
            max_connections: MAX_CONNECTIONS,
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        };
        Self {
            client: http_client::client(limits),
            view: RefCell::new(None),
            last_fence_check: Cell::new(None),
        }
    }

    /// Records an announcement. Returns [`BackendChange::Up`] if the backend server was down or
    /// announced a new address.
    pub fn record_announcement(&self, announcement: &Announcement, now: Millis) -> BackendChange {
        let Announcement { addr, slots, connections, fences, state, .. } = announcement.clone();
        let view = BackendView { addr, slots, connections, fences, state, heard_at: now };
        self.last_fence_check.set(Some(fences));
        let previous = self.view.replace(Some(view));
        match previous {
            None => BackendChange::Up,
            Some(previous) if previous.addr != addr => BackendChange::Up,
            Some(_) => BackendChange::None,
        }
    }

    /// Removes the backend server if its announcements have stopped. Returns
    /// [`BackendChange::Down`] if it was removed.
    pub fn expire(&self, now: Millis) -> BackendChange {
        let mut view = self.view.borrow_mut();
        let timed_out = view.is_some_and(|v| now.since(v.heard_at) > ANNOUNCEMENT_TIMEOUT);
        if !timed_out {
            return BackendChange::None;
        }
        *view = None;
        BackendChange::Down
    }

    /// Removes the backend server at `addr` because it refused a connection.
    pub fn record_refused_connection(&self, addr: SocketAddr) -> BackendChange {
        let mut view = self.view.borrow_mut();
        if view.is_none_or(|v| v.addr != addr) {
            return BackendChange::None;
        }
        *view = None;
        BackendChange::Down
    }
}

/// A change in the availability of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// Availability is unchanged.
    None,
    /// The backend server came up, or its address changed.
    Up,
    /// The backend server went down.
    Down,
}

impl Default for Backend {
    fn default() -> Self {
        Self::new()
    }
}

/// One attempt to run a request.
pub struct Attempt<'a> {
    /// The address of the backend server.
    pub addr: SocketAddr,
    /// Identifies the attempt in a later cancellation.
    pub attempt_id: u64,
    /// The fencing token, if the request has a partition.
    pub fence: Option<Fence>,
    /// The request without its body.
    pub head: &'a ForwardHead,
    /// The time left until the deadline.
    pub time_left: Millis,
}

/// The result of an attempt.
pub struct AttemptResult {
    /// The outcome of the request.
    pub outcome: Outcome<(ResponseHead, ResponseBody)>,
    /// What the attempt showed about the connection.
    pub connection: ConnectionHealth,
}

/// The state of the connection to the backend server after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHealth {
    /// The connection works.
    Healthy,
    /// The connection could not be established.
    Refused,
    /// The connection broke after at least part of the request may have been sent.
    Broken,
}

impl Backend {
    /// Returns the state of the backend server, if it is up.
    pub fn view(&self) -> Option<BackendView> {
        *self.view.borrow()
    }

    /// Returns whether the backend server announced that it is draining. The announcement needs no
    /// verification, because it can only reduce the work sent to the backend server.
    pub fn is_draining(&self) -> bool {
        self.view().is_some_and(|v| v.state == BackendState::Draining)
    }

    /// Returns whether the last announced backend server checks fencing tokens. Also available
    /// while the backend server is down.
    pub fn last_fence_check(&self) -> Option<FenceCheck> {
        self.last_fence_check.get()
    }

    /// Runs one request at the backend server.
    pub async fn run(
        &self,
        attempt: Attempt<'_>,
        body: Bytes,
        owner: model::HostAddr,
    ) -> AttemptResult {
        let time_left = attempt.time_left;
        let sending = self.request(&attempt).send_body(body);
        let sent = tokio::time::timeout(time_left.into(), sending).await;
        match sent {
            Err(_) => AttemptResult::new(
                Outcome::Unknown(UnknownReason::Timeout),
                ConnectionHealth::Healthy,
            ),
            Ok(Err(error)) => attempt_failed(&error),
            Ok(Ok(response)) => response_result(response, owner, &attempt.head.method),
        }
    }

    fn request(&self, attempt: &Attempt<'_>) -> awc::ClientRequest {
        let head = attempt.head;
        let method = head.method.parse().unwrap_or(awc::http::Method::GET);
        let url = format!("http://{}{}", attempt.addr, head.target);
        let mut req = self.client.request(method, url);
        for (name, value) in &head.headers {
            req = req.append_header((name.as_str(), value.as_slice()));
        }
        if let Some(partition) = head.partition {
            req = req.insert_header(("papayarill-partition", partition.0));
        }
        if let Some(fence) = attempt.fence {
            req = req.insert_header(("papayarill-fence", fence.0));
        }
        if let Some(id) = head.id {
            req = req.insert_header(("papayarill-request-id", id.to_string()));
        }
        req.insert_header(("papayarill-call", attempt.attempt_id))
            .insert_header(("papayarill-time-left-ms", (attempt.time_left + DEADLINE_GRACE).0))
    }

    /// Sends the list of partitions that the backend server may serve, and until when.
    pub async fn grant(&self, addr: SocketAddr, grants: &Grants) -> Result<(), ControlError> {
        self.control_call(addr, "grants", grants).await
    }

    /// Tells the backend server to stop working on an attempt.
    pub async fn cancel(&self, addr: SocketAddr, attempt_id: u64) {
        // Best effort: if the call fails, the run continues to its own end.
        let _ = self.control_call(addr, "cancel", &Cancel { call: attempt_id }).await;
    }

    async fn control_call(
        &self,
        addr: SocketAddr,
        operation: &str,
        body: &impl Serialize,
    ) -> Result<(), ControlError> {
        let url = format!("http://{addr}/papayarill/{operation}");
        let sending = self.client.put(url).timeout(CONTROL_CALL_TIMEOUT).send_json(body);
        match sending.await {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) => {
                log::warn!("backend: {operation} was rejected with status {}.", response.status());
                Err(ControlError::Refused)
            }
            Err(error) => {
                log::debug!("backend: {operation} failed: {error}.");
                Err(ControlError::NoResponse)
            }
        }
    }
}

/// Why a control call is not known to have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The backend server rejected the call.
    Refused,
    /// No response arrived.
    NoResponse,
}

/// The complete list of partitions that a backend server may serve.
#[derive(Debug, Serialize)]
pub struct Grants {
    /// The partitions with their fencing tokens.
    pub grants: Vec<Grant>,
    /// How long the grants are valid, in milliseconds.
    pub time_left_ms: u64,
}

/// One partition that a backend server may serve.
#[derive(Debug, Serialize)]
pub struct Grant {
    /// The partition.
    pub partition: Partition,
    /// The fencing token.
    pub fence: Fence,
}

#[derive(Serialize)]
struct Cancel {
    call: u64,
}

impl AttemptResult {
    fn new(outcome: Outcome<(ResponseHead, ResponseBody)>, connection: ConnectionHealth) -> Self {
        Self { outcome, connection }
    }
}

/// Classifies a failed attempt. Only an error before the first byte was sent proves that the
/// request did not run.
fn attempt_failed(error: &SendRequestError) -> AttemptResult {
    log::debug!("backend: Attempt failed: {error}.");
    match http_client::delivery_of(error) {
        Delivery::NotSent if matches!(error, SendRequestError::Url(_)) => AttemptResult::new(
            Outcome::NotRun(NotRunReason::NotConnected),
            ConnectionHealth::Healthy,
        ),
        Delivery::NotSent => AttemptResult::new(
            Outcome::NotRun(NotRunReason::NotConnected),
            ConnectionHealth::Refused,
        ),
        Delivery::MaybeSent if http_client::is_invalid_response(error) => AttemptResult::new(
            Outcome::Unknown(UnknownReason::InvalidResponse),
            ConnectionHealth::Broken,
        ),
        Delivery::MaybeSent => AttemptResult::new(
            Outcome::Unknown(UnknownReason::ConnectionLost),
            ConnectionHealth::Broken,
        ),
    }
}

fn response_result<S>(
    response: awc::ClientResponse<S>,
    owner: model::HostAddr,
    method: &str,
) -> AttemptResult
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let (status, headers) = (response.status(), response.headers());
    let refused = headers.get(outcome::REFUSED_HEADER).map(|v| v.as_bytes());
    if let Some(reason) = outcome::refusal_reason(status.as_u16(), refused) {
        return AttemptResult::new(Outcome::NotRun(reason), ConnectionHealth::Healthy);
    }
    let end = http_client::body_framing(method, status, headers);
    if end == BodyFraming::UntilClose {
        log::warn!("backend: Dropped a response with neither content-length nor chunked encoding.");
        return AttemptResult::new(
            Outcome::Unknown(UnknownReason::ResponseTruncated),
            ConnectionHealth::Healthy,
        );
    }
    let head = ResponseHead {
        status: status.as_u16(),
        headers: response_headers(headers),
        body_length: end.length(),
        owner,
    };
    let body = match end {
        // Some responses, such as 304, declare a length but have no body; awc would wait for one.
        BodyFraming::Length(0) => wire::full_body(Bytes::new()),
        _ => response
            .map(|chunk| chunk.map_err(|_| BodyError::Truncated { received: 0 }))
            .boxed_local(),
    };
    AttemptResult::new(Outcome::Ran((head, body)), ConnectionHealth::Healthy)
}

/// Removes hop-by-hop headers and the internal headers that report outcomes.
fn response_headers(headers: &awc::http::header::HeaderMap) -> Vec<(String, Vec<u8>)> {
    let kept = headers.iter().filter(|(name, _)| {
        !is_hop_by_hop_header(name.as_str()) && !name.as_str().starts_with(INTERNAL_HEADER_PREFIX)
    });
    kept.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// Returns whether a header (in lower case) is not forwarded: hop-by-hop headers, and
/// `content-length` and `host`, which are set anew for each hop.
pub fn is_hop_by_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
    )
}
