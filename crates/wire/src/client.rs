//! The client: calls between hosts, and requests forwarded to the owner of their key.
//!
//! What a failure means depends on whether any part of the request was passed to a connection.
//! Before that, every failure is "not run"; afterwards, only the peer can report "not run".

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::future::{Either, select};
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use log::{debug, warn};
use model::{HostAddr, Millis, NotRunReason, Outcome, UnknownReason, is_final_status};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::{Instant, timeout_at};

use crate::body::{EndStream, FrameReader, ReadError, check_length, send};
use crate::codec::{
    CodecError, MAX_CALL_BYTES, MAX_HEAD_BYTES, decode_outcome, decode_reply, encode_call,
    encode_forward_head,
};
use crate::connection::StreamPermit;
use crate::pool::{AcquireError, Pool};
use crate::settings::{BlockedPeers, ClientSettings};
use crate::{Body, Call, ForwardHead, Reply, ResponseHead, Traffic};

/// HTTP path of calls.
pub(crate) const CALL_PATH: &str = "/call";

/// HTTP path of forwarded requests.
pub(crate) const FORWARD_PATH: &str = "/forward";

/// Why a call has no reply.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection to the peer could be established, so the call was not sent.
    #[snafu(display("cannot connect to {to}"))]
    NotConnected {
        /// The peer.
        to: HostAddr,
    },
    /// All pooled connections are in use, so the call was not sent.
    #[snafu(display("cannot open a connection to {to}: too many connections are in use"))]
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
    /// The stream was reset or the connection failed.
    #[snafu(display("the call to {to} was interrupted: {reason}"))]
    Interrupted {
        /// The peer.
        to: HostAddr,
        /// The cause.
        reason: String,
    },
    /// The peer rejected the call without handling it.
    #[snafu(display("{to} rejected the call with status {status}"))]
    Rejected {
        /// The peer.
        to: HostAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The call could not be encoded, or the reply could not be decoded.
    #[snafu(display("invalid frame: {source}"))]
    Codec {
        /// The codec error.
        source: CodecError,
    },
}

/// Sends calls and forwarded requests to other hosts. Clones share their connections.
///
/// Calls use separate connections: on a slow link, the responses to forwarded requests would delay
/// a lease renewal by more than the duration of the lease.
///
/// Must be used inside a local task set, such as an actix system.
#[derive(Clone)]
pub struct Client {
    calls: Rc<Pool>,
    forwards: Rc<Pool>,
    traffic: Rc<Cell<Traffic>>,
}

/// A connection that can open a stream immediately.
type ReadyStream = (StreamPermit, SendRequest<Bytes>);

/// A stream whose request headers were sent.
struct OpenedStream {
    permit: StreamPermit,
    response: ResponseFuture,
    tx: SendStream<Bytes>,
}

/// Queries.
impl Client {
    /// Returns the number of bytes exchanged with all peers so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Returns the number of connections that are open or opening.
    pub fn connections(&self) -> usize {
        self.calls.size() + self.forwards.size()
    }
}

/// Commands.
impl Client {
    /// Creates a client. Connections are opened on demand.
    pub fn new(settings: ClientSettings) -> Self {
        let settings = Rc::new(settings);
        let traffic = Rc::default();
        let pool = || Rc::new(Pool::new(Rc::clone(&settings), Rc::clone(&traffic)));
        Self { calls: pool(), forwards: pool(), traffic: Rc::clone(&traffic) }
    }

    /// Replaces the set of unreachable peers, to simulate a network partition in tests. Closes the
    /// connections to them.
    pub fn block_peers(&self, blocked: BlockedPeers) {
        self.calls.block_peers(blocked.clone());
        self.forwards.block_peers(blocked);
    }

