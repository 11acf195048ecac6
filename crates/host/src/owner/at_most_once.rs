//! At-most-once requests: the request records decide whether a request runs, and a started run
//! continues to its end even if its caller disconnects, so that a retry finds the response.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use model::{KeptResponse, NotRunReason, Outcome, RecordOutcome, RequestId, UnknownReason};
use routing::records::{BeginResult, RunHandle, RunResult};
use routing::response::{self, ErrorResponse};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use wire::{Body, BodyError, ForwardHead, ResponseHead};

use super::{OwnerOutcome, execute};
use crate::context::Cx;

/// The maximum size of a response body that is kept for retries, in bytes.
const MAX_KEPT_RESPONSE_BYTES: usize = 64 * 1024;

/// How many chunks of a response body are buffered for a slow reader.
const RESPONSE_CHUNK_BUFFER: usize = 4;

/// The header that marks a response replayed from the record of the first run.
const REPLAYED_HEADER: &str = "papayarill-replayed";

/// Runs a request unless a request with its id ran before.
pub(super) async fn run(cx: &Cx, id: RequestId, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    let Some(partition) = head.partition else {
        return Outcome::NotRun(NotRunReason::NotOwner);
    };
    if let Err(reason) = execute::check_can_run(cx, head.partition) {
        return Outcome::NotRun(reason);
    }
    let wall_now = cx.wall_clock.now();
    let begin_result = cx.owner.records.borrow_mut().begin(partition, id, head.digest, wall_now);
    match begin_result {
        BeginResult::Run(handle) => spawn_run(cx, handle, head, body).await,
        BeginResult::Replay(kept) => replay(cx, kept),
        BeginResult::Full => Outcome::NotRun(NotRunReason::Overloaded),
        BeginResult::NotServed => Outcome::NotRun(NotRunReason::NotOwner),
        other => error_outcome(cx, response::for_begin_result(&other)),
    }
}

/// Runs the request in its own task, because this future is dropped if the caller disconnects.
async fn spawn_run(cx: &Cx, handle: RunHandle, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    let (tx, rx) = oneshot::channel();
    let cx = cx.clone();
    actix_rt::spawn(async move {
        match execute::run(&cx, head, body).await {
            Outcome::Ran((head, body)) => record_response(&cx, handle, head, body, tx).await,
            Outcome::NotRun(reason) => {
                finish(&cx, handle, RunResult::NotRun);
                let _ = tx.send(Outcome::NotRun(reason));
            }
            Outcome::Unknown(reason) => {
                finish(&cx, handle, RunResult::Recorded(RecordOutcome::Unknown));
                let _ = tx.send(Outcome::Unknown(reason));
            }
        }
    });
    rx.await.unwrap_or(Outcome::Unknown(UnknownReason::ConnectionLost))
}

/// Reads the response to its end and records it, and forwards it while the caller is connected.
async fn record_response(
    cx: &Cx,
    handle: RunHandle,
    head: ResponseHead,
    mut body: Body,
    tx: oneshot::Sender<OwnerOutcome>,
) {
    let (chunks, rx) = mpsc::channel(RESPONSE_CHUNK_BUFFER);
    let forwarded: Body = ReceiverStream::new(rx).boxed_local();
    let _ = tx.send(Outcome::Ran((head.clone(), forwarded)));
    let mut kept = RecordedBody::Bytes(Vec::new());
    while let Some(chunk) = body.next().await {
        match &chunk {
            Ok(bytes) => kept = kept.with(bytes),
            Err(_) => kept = RecordedBody::Incomplete,
        }
        // If the caller has disconnected, the response is still read to its end for the record.
        let _ = chunks.send(chunk).await;
    }
    finish(cx, handle, RunResult::Recorded(kept.into_end(head)));
}

/// Records the result of a run, and wakes releases that wait for running requests to end.
fn finish(cx: &Cx, handle: RunHandle, result: RunResult) {
    cx.owner.records.borrow_mut().finish(handle, result);
    cx.owner.request_finished.notify_waiters();
}

/// The part of a response body read so far, as it will be recorded.
enum RecordedBody {
    Bytes(Vec<u8>),
    TooLong,
    Incomplete,
}

impl RecordedBody {
    fn with(self, bytes: &Bytes) -> Self {
        match self {
            Self::Bytes(kept) if kept.len() + bytes.len() > MAX_KEPT_RESPONSE_BYTES => {
                Self::TooLong
            }
            Self::Bytes(mut kept) => {
                kept.extend_from_slice(bytes);
                Self::Bytes(kept)
            }
            other => other,
        }
    }

    fn into_end(self, head: ResponseHead) -> RecordOutcome {
        let ResponseHead { status, headers, .. } = head;
        match self {
            Self::Bytes(body) => RecordOutcome::Answered(KeptResponse { status, headers, body }),
            Self::TooLong => RecordOutcome::NotKept { status },
            Self::Incomplete => RecordOutcome::Unknown,
        }
    }
}

fn replay(cx: &Cx, kept: KeptResponse) -> OwnerOutcome {
    let KeptResponse { status, mut headers, body } = kept;
    log::info!("owner: Replayed the recorded response of a repeated request id.");
    metrics::counter!("papayarill_replays_total").increment(1);
    headers.push((REPLAYED_HEADER.to_owned(), b"true".to_vec()));
    complete_response(cx, status, headers, body)
}

/// Converts an error response to an outcome. Without one, the outcome of the request is unknown.
fn error_outcome(cx: &Cx, error: Option<ErrorResponse>) -> OwnerOutcome {
    let Some(error) = error else {
        return Outcome::Unknown(UnknownReason::HistoryIncomplete);
    };
    let headers = error.headers();
    let headers = headers.into_iter().map(|(n, v)| (n.to_owned(), v.into_bytes())).collect();
    complete_response(cx, error.status, headers, error.reason.into_bytes())
}

fn complete_response(
    cx: &Cx,
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
) -> OwnerOutcome {
    let length = u64::try_from(body.len()).ok();
    let head = ResponseHead { status, headers, body_length: length, owner: cx.addr };
    let body = stream::iter([Ok::<_, BodyError>(Bytes::from(body))]).boxed_local();
    Outcome::Ran((head, body))
}
