//! Serves one stream: reads a complete call or request, runs its handler and sends the response.

use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use log::debug;
use model::{NotRunReason, Outcome};
use tokio::time::{Instant, timeout};

use super::Context;
use super::connection_table::ActiveStream;
use crate::body::{EndStream, FrameReader, MemoryReservation, ReadError, send, send_body};
use crate::client::{CALL_PATH, FORWARD_PATH, length_prefixed};
use crate::codec::{
    CodecError, MAX_CALL_BYTES, MAX_HEAD_BYTES, decode_call, decode_forward_head, encode_outcome,
    encode_reply,
};
use crate::{Body, ForwardHead, ResponseHead};

/// Why a stream was not passed to its handler, or its reply cannot be sent.
enum Rejection {
    /// The request is invalid or incomplete; answered with this status.
    Invalid(StatusCode),
    /// The memory for requests is exhausted.
    Overloaded,
    /// The client reset the stream or disconnected.
    Disconnected,
}

impl From<ReadError> for Rejection {
    fn from(e: ReadError) -> Self {
        match e {
            ReadError::Interrupted(_) => Self::Disconnected,
            ReadError::UnexpectedEnd => Self::Invalid(StatusCode::BAD_REQUEST),
            ReadError::TooLarge => Self::Invalid(StatusCode::PAYLOAD_TOO_LARGE),
            ReadError::OutOfMemory => Self::Overloaded,
        }
    }
}

impl From<CodecError> for Rejection {
    fn from(e: CodecError) -> Self {
        debug!("wire: invalid frame: {e}");
        Self::Invalid(StatusCode::BAD_REQUEST)
    }
}

/// Serves one stream; `_active` marks its connection as in use.
pub(super) async fn serve(
    cx: Rc<Context>,
    _active: ActiveStream,
    req: Request<RecvStream>,
    mut tx: SendResponse<Bytes>,
) {
    let (parts, rx) = req.into_parts();
    let reader = FrameReader::new(rx).with_memory(MemoryReservation::new(&cx.buffer_memory));
    match parts.uri.path() {
        CALL_PATH => run_call(&cx, reader, &mut tx).await,
        FORWARD_PATH => run_forward(&cx, reader, &mut tx).await,
        _ => reject(&mut tx, StatusCode::NOT_FOUND),
    }
}

/// Runs `work`; returns `None` and drops it if the client resets the stream or disconnects.
async fn unless_reset<T>(tx: &mut SendResponse<Bytes>, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        _ = poll_fn(|cx| tx.poll_reset(cx)) => None,
        output = work => Some(output),
    }
}

async fn run_call(cx: &Context, reader: FrameReader<'_>, tx: &mut SendResponse<Bytes>) {
    let work = async {
        let (frame, memory) = with_read_timeout(cx, reader.read_to_end(MAX_CALL_BYTES)).await?;
        let call = decode_call(&frame)?;
        drop((frame, memory));
        let reply = (cx.handlers.on_call)(call).await;
        Ok::<_, Rejection>(encode_reply(reply)?)
    };
    let Some(result) = unless_reset(tx, work).await else { return };
    match result {
        Ok(frame) => respond(tx, frame, EndStream::Yes).await.map_or((), drop),
        Err(Rejection::Invalid(status)) => reject(tx, status),
        Err(Rejection::Overloaded) => reject(tx, StatusCode::SERVICE_UNAVAILABLE),
        Err(Rejection::Disconnected) => {}
    }
}

async fn run_forward(cx: &Context, reader: FrameReader<'_>, tx: &mut SendResponse<Bytes>) {
    let work = async {
        let started = Instant::now();
        let (mut head, body, memory) = with_read_timeout(cx, read_request(cx, reader)).await?;
        head.time_left = head.time_left - started.elapsed().into();
        let outcome = (cx.handlers.on_forward)(head, body).await;
        drop(memory);
        Ok(outcome)
    };
    let Some(result) = unless_reset(tx, work).await else { return };
    match result {
        Ok(outcome) => respond_to_forward(tx, outcome).await,
        Err(Rejection::Invalid(status)) => reject(tx, status),
        Err(Rejection::Overloaded) => {
            respond_to_forward(tx, Outcome::NotRun(NotRunReason::Overloaded)).await;
        }
        Err(Rejection::Disconnected) => {}
    }
}

async fn with_read_timeout<T, E: Into<Rejection>>(
    cx: &Context,
    reading: impl Future<Output = Result<T, E>>,
) -> Result<T, Rejection> {
    match timeout(cx.settings.read_timeout.into(), reading).await {
        Ok(read) => read.map_err(Into::into),
        Err(_) => Err(Rejection::Invalid(StatusCode::REQUEST_TIMEOUT)),
    }
}

/// A request, with the memory reserved for it.
type ReceivedRequest<'a> = (ForwardHead, Bytes, Option<MemoryReservation<'a>>);

async fn read_request<'a>(
    cx: &Context,
    mut reader: FrameReader<'a>,
) -> Result<ReceivedRequest<'a>, Rejection> {
    let frame = reader.read_frame(MAX_HEAD_BYTES).await?;
    let head = decode_forward_head(&frame)?;
    if head.body_length > cx.settings.max_body_bytes {
        return Err(Rejection::Invalid(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let limit = usize::try_from(head.body_length).unwrap_or(usize::MAX);
    let (body, memory) = reader.read_to_end(limit).await?;
    if body.len() != limit {
        return Err(Rejection::Invalid(StatusCode::BAD_REQUEST));
    }
    Ok((head, body, memory))
}

fn reject(tx: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Err(e) = tx.send_response(head, true) {
        debug!("wire: cannot send the error response: {e}");
    }
}

/// Sends the first frame of a response, and returns the stream for the rest.
async fn respond(
    tx: &mut SendResponse<Bytes>,
    frame: Bytes,
    end: EndStream,
) -> Result<SendStream<Bytes>, h2::Error> {
    let mut stream = tx.send_response(Response::new(()), false)?;
    send(&mut stream, frame, end).await?;
    Ok(stream)
}

async fn respond_to_forward(tx: &mut SendResponse<Bytes>, outcome: Outcome<(ResponseHead, Body)>) {
    let (outcome, body) = match outcome {
        Outcome::Ran((head, body)) => (Outcome::Ran(head), Some(body)),
        Outcome::NotRun(reason) => (Outcome::NotRun(reason), None),
        Outcome::Unknown(reason) => (Outcome::Unknown(reason), None),
    };
    let length = match &outcome {
        Outcome::Ran(head) => head.body_length,
        Outcome::NotRun(_) | Outcome::Unknown(_) => None,
    };
    let frame = match encode_outcome(outcome) {
        Ok(frame) => length_prefixed(&frame),
        Err(e) => {
            debug!("wire: cannot encode the response: {e}");
            return tx.send_reset(h2::Reason::INTERNAL_ERROR);
        }
    };
    let end = if body.is_some() { EndStream::No } else { EndStream::Yes };
    let Ok(mut stream) = respond(tx, frame, end).await else { return };
    if let Some(body) = body {
        send_body(&mut stream, body, length).await;
    }
}