    /// Sends a call to `to` and waits up to `time_limit` for the reply.
    pub async fn call(
        &self,
        to: HostAddr,
        call: Call,
        time_limit: Millis,
    ) -> Result<Reply, CallError> {
        let frame = encode_call(call).context(CodecSnafu)?;
        let deadline = Instant::now() + Duration::from(time_limit);
        let timed_out = CallError::TimedOut { to, limit: time_limit };
        let Ok(ready) = timeout_at(deadline, self.calls.acquire(to)).await else {
            return Err(timed_out);
        };
        let opened =
            ready.and_then(|ready| open_stream(ready, CALL_PATH)).map_err(|e| call_error(to, e))?;
        let OpenedStream { permit, response, tx } = opened;
        match timeout_at(deadline, exchange_call(to, response, tx, frame)).await {
            Ok(reply) => reply,
            Err(_) => {
                permit.request_probe();
                Err(timed_out)
            }
        }
    }

    /// Forwards a request to `to` and waits up to `head.time_left` for the response head. Dropping
    /// the future or the response body cancels the request.
    pub async fn forward(
        &self,
        to: HostAddr,
        mut head: ForwardHead,
        body: Bytes,
    ) -> Outcome<(ResponseHead, Body)> {
        let deadline = Instant::now() + Duration::from(head.time_left);
        let ready = match timeout_at(deadline, self.forwards.acquire(to)).await {
            Ok(Ok(ready)) => ready,
            Ok(Err(e)) => return Outcome::NotRun(not_run_reason(e)),
            Err(_) => return Outcome::NotRun(NotRunReason::Deadline),
        };
        head.time_left = deadline.saturating_duration_since(Instant::now()).into();
        head.body_length = body.len() as u64;
        let head_frame = match encode_head(head) {
            Ok(head_frame) => head_frame,
            Err(e) => {
                warn!("wire: cannot encode a request to {to}: {e}");
                return Outcome::NotRun(NotRunReason::BackendRefused);
            }
        };
        match open_stream(ready, FORWARD_PATH) {
            Ok(opened) => exchange_forward(opened, head_frame, body, deadline).await,
            Err(e) => Outcome::NotRun(not_run_reason(e)),
        }
    }
}

fn call_error(to: HostAddr, error: AcquireError) -> CallError {
    match error {
        AcquireError::Unreachable => CallError::NotConnected { to },
        AcquireError::PoolFull => CallError::TooManyConnections { to },
    }
}

fn not_run_reason(error: AcquireError) -> NotRunReason {
    match error {
        AcquireError::Unreachable => NotRunReason::NotConnected,
        AcquireError::PoolFull => NotRunReason::Overloaded,
    }
}

/// Opens a stream. An error means that nothing was passed to the connection.
fn open_stream(
    (permit, mut send): ReadyStream,
    path: &'static str,
) -> Result<OpenedStream, AcquireError> {
    let mut req = Request::new(());
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(path);
    match send.send_request(req, false) {
        Ok((response, tx)) => Ok(OpenedStream { permit, response, tx }),
        Err(e) => {
            debug!("wire: cannot open a stream: {e}");
            permit.retire();
            Err(AcquireError::Unreachable)
        }
    }
}

/// Encodes the head of a request, prefixed with its length.
fn encode_head(head: ForwardHead) -> Result<Bytes, CodecError> {
    let frame = encode_forward_head(head)?;
    Ok(length_prefixed(&frame))
}

/// Returns `frame` prefixed with its length in four bytes.
pub(crate) fn length_prefixed(frame: &[u8]) -> Bytes {
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    let mut buf = BytesMut::with_capacity(size_of::<u32>() + frame.len());
    buf.put_u32(length);
    buf.extend_from_slice(frame);
    buf.freeze()
}

/// Sends a request while waiting for the response, which may arrive before everything is sent.
async fn exchange(
    response: ResponseFuture,
    sending: impl Future<Output = Result<(), h2::Error>>,
) -> Result<Response<RecvStream>, h2::Error> {
    match select(response, Box::pin(sending)).await {
        Either::Left((response, _)) => response,
        // The response reports an error while sending as well, unless the peer responded early.
        Either::Right((_, response)) => response.await,
    }
}

