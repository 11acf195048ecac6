//! Runs a request at the backend server after checking that this host may run it.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use admission::JobOutcome;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use model::{Fence, Millis, NotRunReason, Outcome, Partition, UnknownReason};
use wire::{Body, BodyError, ForwardHead, ResponseHead};

use super::OwnerOutcome;
use super::grants;
use super::permit::{self, Permit};
use crate::backend::{Attempt, AttemptResult, BackendChange, ConnectionHealth};
use crate::context::Cx;

/// Admits a request, runs it and returns its response as a stream.
pub(super) async fn run(cx: &Cx, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    let deadline = cx.now() + head.time_left;
    match try_run(cx, &head, body, deadline).await {
        Ok(outcome) => outcome,
        Err(reason) => {
            log::info!("owner: Rejected a request: {reason}.");
            let reason_label = reason.to_string();
            metrics::counter!("papayarill_refused_total", "reason" => reason_label).increment(1);
            Outcome::NotRun(reason)
        }
    }
}

async fn try_run(
    cx: &Cx,
    head: &ForwardHead,
    body: Bytes,
    deadline: Millis,
) -> Result<OwnerOutcome, NotRunReason> {
    check_can_run(cx, head.partition)?;
    if let Some(partition) = head.partition {
        cx.owner.count_request(partition);
    }
    let permit = permit::admit(cx, head, deadline).await?;
    if let (Some(partition), Some(fence)) = (head.partition, check_can_run(cx, head.partition)?) {
        grants::await_acknowledged(cx, partition, fence).await?;
    }
    // The lease may have expired, or the partition may have moved, while the request waited.
    let fence = check_can_run(cx, head.partition)?;
    let view = cx.backend.view().ok_or(NotRunReason::NotConnected)?;
    let time_left = deadline.since(cx.now());
    if time_left == Millis::ZERO {
        return Err(NotRunReason::Deadline);
    }
    let attempt =
        Attempt { addr: view.addr, attempt_id: permit.attempt_id, fence, head, time_left };
    Ok(run_attempt(cx, attempt, body, permit).await)
}

/// Checks that this host may currently run a request for the partition and returns its fencing
/// token.
pub(super) fn check_can_run(
    cx: &Cx,
    partition: Option<Partition>,
) -> Result<Option<Fence>, NotRunReason> {
    let draining = cx.draining.get() || cx.backend.is_draining();
    if draining && partition.is_none() {
        return Err(NotRunReason::Draining);
    }
    if !cx.knows_current_config() {
        return Err(NotRunReason::StaleConfig);
    }
    let Some(partition) = partition else {
        return Ok(None);
    };
    if cx.owner.is_releasing(partition) {
        return Err(NotRunReason::NotOwner);
    }
    match cx.serves(partition) {
        Some(fence) => Ok(Some(fence)),
        None if cx.node.borrow().lease(cx.now()).is_none() => Err(NotRunReason::NoLease),
        None => Err(NotRunReason::NotOwner),
    }
}

async fn run_attempt(
    cx: &Cx,
    attempt: Attempt<'_>,
    body: Bytes,
    mut permit: Permit,
) -> OwnerOutcome {
    let addr = attempt.addr;
    let mut cancelled = permit.mark_sent(attempt.head);
    log::debug!("owner: Runs attempt {} at {addr}.", attempt.attempt_id);
    let result = tokio::select! {
        result = cx.backend.run(attempt, body, cx.addr) => result,
        _ = &mut cancelled => return Outcome::Unknown(UnknownReason::LeaseLost),
    };
    let AttemptResult { outcome, connection } = result;
    check_connection(cx, addr, connection).await;
    match outcome {
        Outcome::Ran((head, body)) => Outcome::Ran(hold_permit(head, body, permit, cancelled)),
        Outcome::NotRun(reason) => {
            permit.mark_done(job_outcome(reason));
            Outcome::NotRun(reason)
        }
        Outcome::Unknown(reason) => {
            permit.mark_failed(reason);
            Outcome::Unknown(reason)
        }
    }
}

/// Maps the reason why a request did not run to feedback for the queue. Only a rejection because
/// of load says how much work the backend server can take.
fn job_outcome(reason: NotRunReason) -> JobOutcome {
    match reason {
        NotRunReason::BackendRefused => JobOutcome::Refused,
        NotRunReason::NotConnected => JobOutcome::Failed,
        _ => JobOutcome::Inconclusive,
    }
}

/// Checks immediately whether the backend server is still up after a connection to it failed.
async fn check_connection(cx: &Cx, addr: std::net::SocketAddr, connection: ConnectionHealth) {
    let down = match connection {
        ConnectionHealth::Healthy => false,
        ConnectionHealth::Refused => true,
        ConnectionHealth::Broken => tokio::net::TcpStream::connect(addr).await.is_err(),
    };
    if down && cx.backend.record_refused_connection(addr) == BackendChange::Down {
        super::handle_backend_loss(cx).await;
    }
}

/// Wraps the response body so that the permit is held until the complete body has been forwarded.
fn hold_permit(
    head: ResponseHead,
    body: Body,
    permit: Permit,
    cancelled: tokio::sync::oneshot::Receiver<()>,
) -> (ResponseHead, Body) {
    let expected = head.body_length;
    let body = PermitBody { body, permit, cancelled, expected, received: 0 };
    (head, body.boxed_local())
}

/// A response body that holds its permit and checks its declared length.
struct PermitBody {
    body: Body,
    permit: Permit,
    cancelled: tokio::sync::oneshot::Receiver<()>,
    expected: Option<u64>,
    received: u64,
}

impl Stream for PermitBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if !this.permit.is_in_flight() {
            return Poll::Ready(None);
        }
        if Pin::new(&mut this.cancelled).poll(cx).is_ready() {
            this.permit.mark_done(JobOutcome::Failed);
            return Poll::Ready(Some(Err(BodyError::Truncated { received: this.received })));
        }
        match this.body.poll_next_unpin(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                this.received += chunk.len() as u64;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.permit.mark_done(JobOutcome::Failed);
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => this.end(),
        }
    }
}

impl PermitBody {
    /// Ends the body. A body shorter than its declared length is an error.
    fn end(&mut self) -> Poll<Option<Result<Bytes, BodyError>>> {
        let complete = self.expected.is_none_or(|length| length == self.received);
        self.permit.mark_done(if complete { JobOutcome::Ran } else { JobOutcome::Failed });
        Poll::Ready(if complete {
            None
        } else {
            Some(Err(BodyError::Truncated { received: self.received }))
        })
    }
}
