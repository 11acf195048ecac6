//! The client side: questions with one answer, and requests forwarded to the owner.
//!
//! What a caller is told depends on whether anything was handed to a connection. Up to that
//! point every failure is "not run"; after it only the peer can say so.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::future::{Either, select};
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use log::{debug, warn};
use model::{HostAddr, Millis, NotRunReason, Outcome, UnknownReason};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::{Instant, timeout_at};

use crate::body::{Inbox, ReadError, Then, checked, send};
use crate::codec::{
    CodecError, MAX_CALL_BYTES, MAX_HEAD_BYTES, decode_outcome, decode_reply, encode_call,
    encode_forward_head,
};
use crate::link::Slot;
use crate::pool::{NoLink, Pool};
use crate::settings::{BlockedPeers, ClientSettings};
use crate::{Body, Call, ForwardHead, Reply, ResponseHead, Traffic};

/// The path of calls.
pub(crate) const CALL_PATH: &str = "/call";

/// The path of forwarded requests.
pub(crate) const FORWARD_PATH: &str = "/forward";

/// Why a call has no reply.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The peer could not be reached, so the call was not sent.
    #[snafu(display("no connection to {to}"))]
    NotConnected {
        /// The peer.
        to: HostAddr,
    },
    /// All connections are in use, so the call was not sent.
    #[snafu(display("no connection to {to} is allowed, as too many are in use"))]
    TooManyConnections {
        /// The peer.
        to: HostAddr,
    },
    /// No reply came within the time limit.
    #[snafu(display("no reply from {to} within {limit} ms"))]
    TimedOut {
        /// The peer.
        to: HostAddr,
        /// The time limit.
        limit: Millis,
    },
    /// The connection or the stream broke.
    #[snafu(display("the call to {to} broke off: {reason}"))]
    Interrupted {
        /// The peer.
        to: HostAddr,
        /// What happened.
        reason: String,
    },
    /// The peer refused to read the call.
    #[snafu(display("{to} refused the call with status {status}"))]
    Rejected {
        /// The peer.
        to: HostAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The call could not be encoded, or the reply not decoded.
    #[snafu(display("bad frame: {source}"))]
    Codec {
        /// What is wrong with the frame.
        source: CodecError,
    },
}

/// Sends calls and requests to other host processes. Clones share their connections.
///
/// Calls have connections of their own: on a slow link the answers to forwarded requests would
/// delay a lease renewal by more than the lease.
///
/// Must be used inside a local task set, such as an actix system.
#[derive(Clone)]
pub struct Client {
    calls: Rc<Pool>,
    forwards: Rc<Pool>,
    traffic: Rc<Cell<Traffic>>,
}

/// A stream that may be opened at once.
type Ready = (Slot, SendRequest<Bytes>);

/// A stream whose request is under way.
struct Started {
    slot: Slot,
    answer: ResponseFuture,
    tx: SendStream<Bytes>,
}

/// Queries.
impl Client {
    /// Returns the bytes exchanged with all peers so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Returns the number of connections that are open or being opened.
    pub fn connections(&self) -> usize {
        self.calls.size() + self.forwards.size()
    }
}

/// Commands.
impl Client {
    /// Makes a client without connections.
    pub fn new(settings: ClientSettings) -> Self {
        let settings = Rc::new(settings);
        let traffic = Rc::default();
        let pool = || Rc::new(Pool::new(Rc::clone(&settings), Rc::clone(&traffic)));
        Self { calls: pool(), forwards: pool(), traffic: Rc::clone(&traffic) }
    }

    /// Makes peers unreachable, for tests of partitions. Running streams to them break.
    pub fn block_peers(&self, blocked: BlockedPeers) {
        self.calls.block_peers(blocked.clone());
        self.forwards.block_peers(blocked);
    }

    /// Asks `to` and waits at most `time_limit` for the reply.
    pub async fn call(
        &self,
        to: HostAddr,
        call: Call,
        time_limit: Millis,
    ) -> Result<Reply, CallError> {
        let frame = encode_call(call).context(CodecSnafu)?;
        let deadline = Instant::now() + Duration::from(time_limit);
        let timed_out = CallError::TimedOut { to, limit: time_limit };
        let Ok(ready) = timeout_at(deadline, self.calls.ready(to)).await else {
            return Err(timed_out);
        };
        let started = ready
            .and_then(|ready| start(ready, CALL_PATH))
            .map_err(|reason| not_sent(to, reason))?;
        let Started { slot, answer, tx } = started;
        match timeout_at(deadline, exchange_call(to, answer, tx, frame)).await {
            Ok(reply) => reply,
            Err(_) => {
                slot.suspect();
                Err(timed_out)
            }
        }
    }

    /// Forwards a request to `to`. The time limit, up to the head of the answer, is
    /// `head.time_left`. Dropping the future or the body cancels the request.
    pub async fn forward(
        &self,
        to: HostAddr,
        mut head: ForwardHead,
        body: Bytes,
    ) -> Outcome<(ResponseHead, Body)> {
        let deadline = Instant::now() + Duration::from(head.time_left);
        let ready = match timeout_at(deadline, self.forwards.ready(to)).await {
            Ok(Ok(ready)) => ready,
            Ok(Err(reason)) => return Outcome::NotRun(not_run(reason)),
            Err(_) => return Outcome::NotRun(NotRunReason::Deadline),
        };
        head.time_left = deadline.saturating_duration_since(Instant::now()).into();
        head.body_length = body.len() as u64;
        let prefix = match framed_head(head) {
            Ok(prefix) => prefix,
            Err(e) => {
                warn!("wire: request to {to} cannot be encoded: {e}");
                return Outcome::NotRun(NotRunReason::BackendRefused);
            }
        };
        match start(ready, FORWARD_PATH) {
            Ok(started) => exchange_forward(started, prefix, body, deadline).await,
            Err(reason) => Outcome::NotRun(not_run(reason)),
        }
    }
}