async fn exchange_call(
    to: HostAddr,
    response: ResponseFuture,
    mut tx: SendStream<Bytes>,
    frame: Bytes,
) -> Result<Reply, CallError> {
    let sending = async move { send(&mut tx, frame, EndStream::Yes).await };
    let interrupted = |e: h2::Error| CallError::Interrupted { to, reason: e.to_string() };
    let response = exchange(response, sending).await.map_err(interrupted)?;
    let status = response.status();
    ensure!(status == StatusCode::OK, RejectedSnafu { to, status: status.as_u16() });
    let reader = FrameReader::new(response.into_body());
    let frame = match reader.read_to_end(MAX_CALL_BYTES).await {
        Ok((frame, _)) => frame,
        Err(ReadError::Interrupted(e)) => return Err(interrupted(e)),
        Err(e) => return InterruptedSnafu { to, reason: format!("{e:?}") }.fail(),
    };
    decode_reply(&frame).context(CodecSnafu)
}

async fn exchange_forward(
    opened: OpenedStream,
    head_frame: Bytes,
    body: Bytes,
    deadline: Instant,
) -> Outcome<(ResponseHead, Body)> {
    let OpenedStream { permit, response, mut tx } = opened;
    let sending = async move {
        send(&mut tx, head_frame, EndStream::No).await?;
        send(&mut tx, body, EndStream::Yes).await
    };
    let received = timeout_at(deadline, async move {
        let response = exchange(response, sending).await.map_err(outcome_of_error)?;
        read_outcome(response).await
    });
    match received.await {
        Ok(Ok((Outcome::Ran(head), reader))) => {
            let body = check_length(reader.into_body(permit), head.body_length);
            Outcome::Ran((head, body))
        }
        Ok(Ok((Outcome::NotRun(reason), _))) => Outcome::NotRun(reason),
        Ok(Ok((Outcome::Unknown(reason), _))) => Outcome::Unknown(reason),
        Ok(Err(outcome)) => outcome,
        Err(_) => {
            permit.request_probe();
            Outcome::Unknown(UnknownReason::Timeout)
        }
    }
}

/// The outcome of a request that got no response head.
type FailedOutcome = Outcome<(ResponseHead, Body)>;

/// Returns the outcome of a request whose stream failed. Only a refused stream is certain not to
/// have been processed.
fn outcome_of_error(e: h2::Error) -> FailedOutcome {
    debug!("wire: forwarded request was interrupted: {e}");
    if e.is_remote() && e.reason() == Some(Reason::REFUSED_STREAM) {
        return Outcome::NotRun(NotRunReason::Overloaded);
    }
    Outcome::Unknown(UnknownReason::ConnectionLost)
}

async fn read_outcome(
    response: Response<RecvStream>,
) -> Result<(Outcome<ResponseHead>, FrameReader<'static>), FailedOutcome> {
    let status = response.status();
    if status != StatusCode::OK {
        // The server sends another status only if it did not accept the request.
        debug!("wire: forwarded request was rejected with status {status}");
        return Err(Outcome::NotRun(NotRunReason::NotConnected));
    }
    let mut reader = FrameReader::new(response.into_body());
    let frame = match reader.read_frame(MAX_HEAD_BYTES).await {
        Ok(frame) => frame,
        Err(ReadError::Interrupted(e)) => return Err(outcome_of_error(e)),
        Err(_) => return Err(Outcome::Unknown(UnknownReason::ConnectionLost)),
    };
    match decode_outcome(&frame) {
        Ok(Outcome::Ran(head)) if !is_final_status(head.status) => {
            warn!("wire: a host passed on status {}, which is not one of a response", head.status);
            Err(Outcome::Unknown(UnknownReason::InvalidResponse))
        }
        Ok(outcome) => Ok((outcome, reader)),
        Err(e) => {
            warn!("wire: cannot decode the response to a forwarded request: {e}");
            Err(Outcome::Unknown(UnknownReason::ConnectionLost))
        }
    }
}
