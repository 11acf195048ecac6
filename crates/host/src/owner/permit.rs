//! A place at the backend server, from the queue to the end of the answer.

use admission::{Action, Admission, Job, JobOutcome, StartDecision};
use model::{Millis, NotRunReason, UnknownReason};
use std::time::Duration;
use tokio::sync::oneshot;
use wire::ForwardHead;

use super::{InFlight, quarantine};
use crate::shared::Cx;

/// The pause before a suspect request asks again whether it may start.
const SUSPECT_PAUSE: Duration = Duration::from_millis(5);

/// What a queued request is told.
pub(super) enum Go {
    /// Start now.
    Start,
    /// It was not run.
    Refuse(NotRunReason),
}

/// The right to run one request at the backend server. Dropping it gives the slot back.
pub(super) struct Permit {
    cx: Cx,
    /// Identifies the attempt towards the queue and the backend server.
    pub call: u64,
    digest: u64,
    end: JobOutcome,
    stage: Stage,
    _suspect: Suspect,
}

/// A request that passed the quarantine. Dropping it lets the next suspect run.
struct Suspect {
    cx: Cx,
    digest: u64,
}

impl Drop for Suspect {
    fn drop(&mut self) {
        self.cx.owner.quarantine.borrow_mut().record_not_run(self.digest);
    }
}

/// How far a permit's request has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It was not sent to the backend server.
    Admitted,
    /// The backend server may be working on it.
    Sent,
    /// The backend server is done with it.
    Done,
}

impl Permit {
    /// Notes that the request goes to the backend server now. The receiver resolves when the
    /// request is to be cancelled.
    pub fn sent(&mut self, head: &ForwardHead) -> oneshot::Receiver<()> {
        self.stage = Stage::Sent;
        let (keep, cancelled) = oneshot::channel();
        let entry = InFlight {
            call: self.call,
            partition: head.partition,
            digest: self.digest,
            _keep: keep,
        };
        self.cx.owner.in_flight.borrow_mut().push(entry);
        cancelled
    }

    /// Notes how the request ended. Without this it counts as given up by this side.
    pub fn done(&mut self, end: JobOutcome) {
        self.stage = Stage::Done;
        self.end = end;
        if end == JobOutcome::Ran {
            quarantine::completed(&self.cx, self.digest);
        }
    }

    /// Notes that the outcome of the request is unknown. After a timeout the backend server may
    /// still be working on it, so that it is cancelled there.
    pub fn failed(&mut self, reason: UnknownReason) {
        self.end = JobOutcome::Failed;
        if reason != UnknownReason::Timeout {
            self.stage = Stage::Done;
        }
    }

    /// Returns whether the request is still on its way or runs.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Sent
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_open() {
            cancel(&self.cx, self.call);
        }
        self.cx.owner.in_flight.borrow_mut().retain(|i| i.call != self.call);
        let actions = self.cx.owner.queue.borrow_mut().finish(self.call, self.end, self.cx.now());
        carry_out(&self.cx, actions);
        self.cx.owner.finished.notify_waiters();
    }
}

/// Tells the backend server that nobody waits for this answer.
fn cancel(cx: &Cx, call: u64) {
    let Some(view) = cx.backend.view() else {
        return;
    };
    let cx = cx.clone();
    actix_rt::spawn(async move { cx.backend.cancel(view.addr, call).await });
}

/// Gives up the place in the queue if its future is dropped.
struct Place {
    cx: Cx,
    call: u64,
    kept: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        let still_waits = take_waiting(&self.cx, self.call).is_some();
        let now = self.cx.now();
        let mut queue = self.cx.owner.queue.borrow_mut();
        let actions = if still_waits {
            queue.abandon(self.call, now)
        } else {
            // The queue started the request a moment ago, so its slot has to be given back.
            queue.finish(self.call, JobOutcome::Inconclusive, now)
        };
        drop(queue);
        carry_out(&self.cx, actions);
    }
}

/// Waits for a place at the backend server.
pub(super) async fn admit(
    cx: &Cx,
    head: &ForwardHead,
    deadline: Millis,
) -> Result<Permit, NotRunReason> {
    let suspect = pass_quarantine(cx, head.digest, deadline).await?;
    let call = cx.owner.next_call();
    let now = cx.now();
    let time_left = deadline.since(now);
    let job = Job { id: call, priority: head.priority, rule: head.rule, time_left };
    let verdict = offer(cx, head, job, now);
    match verdict {
        Admission::Start => {}
        Admission::Refused { reason, .. } => return Err(reason),
        Admission::Queued => wait_for_slot(cx, call).await?,
    }
    let digest = head.digest;
    Ok(Permit {
        cx: cx.clone(),
        call,
        digest,
        end: JobOutcome::Inconclusive,
        stage: Stage::Admitted,
        _suspect: suspect,
    })
}

/// Idempotent requests that are the same take about the same time, so they are told apart.
fn offer(cx: &Cx, head: &ForwardHead, job: Job, now: Millis) -> Admission {
    let mut queue = cx.owner.queue.borrow_mut();
    match head.id {
        None => queue.offer_keyed(job, head.digest, now),
        Some(_) => queue.offer(job, now),
    }
}

async fn wait_for_slot(cx: &Cx, call: u64) -> Result<(), NotRunReason> {
    let (tx, rx) = oneshot::channel();
    cx.owner.waiting.borrow_mut().push((call, tx));
    let mut place = Place { cx: cx.clone(), call, kept: false };
    let go = rx.await;
    place.kept = true;
    match go {
        Ok(Go::Start) => Ok(()),
        Ok(Go::Refuse(reason)) => Err(reason),
        Err(_) => Err(NotRunReason::Overloaded),
    }
}

/// Lets a request pass that is not suspected of crashing backend servers. Suspects go one by one.
async fn pass_quarantine(cx: &Cx, digest: u64, deadline: Millis) -> Result<Suspect, NotRunReason> {
    loop {
        let start = cx.owner.quarantine.borrow_mut().may_start(digest, cx.now());
        match start {
            StartDecision::Unrestricted | StartDecision::SoleSuspect => {
                return Ok(Suspect { cx: cx.clone(), digest });
            }
            StartDecision::Refused { .. } => return Err(NotRunReason::Quarantined),
            StartDecision::Wait => {}
        }
        if cx.now() >= deadline {
            return Err(NotRunReason::Deadline);
        }
        tokio::time::sleep(SUSPECT_PAUSE).await;
    }
}

/// Carries out what the queue decided about waiting requests.
pub(super) fn carry_out(cx: &Cx, actions: Vec<Action>) {
    for action in actions {
        let (call, go) = match action {
            Action::Start(call) => (call, Go::Start),
            Action::Refuse { id, reason, .. } => (id, Go::Refuse(reason)),
        };
        let waiting = take_waiting(cx, call);
        let Some(tx) = waiting else {
            continue;
        };
        // The request was given up a moment ago; its place gives the slot back.
        let _ = tx.send(go);
    }
}

fn take_waiting(cx: &Cx, call: u64) -> Option<oneshot::Sender<Go>> {
    let mut waiting = cx.owner.waiting.borrow_mut();
    let index = waiting.iter().position(|(c, _)| *c == call)?;
    Some(waiting.swap_remove(index).1)
}
