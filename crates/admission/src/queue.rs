//! The admission queue in front of one backend server.

use model::{Millis, NotRunReason, Priority};

use crate::estimates::DurationEstimates;
use crate::offered_load::OfferedLoad;
use crate::running::{JobKind, Length, Running, RunningJob};
use crate::slot_limit::SlotLimit;
use crate::waiting::{Waiter, Waiting};
use crate::{Action, Admission, Job, JobOutcome, Limits};

/// The number of millislots per slot. Loads and capacities are computed in millislots.
const SCALE: u64 = 1_000;

/// Long jobs leave at least this fraction of the slots free, given as a divisor.
const SHORT_RESERVE_DIVISOR: u32 = 3;

/// The slots kept for short jobs beyond their mean load, in percent of its square root (square-root
/// staffing). The first applies to long interactive jobs, the second to long jobs of the lower
/// priority classes, which can wait.
const INTERACTIVE_HEADROOM_PERCENT: u64 = 50;
const LOWER_HEADROOM_PERCENT: u64 = 150;

/// The maximum number of running jobs of unknown length; interactive jobs are never of unknown
/// length.
const MAX_UNKNOWN_RUNNING: u32 = 1;

/// Predicted waits are multiplied by this percentage, because a job that starts too late is
/// wasted work.
const WAIT_SCALE_PERCENT: u64 = 200;

/// The shortest and the longest delay after which a refused caller is told to retry.
const RETRY_AFTER_RANGE: (Millis, Millis) = (Millis(50), Millis(10_000));

/// Decides which request the backend server runs next, and which requests are refused.
///
/// The host process must call [`Queue::tick`] every [`Queue::TICK`] while jobs wait.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    slot_limit: SlotLimit,
    running: Running,
    waiting: Waiting,
    estimates: DurationEstimates,
    short_job_load: OfferedLoad,
    close_reason: Option<NotRunReason>,
    last_sequence: u64,
}

