//! The queue in front of one backend server.

use model::{Millis, NotRunReason, Priority};

use crate::demand::Demand;
use crate::estimates::Estimates;
use crate::running::{Kind, Length, Run, Running};
use crate::slots::Slots;
use crate::waiting::{Waiter, Waiting};
use crate::{Action, Admission, Job, JobOutcome, Limits};

/// One slot, in thousandths.
const SLOT: u64 = 1_000;

/// The part of the slots that long jobs leave free at least, as a divisor.
const SHORT_RESERVE_DIVISOR: u32 = 3;

/// Slots that short jobs need beyond their mean demand, in percent of its square root: beside long
/// jobs of the interactive class, and beside those of the lower classes, which can wait.
const HEADROOM_PERCENT: u64 = 50;
const LOWER_HEADROOM_PERCENT: u64 = 150;

/// Jobs of new rules that run at a time, interactive ones apart.
const UNKNOWN_LIMIT: u32 = 1;

/// Predicted waits are taken this much longer than computed, in percent, because a job that is
/// started too late is wasted work.
const WAIT_MARGIN_PERCENT: u64 = 200;

/// The shortest and the longest time after which a refused caller is told to try again.
const RETRY_AFTER: (Millis, Millis) = (Millis(50), Millis(10_000));

/// Decides which request the backend server runs next, and which are refused.
///
/// The host process calls [`Queue::tick`] every [`Queue::TICK`] while jobs wait.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    slots: Slots,
    running: Running,
    waiting: Waiting,
    estimates: Estimates,
    demand: Demand,
    closed: Option<NotRunReason>,
    offered: u64,
}

/// Commands.
impl Queue {
    /// Makes an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slots: Slots::new(limits.slots),
            running: Running::default(),
            waiting: Waiting::new(),
            estimates: Estimates::new(),
            demand: Demand::default(),
            closed: None,
            offered: 0,
        }
    }

    /// Offers a job. After `Start` and after `Queued` followed by [`Action::Start`], the caller
    /// must report [`Queue::finish`] once.
    pub fn offer(&mut self, job: Job, now: Millis) -> Admission {
        self.offer_kind(job, Kind { rule: job.rule, key: None }, now)
    }

    /// Offers a job like [`Queue::offer`], with the hash of its rule and key, so that a key whose
    /// requests are slow is told apart from others under the same rule.
    pub fn offer_keyed(&mut self, job: Job, key: u64, now: Millis) -> Admission {
        self.offer_kind(job, Kind { rule: job.rule, key: Some(key) }, now)
    }

    fn offer_kind(&mut self, job: Job, kind: Kind, now: Millis) -> Admission {
        let length = self.length_of(job.priority, kind, now);
        let expected = self.estimates.expected(kind);
        if length == Length::Short {
            self.demand.offer(self.estimates.expected_short(job.rule), now);
        }
        if let Some(verdict) = self.refusal(&job, length, expected, now) {
            return verdict;
        }
        if self.starts_at_once(job.priority, length, now) {
            let Job { id, priority, .. } = job;
            self.running.add(Run { id, priority, kind, length, started_at: now });
            return Admission::Start;
        }
        self.offered += 1;
        let deadline = now + job.time_left;
        let waiter = Waiter { id: job.id, kind, deadline, expected, order: self.offered };
        self.waiting.insert(job.priority, length, waiter);
        Admission::Queued
    }

    /// Tells how a started job ended. A job that is not known is ignored.
    pub fn finish(&mut self, id: u64, outcome: JobOutcome, now: Millis) -> Vec<Action> {
        let Some(run) = self.running.remove(id) else { return Vec::new() };
        let span = now.since(run.started_at);
        if outcome == JobOutcome::Ran || span > self.estimates.bound() {
            // A job that was given up after a long time would have taken longer still.
            self.estimates.record(run.kind, span, now);
        }
        match outcome {
            JobOutcome::Ran => self.slots.ran(),
            JobOutcome::Refused => self.slots.refused(self.running.count(), now),
            JobOutcome::Failed => self.slots.failed(now),
            JobOutcome::Inconclusive => {}
        }
        self.start_waiting(now)
    }

    /// Lets time pass: refuses jobs that can no longer be answered in time and starts others.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.slots.raise(now);
        let in_time = |w: &Waiter| now + w.expected < w.deadline;
        let expired = self.waiting.retain(in_time);
        let retry_after = self.retry_after(Millis::ZERO, now);
        let mut actions: Vec<Action> =
            expired.into_iter().map(|id| refuse(id, NotRunReason::Deadline, retry_after)).collect();
        actions.extend(self.start_waiting(now));
        actions
    }

    /// Forgets a job whose caller went away, if it still waits. A job that runs keeps its slot
    /// until [`Queue::finish`], because only the backend server's answer shows that it ended.
    pub fn abandon(&mut self, id: u64, now: Millis) -> Vec<Action> {
        self.waiting.retain(|w| w.id != id);
        self.start_waiting(now)
    }

    /// Takes in the slots that the backend server announces.
    pub fn set_slots(&mut self, announced: u32) {
        self.slots.announce(announced);
    }

    /// Takes in all limits, for example those of a backend server that was not known before.
    pub fn set_limits(&mut self, limits: Limits) {
        self.set_slots(limits.slots);
        self.limits = limits;
    }

    /// Refuses all that waits, and all that is offered until [`Queue::open`], for this reason.
    pub fn close(&mut self, reason: NotRunReason, now: Millis) -> Vec<Action> {
        self.closed = Some(reason);
        let retry_after = self.retry_after(Millis::ZERO, now);
        let dropped = self.waiting.retain(|_| false);
        dropped.into_iter().map(|id| refuse(id, reason, retry_after)).collect()
    }

    /// Takes jobs again.
    pub fn open(&mut self) {
        self.closed = None;
    }

    fn start_waiting(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((priority, length)) = self.waiting.next(|p, l| self.may_start(p, l, now)) {
            let Some(waiter) = self.waiting.pop(priority, length) else { break };
            let actual = self.length_of(priority, waiter.kind, now);
            let expected = self.estimates.expected(waiter.kind);
            if actual != length {
                // The rule turned out otherwise while the job waited.
                self.waiting.insert(priority, actual, Waiter { expected, ..waiter });
                continue;
            }
            if now + expected >= waiter.deadline {
                let retry_after = self.retry_after(Millis::ZERO, now);
                actions.push(refuse(waiter.id, NotRunReason::Deadline, retry_after));
                continue;
            }
            let Waiter { id, kind, .. } = waiter;
            self.running.add(Run { id, priority, kind, length, started_at: now });
            actions.push(Action::Start(id));
        }
        actions
    }
}

