//! One stream of a server: reads a call or a request whole, runs the handler, sends the answer.

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
use super::peers::Running;
use crate::body::{Budget, Inbox, ReadError, Then, send, send_body};
use crate::client::{CALL_PATH, FORWARD_PATH, with_length};
use crate::codec::{
    CodecError, MAX_CALL_BYTES, MAX_HEAD_BYTES, decode_call, decode_forward_head, encode_outcome,
    encode_reply,
};
use crate::{Body, ForwardHead, ResponseHead};

/// Why a stream is answered without its handler being run.
enum Refusal {
    /// The request is not what it should be; answered with this status.
    Bad(StatusCode),
    /// The memory for requests is used up.
    Overloaded,
    /// Nobody is there to answer.
    Gone,
}

impl From<ReadError> for Refusal {
    fn from(e: ReadError) -> Self {
        match e {
            ReadError::Broken(_) => Self::Gone,
            ReadError::Short => Self::Bad(StatusCode::BAD_REQUEST),
            ReadError::TooLarge => Self::Bad(StatusCode::PAYLOAD_TOO_LARGE),
            ReadError::NoMemory => Self::Overloaded,
        }
    }
}

impl From<CodecError> for Refusal {
    fn from(e: CodecError) -> Self {
        debug!("wire: refused a frame: {e}");
        Self::Bad(StatusCode::BAD_REQUEST)
    }
}

/// Serves one stream; `_running` keeps its connection from being taken for idle.
pub(super) async fn run(
    cx: Rc<Context>,
    _running: Running,
    req: Request<RecvStream>,
    mut tx: SendResponse<Bytes>,
) {
    let (parts, rx) = req.into_parts();
    let inbox = Inbox::new(rx).within(Budget::new(&cx.buffered));
    match parts.uri.path() {
        CALL_PATH => run_call(&cx, inbox, &mut tx).await,
        FORWARD_PATH => run_forward(&cx, inbox, &mut tx).await,
        _ => refuse(&mut tx, StatusCode::NOT_FOUND),
    }
}

/// Runs `work`, and drops it when the peer resets the stream or goes away.
async fn unless_reset<T>(tx: &mut SendResponse<Bytes>, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        _ = poll_fn(|cx| tx.poll_reset(cx)) => None,
        output = work => Some(output),
    }
}

async fn run_call(cx: &Context, inbox: Inbox<'_>, tx: &mut SendResponse<Bytes>) {
    let work = async {
        let (frame, budget) = in_time(cx, inbox.rest(MAX_CALL_BYTES)).await?;
        let call = decode_call(&frame)?;
        drop((frame, budget));
        let reply = (cx.handlers.on_call)(call).await;
        Ok::<_, Refusal>(encode_reply(reply)?)
    };
    let Some(result) = unless_reset(tx, work).await else { return };
    match result {
        Ok(frame) => answer(tx, frame, Then::End).await.map_or((), drop),
        Err(Refusal::Bad(status)) => refuse(tx, status),
        Err(Refusal::Overloaded) => refuse(tx, StatusCode::SERVICE_UNAVAILABLE),
        Err(Refusal::Gone) => {}
    }
}

async fn run_forward(cx: &Context, inbox: Inbox<'_>, tx: &mut SendResponse<Bytes>) {
    let work = async {
        let started = Instant::now();
        let (mut head, body, budget) = in_time(cx, read_request(cx, inbox)).await?;
        head.time_left = head.time_left - started.elapsed().into();
        let outcome = (cx.handlers.on_forward)(head, body).await;
        drop(budget);
        Ok(outcome)
    };
    let Some(result) = unless_reset(tx, work).await else { return };
    match result {
        Ok(outcome) => answer_forward(tx, outcome).await,
        Err(Refusal::Bad(status)) => refuse(tx, status),
        Err(Refusal::Overloaded) => {
            answer_forward(tx, Outcome::NotRun(NotRunReason::Overloaded)).await;
        }
        Err(Refusal::Gone) => {}
    }
}

async fn in_time<T, E: Into<Refusal>>(
    cx: &Context,
    reading: impl Future<Output = Result<T, E>>,
) -> Result<T, Refusal> {
    match timeout(cx.settings.read_timeout.into(), reading).await {
        Ok(read) => read.map_err(Into::into),
        Err(_) => Err(Refusal::Bad(StatusCode::REQUEST_TIMEOUT)),
    }
}

type ReceivedRequest<'a> = (ForwardHead, Bytes, Option<Budget<'a>>);

async fn read_request<'a>(
    cx: &Context,
    mut inbox: Inbox<'a>,
) -> Result<ReceivedRequest<'a>, Refusal> {
    let frame = inbox.frame(MAX_HEAD_BYTES).await?;
    let head = decode_forward_head(&frame)?;
    if head.body_length > cx.settings.max_body_bytes {
        return Err(Refusal::Bad(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let limit = usize::try_from(head.body_length).unwrap_or(usize::MAX);
    let (body, budget) = inbox.rest(limit).await?;
    if body.len() != limit {
        return Err(Refusal::Bad(StatusCode::BAD_REQUEST));
    }
    Ok((head, body, budget))
}

fn refuse(tx: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Err(e) = tx.send_response(head, true) {
        debug!("wire: refusal was not sent: {e}");
    }
}

/// Sends a first frame, and returns the stream for what follows.
async fn answer(
    tx: &mut SendResponse<Bytes>,
    frame: Bytes,
    then: Then,
) -> Result<SendStream<Bytes>, h2::Error> {
    let mut stream = tx.send_response(Response::new(()), false)?;
    send(&mut stream, frame, then).await?;
    Ok(stream)
}

async fn answer_forward(tx: &mut SendResponse<Bytes>, outcome: Outcome<(ResponseHead, Body)>) {
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
        Ok(frame) => with_length(&frame),
        Err(e) => {
            debug!("wire: answer cannot be encoded: {e}");
            return tx.send_reset(h2::Reason::INTERNAL_ERROR);
        }
    };
    let then = if body.is_some() { Then::GoOn } else { Then::End };
    let Ok(mut stream) = answer(tx, frame, then).await else { return };
    if let Some(body) = body {
        send_body(&mut stream, body, length).await;
    }
}
