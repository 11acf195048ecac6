//! Runs one request at the backend server, once it is certain that this host may.

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
use crate::backend::{Attempt, Attempted, Change, Connection};
use crate::shared::Cx;

/// Admits a request, runs it and returns its answer as it comes.
pub(super) async fn run(cx: &Cx, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    let deadline = cx.now() + head.time_left;
    match try_run(cx, &head, body, deadline).await {
        Ok(outcome) => outcome,
        Err(reason) => {
            log::info!("owner: Did not run a request: {reason}.");
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
    check(cx, head.partition)?;
    if let Some(partition) = head.partition {
        cx.owner.count(partition);
    }
    let permit = permit::admit(cx, head, deadline).await?;
    if let (Some(partition), Some(fence)) = (head.partition, check(cx, head.partition)?) {
        grants::await_noted(cx, partition, fence).await?;
    }
    // The lease may have ended, or the partition may have moved, while the request waited.
    let fence = check(cx, head.partition)?;
    let view = cx.backend.view().ok_or(NotRunReason::NotConnected)?;
    let time_left = deadline.since(cx.now());
    if time_left == Millis::ZERO {
        return Err(NotRunReason::Deadline);
    }
    let attempt = Attempt { addr: view.addr, call: permit.call, fence, head, time_left };
    Ok(send(cx, attempt, body, permit).await)
}

/// Checks that this host may run a request of the partition right now and returns the fence.
pub(super) fn check(cx: &Cx, partition: Option<Partition>) -> Result<Option<Fence>, NotRunReason> {
    let leaving = cx.draining.get() || cx.backend.is_draining();
    if leaving && partition.is_none() {
        return Err(NotRunReason::Draining);
    }
    if !cx.knows_current_config() {
        return Err(NotRunReason::StaleConfig);
    }
    let Some(partition) = partition else {
        return Ok(None);
    };
    if cx.owner.is_closing(partition) {
        return Err(NotRunReason::NotOwner);
    }
    match cx.serves(partition) {
        Some(fence) => Ok(Some(fence)),
        None if cx.node.borrow().lease(cx.now()).is_none() => Err(NotRunReason::NoLease),
        None => Err(NotRunReason::NotOwner),
    }
}

async fn send(cx: &Cx, attempt: Attempt<'_>, body: Bytes, mut permit: Permit) -> OwnerOutcome {
    let addr = attempt.addr;
    let mut cancelled = permit.sent(attempt.head);
    log::debug!("owner: Runs call {} at {addr}.", attempt.call);
    let attempted = tokio::select! {
        attempted = cx.backend.run(attempt, body, cx.addr) => attempted,
        _ = &mut cancelled => return Outcome::Unknown(UnknownReason::LeaseLost),
    };
    let Attempted { outcome, connection } = attempted;
    notice(cx, addr, connection).await;
    match outcome {
        Outcome::Ran((head, body)) => Outcome::Ran(guard(head, body, permit, cancelled)),
        Outcome::NotRun(reason) => {
            permit.done(finish_of(reason));
            Outcome::NotRun(reason)
        }
        Outcome::Unknown(reason) => {
            permit.failed(reason);
            Outcome::Unknown(reason)
        }
    }
}

/// Only a refusal for its load tells how much work the backend server can take.
fn finish_of(reason: NotRunReason) -> JobOutcome {
    match reason {
        NotRunReason::BackendRefused => JobOutcome::Refused,
        NotRunReason::NotConnected => JobOutcome::Failed,
        _ => JobOutcome::Inconclusive,
    }
}

/// Looks at once whether the backend server is still there when a connection to it failed.
async fn notice(cx: &Cx, addr: std::net::SocketAddr, connection: Connection) {
    let gone = match connection {
        Connection::Good => false,
        Connection::Refused => true,
        Connection::Broken => tokio::net::TcpStream::connect(addr).await.is_err(),
    };
    if gone && cx.backend.refused_connection(addr) == Change::Down {
        super::backend_lost(cx).await;
    }
}

/// Keeps the slot until the whole answer has been passed on.
fn guard(
    head: ResponseHead,
    body: Body,
    permit: Permit,
    cancelled: tokio::sync::oneshot::Receiver<()>,
) -> (ResponseHead, Body) {
    let expected = head.body_length;
    let guarded = Guarded { body, permit, cancelled, expected, seen: 0 };
    (head, guarded.boxed_local())
}

struct Guarded {
    body: Body,
    permit: Permit,
    cancelled: tokio::sync::oneshot::Receiver<()>,
    expected: Option<u64>,
    seen: u64,
}

impl Stream for Guarded {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if !this.permit.is_open() {
            return Poll::Ready(None);
        }
        if Pin::new(&mut this.cancelled).poll(cx).is_ready() {
            this.permit.done(JobOutcome::Failed);
            return Poll::Ready(Some(Err(BodyError::Truncated { received: this.seen })));
        }
        match this.body.poll_next_unpin(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                this.seen += chunk.len() as u64;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.permit.done(JobOutcome::Failed);
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => this.end(),
        }
    }
}

impl Guarded {
    /// A body that ends before its announced length is an error, never a short answer.
    fn end(&mut self) -> Poll<Option<Result<Bytes, BodyError>>> {
        let whole = self.expected.is_none_or(|length| length == self.seen);
        self.permit.done(if whole { JobOutcome::Ran } else { JobOutcome::Failed });
        Poll::Ready(if whole {
            None
        } else {
            Some(Err(BodyError::Truncated { received: self.seen }))
        })
    }
}