/// Commands.
impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slot_limit: SlotLimit::new(limits.slots),
            running: Running::default(),
            waiting: Waiting::new(),
            estimates: DurationEstimates::new(),
            short_job_load: OfferedLoad::default(),
            close_reason: None,
            last_sequence: 0,
        }
    }

    /// Submits a job. Once it starts, at once with [`Admission::Start`] or later with
    /// [`Action::Start`], [`Queue::finish`] must be called for it exactly once.
    pub fn submit(&mut self, job: Job, now: Millis) -> Admission {
        self.offer_job(job, JobKind { rule: job.rule, key: None }, now)
    }

    /// Submits a job like [`Queue::submit`], with the hash of its rule and key, so that a key whose
    /// requests are slow is distinguished from other keys under the same rule.
    pub fn submit_keyed(&mut self, job: Job, key: u64, now: Millis) -> Admission {
        self.offer_job(job, JobKind { rule: job.rule, key: Some(key) }, now)
    }

    fn offer_job(&mut self, job: Job, kind: JobKind, now: Millis) -> Admission {
        let length = self.length_of(job.priority, kind, now);
        let expected = self.estimates.expected(kind);
        if length == Length::Short {
            self.short_job_load.record(self.estimates.expected_short(job.rule), now);
        }
        if let Some(refusal) = self.refusal(&job, length, expected, now) {
            return refusal;
        }
        if self.can_start_at_once(job.priority, length, now) {
            let Job { id, priority, .. } = job;
            self.running.add(RunningJob { id, priority, kind, length, started_at: now });
            return Admission::Start;
        }
        self.last_sequence += 1;
        let deadline = now + job.time_left;
        let waiter = Waiter { id: job.id, kind, deadline, expected, sequence: self.last_sequence };
        self.waiting.insert(job.priority, length, waiter);
        Admission::Queued
    }

    /// Records how a started job ended and returns what to do next. An unknown id is ignored.
    pub fn finish(&mut self, id: u64, outcome: JobOutcome, now: Millis) -> Vec<Action> {
        let Some(job) = self.running.remove(id) else { return Vec::new() };
        let duration = now.since(job.started_at);
        if outcome == JobOutcome::Ran || duration > self.estimates.long_threshold() {
            // A job that was given up after a long time would have taken even longer, so it is
            // recorded as well.
            self.estimates.record(job.kind, duration, now);
        }
        match outcome {
            JobOutcome::Ran => self.slot_limit.record_ran(),
            JobOutcome::Refused => self.slot_limit.record_refusal(self.running.count(), now),
            JobOutcome::Failed => self.slot_limit.record_failure(now),
            JobOutcome::Inconclusive => {}
        }
        self.start_waiting(now)
    }

    /// Raises the slot limit if that is due, refuses waiting jobs that can no longer finish before
    /// their deadline, and starts others.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.slot_limit.raise_if_due(now);
        let can_finish_in_time = |w: &Waiter| now + w.expected < w.deadline;
        let expired = self.waiting.retain(can_finish_in_time);
        let retry_after = self.retry_after(Millis::ZERO, now);
        let mut actions: Vec<Action> = expired
            .into_iter()
            .map(|id| refuse_action(id, NotRunReason::Deadline, retry_after))
            .collect();
        actions.extend(self.start_waiting(now));
        actions
    }

    /// Removes a job whose caller disconnected, if it still waits. A running job keeps its slot
    /// until [`Queue::finish`], because only the backend server's response shows that it ended.
    pub fn cancel(&mut self, id: u64, now: Millis) -> Vec<Action> {
        self.waiting.retain(|w| w.id != id);
        self.start_waiting(now)
    }

    /// Sets the number of slots that the backend server announces.
    pub fn set_slots(&mut self, announced: u32) {
        self.slot_limit.set_announced(announced);
    }

    /// Replaces all limits, for example when the backend server becomes known.
    pub fn set_limits(&mut self, limits: Limits) {
        self.set_slots(limits.slots);
        self.limits = limits;
    }

    /// Refuses all waiting jobs, and all jobs submitted until [`Queue::open`], for this reason.
    pub fn close(&mut self, reason: NotRunReason, now: Millis) -> Vec<Action> {
        self.close_reason = Some(reason);
        let retry_after = self.retry_after(Millis::ZERO, now);
        let dropped = self.waiting.retain(|_| false);
        dropped.into_iter().map(|id| refuse_action(id, reason, retry_after)).collect()
    }

    /// Accepts jobs again after [`Queue::close`].
    pub fn open(&mut self) {
        self.close_reason = None;
    }

    fn start_waiting(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((priority, length)) = self.waiting.next(|p, l| self.may_start(p, l, now)) {
            let Some(waiter) = self.waiting.pop(priority, length) else { break };
            let current_length = self.length_of(priority, waiter.kind, now);
            let expected = self.estimates.expected(waiter.kind);
            if current_length != length {
                // The estimate of the job's length changed while it waited.
                self.waiting.insert(priority, current_length, Waiter { expected, ..waiter });
                continue;
            }
            if now + expected >= waiter.deadline {
                let retry_after = self.retry_after(Millis::ZERO, now);
                actions.push(refuse_action(waiter.id, NotRunReason::Deadline, retry_after));
                continue;
            }
            let Waiter { id, kind, .. } = waiter;
            self.running.add(RunningJob { id, priority, kind, length, started_at: now });
            actions.push(Action::Start(id));
        }
        actions
    }
}

/// Queries.
impl Queue {
    /// The interval at which [`Queue::tick`] must be called.
    pub const TICK: Millis = Millis(10);

    /// Returns how many jobs run.
    pub fn running(&self) -> usize {
        self.running.count() as usize
    }

    /// Returns how many jobs wait.
    pub fn waiting(&self) -> usize {
        self.waiting.count()
    }

    /// Returns how many jobs may run at a time: the announced slots, lowered after refusals, and no
    /// more than the connections.
    pub fn usable_slots(&self) -> u32 {
        self.slot_limit.limit().min(self.limits.connections)
    }

    fn length_of(&self, priority: Priority, kind: JobKind, now: Millis) -> Length {
        if self.estimates.is_long(kind) || self.key_has_slow_job(kind, now) {
            Length::Long
        } else if priority == Priority::Interactive || self.estimates.has_enough_samples(kind.rule)
        {
            Length::Short
        } else {
            Length::Unknown
        }
    }

    fn key_has_slow_job(&self, kind: JobKind, now: Millis) -> bool {
        let threshold = self.estimates.slow_threshold();
        kind.key.is_some_and(|key| self.running.has_slow_job(key, threshold, now))
    }

    fn can_start_at_once(&self, priority: Priority, length: Length, now: Millis) -> bool {
        !self.waiting.has_ahead(priority, length) && self.may_start(priority, length, now)
    }

    fn may_start(&self, priority: Priority, length: Length, now: Millis) -> bool {
        if self.slot_limit.backoff_left(now) > Millis::ZERO {
            return false;
        }
        let usable = self.usable_slots();
        let is_below_interactive = priority > Priority::Interactive;
        let has_slot = self.running.count() < usable;
        let priority_allows = !is_below_interactive
            || self.running.below_interactive() < self.below_interactive_limit();
        has_slot && priority_allows && self.length_allows(priority, length, now)
    }

