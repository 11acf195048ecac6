//! Permits to run a request at the backend server, held from admission to the end of the response.

use admission::{Action, Admission, Job, JobOutcome, StartDecision};
use model::{Millis, NotRunReason, UnknownReason};
use std::time::Duration;
use tokio::sync::oneshot;
use wire::ForwardHead;

use super::{InFlight, quarantine};
use crate::context::Cx;

/// The interval at which a suspected request checks whether it may start.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What the queue decided about a waiting request.
pub(super) enum QueueDecision {
    /// The request starts now.
    Start,
    /// The request is rejected without having run.
    Refuse(NotRunReason),
}

/// Permission to run one request at the backend server. Dropping it releases the slot.
pub(super) struct Permit {
    cx: Cx,
    /// Identifies the attempt in the queue and at the backend server.
    pub attempt_id: u64,
    digest: u64,
    outcome: JobOutcome,
    stage: Stage,
    _quarantine_pass: QuarantinePass,
}

/// Proof that a request passed the quarantine check. Dropping it allows the next suspected request
/// to run.
struct QuarantinePass {
    cx: Cx,
    digest: u64,
}

impl Drop for QuarantinePass {
    fn drop(&mut self) {
        self.cx.owner.quarantine.borrow_mut().record_not_run(self.digest);
    }
}

/// The progress of a permit's request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The request was not sent to the backend server yet.
    Admitted,
    /// The backend server may be running the request.
    Sent,
    /// The backend server has finished the request.
    Done,
}

impl Permit {
    /// Records that the request is being sent to the backend server. The returned receiver
    /// resolves when the request must be cancelled.
    pub fn mark_sent(&mut self, head: &ForwardHead) -> oneshot::Receiver<()> {
        self.stage = Stage::Sent;
        let (cancel_guard, cancelled) = oneshot::channel();
        let entry = InFlight {
            attempt_id: self.attempt_id,
            partition: head.partition,
            digest: self.digest,
            _cancel_guard: cancel_guard,
        };
        self.cx.owner.in_flight.borrow_mut().push(entry);
        cancelled
    }

    /// Records how the request ended. A permit dropped without this call counts as abandoned by
    /// this host.
    pub fn mark_done(&mut self, outcome: JobOutcome) {
        self.stage = Stage::Done;
        self.outcome = outcome;
        if outcome == JobOutcome::Ran {
            quarantine::record_completion(&self.cx, self.digest);
        }
    }

    /// Records that the outcome of the request is unknown. After a timeout the backend server may
    /// still be running it, so it is cancelled there when the permit is dropped.
    pub fn mark_failed(&mut self, reason: UnknownReason) {
        self.outcome = JobOutcome::Failed;
        if reason != UnknownReason::Timeout {
            self.stage = Stage::Done;
        }
    }

    /// Returns whether the request was sent and has not finished.
    pub fn is_in_flight(&self) -> bool {
        self.stage == Stage::Sent
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_in_flight() {
            cancel_at_backend(&self.cx, self.attempt_id);
        }
        self.cx.owner.in_flight.borrow_mut().retain(|i| i.attempt_id != self.attempt_id);
        let actions =
            self.cx.owner.queue.borrow_mut().finish(self.attempt_id, self.outcome, self.cx.now());
        apply_queue_actions(&self.cx, actions);
        self.cx.owner.request_finished.notify_waiters();
    }
}

/// Cancels an attempt at the backend server in the background.
fn cancel_at_backend(cx: &Cx, attempt_id: u64) {
    let Some(view) = cx.backend.view() else {
        return;
    };
    let cx = cx.clone();
    actix_rt::spawn(async move { cx.backend.cancel(view.addr, attempt_id).await });
}

/// Removes a request from the queue if the future that waits for its slot is dropped.
struct QueuePlace {
    cx: Cx,
    attempt_id: u64,
    resolved: bool,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let still_waits = remove_waiting(&self.cx, self.attempt_id).is_some();
        let now = self.cx.now();
        let mut queue = self.cx.owner.queue.borrow_mut();
        let actions = if still_waits {
            queue.cancel(self.attempt_id, now)
        } else {
            // The queue has already started the request, so its slot must be released.
            queue.finish(self.attempt_id, JobOutcome::Inconclusive, now)
        };
        drop(queue);
        apply_queue_actions(&self.cx, actions);
    }
}