fn not_sent(to: HostAddr, reason: NoLink) -> CallError {
    match reason {
        NoLink::Unreachable => CallError::NotConnected { to },
        NoLink::PoolFull => CallError::TooManyConnections { to },
    }
}

fn not_run(reason: NoLink) -> NotRunReason {
    match reason {
        NoLink::Unreachable => NotRunReason::NotConnected,
        NoLink::PoolFull => NotRunReason::Overloaded,
    }
}

/// Opens the stream. An error means that nothing was handed to the connection.
fn start((slot, mut send): Ready, path: &'static str) -> Result<Started, NoLink> {
    let mut req = Request::new(());
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(path);
    match send.send_request(req, false) {
        Ok((answer, tx)) => Ok(Started { slot, answer, tx }),
        Err(e) => {
            debug!("wire: stream was not opened: {e}");
            slot.retire();
            Err(NoLink::Unreachable)
        }
    }
}

/// Returns the head of a request behind its length.
fn framed_head(head: ForwardHead) -> Result<Bytes, CodecError> {
    let frame = encode_forward_head(head)?;
    Ok(with_length(&frame))
}

/// Returns `frame` behind its length in four bytes.
pub(crate) fn with_length(frame: &[u8]) -> Bytes {
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    let mut buf = BytesMut::with_capacity(size_of::<u32>() + frame.len());
    buf.put_u32(length);
    buf.extend_from_slice(frame);
    buf.freeze()
}

/// Sends a request while waiting for its answer, which may come before all is sent.
async fn exchange(
    answer: ResponseFuture,
    sending: impl Future<Output = Result<(), h2::Error>>,
) -> Result<Response<RecvStream>, h2::Error> {
    match select(answer, Box::pin(sending)).await {
        Either::Left((answer, _)) => answer,
        // An error while sending shows up in the answer as well, unless the peer answered early.
        Either::Right((_, answer)) => answer.await,
    }
}

async fn exchange_call(
    to: HostAddr,
    answer: ResponseFuture,
    mut tx: SendStream<Bytes>,
    frame: Bytes,
) -> Result<Reply, CallError> {
    let sending = async move { send(&mut tx, frame, Then::End).await };
    let broken = |e: h2::Error| CallError::Interrupted { to, reason: e.to_string() };
    let answer = exchange(answer, sending).await.map_err(broken)?;
    let status = answer.status();
    ensure!(status == StatusCode::OK, RejectedSnafu { to, status: status.as_u16() });
    let inbox = Inbox::new(answer.into_body());
    let frame = match inbox.rest(MAX_CALL_BYTES).await {
        Ok((frame, _)) => frame,
        Err(ReadError::Broken(e)) => return Err(broken(e)),
        Err(e) => return InterruptedSnafu { to, reason: format!("{e:?}") }.fail(),
    };
    decode_reply(&frame).context(CodecSnafu)
}

async fn exchange_forward(
    started: Started,
    prefix: Bytes,
    body: Bytes,
    deadline: Instant,
) -> Outcome<(ResponseHead, Body)> {
    let Started { slot, answer, mut tx } = started;
    let sending = async move {
        send(&mut tx, prefix, Then::GoOn).await?;
        send(&mut tx, body, Then::End).await
    };
    let received = timeout_at(deadline, async move {
        let answer = exchange(answer, sending).await.map_err(lost)?;
        read_outcome(answer).await
    });
    match received.await {
        Ok(Ok((Outcome::Ran(head), inbox))) => {
            let body = checked(inbox.into_body(slot), head.body_length);
            Outcome::Ran((head, body))
        }
        Ok(Ok((Outcome::NotRun(reason), _))) => Outcome::NotRun(reason),
        Ok(Ok((Outcome::Unknown(reason), _))) => Outcome::Unknown(reason),
        Ok(Err(outcome)) => outcome,
        Err(_) => {
            slot.suspect();
            Outcome::Unknown(UnknownReason::Timeout)
        }
    }
}

type Lost = Outcome<(ResponseHead, Body)>;

/// Returns what a broken stream means. Only a refused stream is known not to have been read.
fn lost(e: h2::Error) -> Lost {
    debug!("wire: forwarded request broke off: {e}");
    if e.is_remote() && e.reason() == Some(Reason::REFUSED_STREAM) {
        return Outcome::NotRun(NotRunReason::Overloaded);
    }
    Outcome::Unknown(UnknownReason::ConnectionLost)
}

async fn read_outcome(
    answer: Response<RecvStream>,
) -> Result<(Outcome<ResponseHead>, Inbox<'static>), Lost> {
    let status = answer.status();
    if status != StatusCode::OK {
        // The server answers with another status only if it did not take the request.
        debug!("wire: forwarded request was refused with status {status}");
        return Err(Outcome::NotRun(NotRunReason::NotConnected));
    }
    let mut inbox = Inbox::new(answer.into_body());
    let frame = match inbox.frame(MAX_HEAD_BYTES).await {
        Ok(frame) => frame,
        Err(ReadError::Broken(e)) => return Err(lost(e)),
        Err(_) => return Err(Outcome::Unknown(UnknownReason::ConnectionLost)),
    };
    match decode_outcome(&frame) {
        Ok(outcome) => Ok((outcome, inbox)),
        Err(e) => {
            warn!("wire: answer to a forwarded request does not decode: {e}");
            Err(Outcome::Unknown(UnknownReason::ConnectionLost))
        }
    }
}