    fn length_allows(&self, priority: Priority, length: Length, now: Millis) -> bool {
        match length {
            Length::Short => true,
            Length::Long => self.long_running(now) < self.long_limit(priority, now),
            Length::Unknown => self.running.unknown() < MAX_UNKNOWN_RUNNING,
        }
    }

    fn long_running(&self, now: Millis) -> u32 {
        self.running.long(self.estimates.long_threshold(), now)
    }

    /// Returns how many slots jobs below interactive priority may occupy.
    fn below_interactive_limit(&self) -> u32 {
        self.usable_slots().saturating_sub(self.limits.reserved_slots)
    }

    /// Returns how many slots long jobs may occupy: what short jobs leave. Long interactive jobs
    /// get at least one.
    fn long_limit(&self, priority: Priority, now: Millis) -> u32 {
        let (minimum, headroom_percent) = match priority {
            Priority::Interactive => (1, INTERACTIVE_HEADROOM_PERCENT),
            _ => (0, LOWER_HEADROOM_PERCENT),
        };
        let usable = self.usable_slots();
        let needed_slots = self.slots_for_short_jobs(headroom_percent, now);
        let reserve = usable.div_ceil(SHORT_RESERVE_DIVISOR).max(needed_slots);
        usable.saturating_sub(reserve).max(minimum)
    }

    /// Returns how many slots short jobs need at the rate at which they are offered.
    fn slots_for_short_jobs(&self, headroom_percent: u64, now: Millis) -> u32 {
        let short_job_load = self.short_job_load.millislots(now);
        let headroom = (short_job_load * SCALE).isqrt() * headroom_percent / 100;
        let slots = (short_job_load + headroom).div_ceil(SCALE);
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
        if let Some(reason) = self.close_reason {
            return Some(refused_admission(reason, self.retry_after(Millis::ZERO, now)));
        }
        if job.time_left == Millis::ZERO {
            return Some(refused_admission(NotRunReason::Deadline, RETRY_AFTER_RANGE.0));
        }
        if self.can_start_at_once(job.priority, length, now) {
            return None;
        }
        let wait = self.predicted_wait(job.priority, length, now);
        if self.waiting() >= self.max_waiting_for(job.priority) {
            return Some(refused_admission(NotRunReason::Overloaded, self.retry_after(wait, now)));
        }
        let needed = wait + expected;
        if needed > job.time_left {
            let excess = needed - job.time_left;
            return Some(refused_admission(NotRunReason::Deadline, self.retry_after(excess, now)));
        }
        None
    }

    /// Returns how many jobs may wait before a job of this priority is refused; the lower the
    /// priority, the earlier.
    fn max_waiting_for(&self, priority: Priority) -> usize {
        let max_waiting = self.limits.max_waiting as usize;
        match priority {
            Priority::Interactive => max_waiting,
            Priority::Deferrable => max_waiting / 2,
            Priority::Internal => max_waiting / 4,
        }
    }

    fn predicted_wait(&self, priority: Priority, length: Length, now: Millis) -> Millis {
        let ahead = self.waiting.work_ahead(priority, length);
        let next = self.estimates.overall_mean();
        let work = (ahead + next).0 * SCALE;
        let wait = work / self.capacity(priority, length, now);
        Millis(wait * WAIT_SCALE_PERCENT / 100) + self.slot_limit.backoff_left(now)
    }

    /// Returns how many millislots serve jobs of this priority and length.
    fn capacity(&self, priority: Priority, length: Length, now: Millis) -> u64 {
        let usable = u64::from(self.usable_slots()) * SCALE;
        let unavailable = match length {
            Length::Short => u64::from(self.long_running(now)) * SCALE,
            Length::Long => {
                usable.saturating_sub(u64::from(self.long_limit(priority, now)) * SCALE)
            }
            Length::Unknown => usable.saturating_sub(u64::from(MAX_UNKNOWN_RUNNING) * SCALE),
        };
        let short_job_load = match priority {
            Priority::Interactive => 0,
            _ => self.short_job_load.millislots(now),
        };
        usable.saturating_sub(unavailable).saturating_sub(short_job_load).max(SCALE / 4)
    }

    fn retry_after(&self, wait: Millis, now: Millis) -> Millis {
        let backlog = self.predicted_wait(Priority::Interactive, Length::Short, now);
        wait.max(backlog).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}

fn refused_admission(reason: NotRunReason, retry_after: Millis) -> Admission {
    Admission::Refused { reason, retry_after }
}

fn refuse_action(id: u64, reason: NotRunReason, retry_after: Millis) -> Action {
    Action::Refuse { id, reason, retry_after }
}
