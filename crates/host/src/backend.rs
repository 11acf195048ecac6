//! The backend server on this host: what it announced, and the HTTP calls to it.
//!
//! What a backend server says about itself only lowers trust. It is up while it announces itself
//! and accepts connections; a refused connection counts at once.

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

/// A backend server that was silent for this long counts as down.
const ANNOUNCEMENT_LIMIT: Millis = Millis(2_000);

/// How long a control call to the backend server may take.
const CONTROL_TIME_LIMIT: Duration = Duration::from_millis(500);

/// How long a connection to the backend server may take.
const CONNECT_TIME_LIMIT: Millis = Millis(500);

/// How long a connection to the backend server is kept without a request.
const IDLE_LIMIT: Millis = Millis(2_000);

/// What the backend server gets beyond the deadline. This side's verdict comes first that way, and
/// a cancellation follows it; otherwise it would be chance who answers first, and with what.
const DEADLINE_GRACE: Millis = Millis(100);

/// The most connections to one backend server, whatever it announces.
const MAX_CONNECTIONS: usize = 1_024;

/// The prefix of the headers that only host processes may set.
pub const OWN_HEADER_PREFIX: &str = "papayarill-";

/// The backend server as this host knows it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BackendView {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Slots as announced.
    pub slots: u32,
    /// Connections as announced.
    pub connections: u32,
    /// Whether it checks fences.
    pub fences: FenceCheck,
    /// What it says it is doing.
    pub state: BackendState,
    /// When it last announced itself.
    pub heard_at: Millis,
}

/// Calls and knowledge about the backend server on this host.
pub struct Backend {
    client: awc::Client,
    view: RefCell<Option<BackendView>>,
    last_fence_check: Cell<Option<FenceCheck>>,
}

/// The stream of an answer's body.
pub type AnswerStream = wire::Body;

impl Backend {
    /// Makes a client that knows no backend server yet.
    pub fn new() -> Self {
        let limits = ClientLimits {
            max_connections: MAX_CONNECTIONS,
            connect_timeout: CONNECT_TIME_LIMIT,
            idle_timeout: IDLE_LIMIT,
        };
        Self {
            client: http_client::client(limits),
            view: RefCell::new(None),
            last_fence_check: Cell::new(None),
        }
    }

    /// Takes in an announcement. Returns whether the backend server was down before.
    pub fn announced(&self, announcement: &Announcement, now: Millis) -> Change {
        let Announcement { addr, slots, connections, fences, state, .. } = announcement.clone();
        let view = BackendView { addr, slots, connections, fences, state, heard_at: now };
        self.last_fence_check.set(Some(fences));
        let former = self.view.replace(Some(view));
        match former {
            None => Change::Up,
            Some(former) if former.addr != addr => Change::Up,
            Some(_) => Change::None,
        }
    }

    /// Forgets a backend server that went silent. Returns whether there was one.
    pub fn expire(&self, now: Millis) -> Change {
        let mut view = self.view.borrow_mut();
        let silent = view.is_some_and(|v| now.since(v.heard_at) > ANNOUNCEMENT_LIMIT);
        if !silent {
            return Change::None;
        }
        *view = None;
        Change::Down
    }

    /// Forgets the backend server because a connection to it was refused.
    pub fn refused_connection(&self, addr: SocketAddr) -> Change {
        let mut view = self.view.borrow_mut();
        if view.is_none_or(|v| v.addr != addr) {
            return Change::None;
        }
        *view = None;
        Change::Down
    }
}

/// Whether the backend server came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Neither.
    None,
    /// It came, or was replaced by another.
    Up,
    /// It went.
    Down,
}

impl Default for Backend {
    fn default() -> Self {
        Self::new()
    }
}

/// One attempt to run a request.
pub struct Attempt<'a> {
    /// The backend server.
    pub addr: SocketAddr,
    /// Identifies the attempt, for cancellation.
    pub call: u64,
    /// The fence, if the request has a partition.
    pub fence: Option<Fence>,
    /// The request.
    pub head: &'a ForwardHead,
    /// The time left.
    pub time_left: Millis,
}

/// What came of an attempt.
pub struct Attempted {
    /// The outcome.
    pub outcome: Outcome<(ResponseHead, AnswerStream)>,
    /// Whether the backend server looks dead.
    pub connection: Connection,
}

/// What an attempt showed about the connection to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// It works.
    Good,
    /// It was refused: nothing listens there.
    Refused,
    /// It broke after the request was sent, at least in part.
    Broken,
}

impl Backend {
    /// Returns the backend server, if one is up.
    pub fn view(&self) -> Option<BackendView> {
        *self.view.borrow()
    }

    /// Returns whether the backend server says that it is leaving. Such a report is believed,
    /// because it only lowers trust.
    pub fn is_draining(&self) -> bool {
        self.view().is_some_and(|v| v.state == BackendState::Draining)
    }

    /// Returns whether the last backend server that was seen checks fences.
    pub fn last_fence_check(&self) -> Option<FenceCheck> {
        self.last_fence_check.get()
    }