/// Queries.
impl Queue {
    /// How often [`Queue::tick`] is to be called.
    pub const TICK: Millis = Millis(10);

    /// Returns how many jobs run.
    pub fn running(&self) -> usize {
        self.running.count() as usize
    }

    /// Returns how many jobs wait.
    pub fn waiting(&self) -> usize {
        self.waiting.count()
    }

    /// Returns the slots in use at most: as announced, less what refusals showed.
    pub fn usable_slots(&self) -> u32 {
        self.slots.usable().min(self.limits.connections)
    }

    fn length_of(&self, priority: Priority, kind: Kind, now: Millis) -> Length {
        if self.estimates.is_long(kind) || self.is_slow_now(kind, now) {
            Length::Long
        } else if priority == Priority::Interactive || self.estimates.is_known(kind.rule) {
            Length::Short
        } else {
            Length::Unknown
        }
    }

    fn is_slow_now(&self, kind: Kind, now: Millis) -> bool {
        let bound = self.estimates.slow_bound();
        kind.key.is_some_and(|key| self.running.is_slow(key, bound, now))
    }

    fn starts_at_once(&self, priority: Priority, length: Length, now: Millis) -> bool {
        !self.waiting.has_ahead(priority, length) && self.may_start(priority, length, now)
    }

    fn may_start(&self, priority: Priority, length: Length, now: Millis) -> bool {
        if self.slots.pause_left(now) > Millis::ZERO {
            return false;
        }
        let usable = self.usable_slots();
        let is_lower = priority > Priority::Interactive;
        let fits = self.running.count() < usable;
        let fits_class = !is_lower || self.running.lower() < self.lower_limit();
        fits && fits_class && self.fits_length(priority, length, now)
    }

    fn fits_length(&self, priority: Priority, length: Length, now: Millis) -> bool {
        match length {
            Length::Short => true,
            Length::Long => self.long_running(now) < self.long_limit(priority, now),
            Length::Unknown => self.running.unknown() < UNKNOWN_LIMIT,
        }
    }

