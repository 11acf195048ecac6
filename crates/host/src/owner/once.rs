//! Requests that run at most once: the records decide, and a started run goes on to its end even
//! if its caller goes away, so that a re-send finds the answer.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use model::{KeptResponse, NotRunReason, Outcome, RecordOutcome, RequestId, UnknownReason};
use routing::records::{BeginResult, RunHandle, RunResult};
use routing::response::{self, ErrorResponse};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use wire::{Body, BodyError, ForwardHead, ResponseHead};

use super::{OwnerOutcome, execute};
use crate::shared::Cx;

/// The largest answer that is kept for re-sends, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// Chunks of an answer that wait for a slow reader.
const ANSWER_CHUNKS: usize = 4;

/// Marks an answer that was kept from the first run.
const REPLAYED_HEADER: &str = "papayarill-replayed";

/// Runs a request unless its id ran before.
pub(super) async fn run(cx: &Cx, id: RequestId, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    let Some(partition) = head.partition else {
        return Outcome::NotRun(NotRunReason::NotOwner);
    };
    if let Err(reason) = execute::check(cx, head.partition) {
        return Outcome::NotRun(reason);
    }
    let wall_now = cx.wall.now();
    let begun = cx.owner.records.borrow_mut().begin(partition, id, head.digest, wall_now);
    match begun {
        BeginResult::Run(ticket) => start(cx, ticket, head, body).await,
        BeginResult::Replay(kept) => replay(cx, kept),
        BeginResult::Full => Outcome::NotRun(NotRunReason::Overloaded),
        BeginResult::NotServed => Outcome::NotRun(NotRunReason::NotOwner),
        other => told(cx, response::for_begin_result(&other)),
    }
}

/// Starts the run apart from the request, which may be dropped when its caller goes away.
async fn start(cx: &Cx, ticket: RunHandle, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    let (tx, rx) = oneshot::channel();
    let cx = cx.clone();
    actix_rt::spawn(async move {
        match execute::run(&cx, head, body).await {
            Outcome::Ran((head, body)) => finish_answer(&cx, ticket, head, body, tx).await,
            Outcome::NotRun(reason) => {
                finish(&cx, ticket, RunResult::NotRun);
                let _ = tx.send(Outcome::NotRun(reason));
            }
            Outcome::Unknown(reason) => {
                finish(&cx, ticket, RunResult::Recorded(RecordOutcome::Unknown));
                let _ = tx.send(Outcome::Unknown(reason));
            }
        }
    });
    rx.await.unwrap_or(Outcome::Unknown(UnknownReason::ConnectionLost))
}

/// Reads the answer to its end, for the record, and passes it on as long as somebody reads it.
async fn finish_answer(
    cx: &Cx,
    ticket: RunHandle,
    head: ResponseHead,
    mut body: Body,
    tx: oneshot::Sender<OwnerOutcome>,
) {
    let (chunks, rx) = mpsc::channel(ANSWER_CHUNKS);
    let passed_on: Body = ReceiverStream::new(rx).boxed_local();
    let _ = tx.send(Outcome::Ran((head.clone(), passed_on)));
    let mut kept = Kept::Bytes(Vec::new());
    while let Some(chunk) = body.next().await {
        match &chunk {
            Ok(bytes) => kept = kept.with(bytes),
            Err(_) => kept = Kept::Cut,
        }
        // The caller may be gone; the run still has to be read to its end.
        let _ = chunks.send(chunk).await;
    }
    finish(cx, ticket, RunResult::Recorded(kept.into_end(head)));
}

/// Records how a run ended, and lets a release look again whether the partition is quiet.
fn finish(cx: &Cx, ticket: RunHandle, ended: RunResult) {
    cx.owner.records.borrow_mut().finish(ticket, ended);
    cx.owner.finished.notify_waiters();
}

/// What has been kept of an answer so far.
enum Kept {
    Bytes(Vec<u8>),
    TooLong,
    Cut,
}

impl Kept {
    fn with(self, bytes: &Bytes) -> Self {
        match self {
            Self::Bytes(kept) if kept.len() + bytes.len() > MAX_KEPT_ANSWER_BYTES => Self::TooLong,
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
            Self::Cut => RecordOutcome::Unknown,
        }
    }
}

fn replay(cx: &Cx, kept: KeptResponse) -> OwnerOutcome {
    let KeptResponse { status, mut headers, body } = kept;
    log::info!("owner: Answered a repeated request id from its record.");
    metrics::counter!("papayarill_replays_total").increment(1);
    headers.push((REPLAYED_HEADER.to_owned(), b"true".to_vec()));
    whole(cx, status, headers, body)
}

/// Answers for the records what the caller has to know.
fn told(cx: &Cx, answer: Option<ErrorResponse>) -> OwnerOutcome {
    let Some(answer) = answer else {
        return Outcome::Unknown(UnknownReason::HistoryIncomplete);
    };
    let headers = answer.headers();
    let headers = headers.into_iter().map(|(n, v)| (n.to_owned(), v.into_bytes())).collect();
    whole(cx, answer.status, headers, answer.reason.into_bytes())
}

fn whole(cx: &Cx, status: u16, headers: Vec<(String, Vec<u8>)>, body: Vec<u8>) -> OwnerOutcome {
    let length = u64::try_from(body.len()).ok();
    let head = ResponseHead { status, headers, body_length: length, owner: cx.addr };
    let body = stream::iter([Ok::<_, BodyError>(Bytes::from(body))]).boxed_local();
    Outcome::Ran((head, body))
}