/// Waits until the request may run at the backend server.
pub(super) async fn admit(
    cx: &Cx,
    head: &ForwardHead,
    deadline: Millis,
) -> Result<Permit, NotRunReason> {
    let quarantine_pass = pass_quarantine(cx, head.digest, deadline).await?;
    let attempt_id = cx.owner.next_id();
    let now = cx.now();
    let time_left = deadline.since(now);
    let job = Job { id: attempt_id, priority: head.priority, rule: head.rule, time_left };
    let admission = offer_to_queue(cx, head, job, now);
    match admission {
        Admission::Start => {}
        Admission::Refused { reason, .. } => return Err(reason),
        Admission::Queued => wait_for_slot(cx, attempt_id).await?,
    }
    let digest = head.digest;
    Ok(Permit {
        cx: cx.clone(),
        attempt_id,
        digest,
        outcome: JobOutcome::Inconclusive,
        stage: Stage::Admitted,
        _quarantine_pass: quarantine_pass,
    })
}

/// Submits a request to the queue. Idempotent requests are submitted with their digest as a key,
/// because identical requests take about the same time.
fn offer_to_queue(cx: &Cx, head: &ForwardHead, job: Job, now: Millis) -> Admission {
    let mut queue = cx.owner.queue.borrow_mut();
    match head.id {
        None => queue.submit_keyed(job, head.digest, now),
        Some(_) => queue.submit(job, now),
    }
}

async fn wait_for_slot(cx: &Cx, attempt_id: u64) -> Result<(), NotRunReason> {
    let (tx, rx) = oneshot::channel();
    cx.owner.waiting.borrow_mut().push((attempt_id, tx));
    let mut place = QueuePlace { cx: cx.clone(), attempt_id, resolved: false };
    let decision = rx.await;
    place.resolved = true;
    match decision {
        Ok(QueueDecision::Start) => Ok(()),
        Ok(QueueDecision::Refuse(reason)) => Err(reason),
        Err(_) => Err(NotRunReason::Overloaded),
    }
}

/// Waits until the quarantine allows the request to start. Requests suspected of crashing backend
/// servers run one at a time.
async fn pass_quarantine(
    cx: &Cx,
    digest: u64,
    deadline: Millis,
) -> Result<QuarantinePass, NotRunReason> {
    loop {
        let decision = cx.owner.quarantine.borrow_mut().may_start(digest, cx.now());
        match decision {
            StartDecision::Unrestricted | StartDecision::SoleSuspect => {
                return Ok(QuarantinePass { cx: cx.clone(), digest });
            }
            StartDecision::Refused { .. } => return Err(NotRunReason::Quarantined),
            StartDecision::Wait => {}
        }
        if cx.now() >= deadline {
            return Err(NotRunReason::Deadline);
        }
        tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
    }
}

/// Notifies waiting requests of the queue's decisions.
pub(super) fn apply_queue_actions(cx: &Cx, actions: Vec<Action>) {
    for action in actions {
        let (attempt_id, decision) = match action {
            Action::Start(attempt_id) => (attempt_id, QueueDecision::Start),
            Action::Refuse { id, reason, .. } => (id, QueueDecision::Refuse(reason)),
        };
        let waiting = remove_waiting(cx, attempt_id);
        let Some(tx) = waiting else {
            continue;
        };
        // If the request has just been abandoned, dropping its `QueuePlace` releases the slot.
        let _ = tx.send(decision);
    }
}

fn remove_waiting(cx: &Cx, attempt_id: u64) -> Option<oneshot::Sender<QueueDecision>> {
    let mut waiting = cx.owner.waiting.borrow_mut();
    let index = waiting.iter().position(|(id, _)| *id == attempt_id)?;
    Some(waiting.swap_remove(index).1)
}