    fn long_running(&self, now: Millis) -> u32 {
        self.running.long(self.estimates.bound(), now)
    }

    /// Slots that jobs below the interactive class may hold.
    fn lower_limit(&self) -> u32 {
        self.usable_slots().saturating_sub(self.limits.reserved_slots)
    }

    /// Slots that long jobs may hold: what short jobs leave. Interactive ones get one in any case.
    fn long_limit(&self, priority: Priority, now: Millis) -> u32 {
        let (least, headroom_percent) = match priority {
            Priority::Interactive => (1, HEADROOM_PERCENT),
            _ => (0, LOWER_HEADROOM_PERCENT),
        };
        let usable = self.usable_slots();
        let need = self.short_need(headroom_percent, now);
        let reserve = usable.div_ceil(SHORT_RESERVE_DIVISOR).max(need);
        usable.saturating_sub(reserve).max(least)
    }

    /// Slots that short jobs need at the rate at which they are offered.
    fn short_need(&self, headroom_percent: u64, now: Millis) -> u32 {
        let demand = self.demand.millislots(now);
        let headroom = (demand * SLOT).isqrt() * headroom_percent / 100;
        let slots = (demand + headroom).div_ceil(SLOT);
        u32::try_from(slots).unwrap_or(u32::MAX)
    }
}

/// Refusals.
impl Queue {
    fn refusal(
        &self,
        job: &Job,
        length: Length,
        expected: Millis,
        now: Millis,
    ) -> Option<Admission> {
        if let Some(reason) = self.closed {
            return Some(refused(reason, self.retry_after(Millis::ZERO, now)));
        }
        if job.time_left == Millis::ZERO {
            return Some(refused(NotRunReason::Deadline, RETRY_AFTER.0));
        }
        if self.starts_at_once(job.priority, length, now) {
            return None;
        }
        let wait = self.predicted_wait(job.priority, length, now);
        if self.waiting() >= self.places(job.priority) {
            return Some(refused(NotRunReason::Overloaded, self.retry_after(wait, now)));
        }
        let needed = wait + expected;
        if needed > job.time_left {
            let excess = needed - job.time_left;
            return Some(refused(NotRunReason::Deadline, self.retry_after(excess, now)));
        }
        None
    }

    /// Places in the queue up to which a class may fill it, so that the lowest is refused first.
    fn places(&self, priority: Priority) -> usize {
        let all = self.limits.max_waiting as usize;
        match priority {
            Priority::Interactive => all,
            Priority::Deferrable => all / 2,
            Priority::Internal => all / 4,
        }
    }

    fn predicted_wait(&self, priority: Priority, length: Length, now: Millis) -> Millis {
        let ahead = self.waiting.work_ahead(priority, length);
        let next = self.estimates.usual();
        let work = (ahead + next).0 * SLOT;
        let wait = work / self.capacity(priority, length, now);
        Millis(wait * WAIT_MARGIN_PERCENT / 100) + self.slots.pause_left(now)
    }

    /// Returns the thousandths of slots that serve jobs of this kind.
    fn capacity(&self, priority: Priority, length: Length, now: Millis) -> u64 {
        let usable = u64::from(self.usable_slots()) * SLOT;
        let others = match length {
            Length::Short => u64::from(self.long_running(now)) * SLOT,
            Length::Long => usable.saturating_sub(u64::from(self.long_limit(priority, now)) * SLOT),
            Length::Unknown => usable.saturating_sub(u64::from(UNKNOWN_LIMIT) * SLOT),
        };
        let urgent = match priority {
            Priority::Interactive => 0,
            _ => self.demand.millislots(now),
        };
        usable.saturating_sub(others).saturating_sub(urgent).max(SLOT / 4)
    }

    fn retry_after(&self, wait: Millis, now: Millis) -> Millis {
        let backlog = self.predicted_wait(Priority::Interactive, Length::Short, now);
        wait.max(backlog).clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }
}

fn refused(reason: NotRunReason, retry_after: Millis) -> Admission {
    Admission::Refused { reason, retry_after }
}

fn refuse(id: u64, reason: NotRunReason, retry_after: Millis) -> Action {
    Action::Refuse { id, reason, retry_after }
}