    /// Runs one request at the backend server.
    pub async fn run(
        &self,
        attempt: Attempt<'_>,
        body: Bytes,
        owner: model::HostAddr,
    ) -> Attempted {
        let time_left = attempt.time_left;
        let sending = self.request(&attempt).send_body(body);
        let sent = tokio::time::timeout(time_left.into(), sending).await;
        match sent {
            Err(_) => Attempted::new(Outcome::Unknown(UnknownReason::Timeout), Connection::Good),
            Ok(Err(error)) => failed(&error),
            Ok(Ok(answer)) => answered(answer, owner, &attempt.head.method),
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
        req.insert_header(("papayarill-call", attempt.call))
            .insert_header(("papayarill-time-left-ms", (attempt.time_left + DEADLINE_GRACE).0))
    }

    /// Tells the backend server what it may serve and for how long.
    pub async fn grant(&self, addr: SocketAddr, grants: &Grants) -> Result<(), ControlError> {
        self.control(addr, "grants", grants).await
    }

    /// Tells the backend server to stop working on an attempt.
    pub async fn cancel(&self, addr: SocketAddr, call: u64) {
        // A run that cannot be cancelled ends by itself.
        let _ = self.control(addr, "cancel", &Cancel { call }).await;
    }

    async fn control(
        &self,
        addr: SocketAddr,
        what: &str,
        body: &impl Serialize,
    ) -> Result<(), ControlError> {
        let url = format!("http://{addr}/papayarill/{what}");
        let sending = self.client.put(url).timeout(CONTROL_TIME_LIMIT).send_json(body);
        match sending.await {
            Ok(answer) if answer.status().is_success() => Ok(()),
            Ok(answer) => {
                log::warn!("backend: {what} was refused with {}.", answer.status());
                Err(ControlError::Refused)
            }
            Err(error) => {
                log::debug!("backend: {what} failed: {error}.");
                Err(ControlError::NoAnswer)
            }
        }
    }
}

/// Why a control call had no effect that this side knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The backend server refused it.
    Refused,
    /// There was no answer.
    NoAnswer,
}

/// The whole list of what a backend server may serve.
#[derive(Debug, Serialize)]
pub struct Grants {
    /// The partitions with their fences.
    pub grants: Vec<Grant>,
    /// How long the grants run.
    pub time_left_ms: u64,
}

/// One partition that a backend server may serve.
#[derive(Debug, Serialize)]
pub struct Grant {
    /// The partition.
    pub partition: Partition,
    /// The fence.
    pub fence: Fence,
}

#[derive(Serialize)]
struct Cancel {
    call: u64,
}

impl Attempted {
    fn new(outcome: Outcome<(ResponseHead, AnswerStream)>, connection: Connection) -> Self {
        Self { outcome, connection }
    }
}

/// Only an error from before the first byte was sent proves that the request did not run.
fn failed(error: &SendRequestError) -> Attempted {
    log::debug!("backend: attempt failed: {error}.");
    match http_client::delivery_of(error) {
        Delivery::NotSent if matches!(error, SendRequestError::Url(_)) => {
            Attempted::new(Outcome::NotRun(NotRunReason::NotConnected), Connection::Good)
        }
        Delivery::NotSent => {
            Attempted::new(Outcome::NotRun(NotRunReason::NotConnected), Connection::Refused)
        }
        Delivery::MaybeSent => {
            Attempted::new(Outcome::Unknown(UnknownReason::ConnectionLost), Connection::Broken)
        }
    }
}

fn answered<S>(answer: awc::ClientResponse<S>, owner: model::HostAddr, method: &str) -> Attempted
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let (status, headers) = (answer.status(), answer.headers());
    let refused = headers.get(outcome::REFUSED_HEADER).map(|v| v.as_bytes());
    if let Some(reason) = outcome::refusal_reason(status.as_u16(), refused) {
        return Attempted::new(Outcome::NotRun(reason), Connection::Good);
    }
    let end = http_client::body_framing(method, status, headers);
    if end == BodyFraming::UntilClose {
        log::warn!("backend: An answer states neither its length nor chunks; it is dropped.");
        return Attempted::new(
            Outcome::Unknown(UnknownReason::ResponseTruncated),
            Connection::Good,
        );
    }
    let head = ResponseHead {
        status: status.as_u16(),
        headers: answer_headers(headers),
        body_length: end.length(),
        owner,
    };
    let body = match end {
        // A head may state a length although no body follows, as with 304; awc would wait for it.
        BodyFraming::Length(0) => wire::full_body(Bytes::new()),
        _ => answer
            .map(|piece| piece.map_err(|_| BodyError::Truncated { received: 0 }))
            .boxed_local(),
    };
    Attempted::new(Outcome::Ran((head, body)), Connection::Good)
}

/// Leaves out the headers of the connection, and those by which the system tells outcomes.
fn answer_headers(headers: &awc::http::header::HeaderMap) -> Vec<(String, Vec<u8>)> {
    let kept = headers.iter().filter(|(name, _)| {
        !is_hop_header(name.as_str()) && !name.as_str().starts_with(OWN_HEADER_PREFIX)
    });
    kept.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// Returns whether a header (in lower case) is about one connection only.
pub fn is_hop_header(name: &str) -> bool {
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
