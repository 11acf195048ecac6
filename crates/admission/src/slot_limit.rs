//! The adaptive concurrency limit of one backend server.
//!
//! It starts at the announced number of slots, falls when the backend server refuses jobs, and
//! rises again one slot at a time.

use model::Millis;

/// After a refusal the limit rises by one slot per interval without another refusal.
const RAISE_INTERVAL: Millis = Millis(1_000);

/// The first backoff after a refusal; it doubles while refusals continue.
const MIN_BACKOFF: Millis = Millis(10);

/// The longest backoff.
const MAX_BACKOFF: Millis = Millis(1_000);

/// Consecutive failures that are tolerated as isolated faults; each one beyond them starts a
/// backoff as a refusal does.
const TOLERATED_FAILURES: u32 = 3;

/// The number of jobs that one backend server may run at a time.
#[derive(Debug)]
pub(crate) struct SlotLimit {
    announced: u32,
    limit: u32,
    limit_changed_at: Millis,
    backoff: Millis,
    backoff_until: Millis,
    consecutive_failures: u32,
}

/// Commands.
impl SlotLimit {
    pub(crate) fn new(announced: u32) -> Self {
        Self {
            announced,
            limit: announced,
            limit_changed_at: Millis::ZERO,
            backoff: MIN_BACKOFF,
            backoff_until: Millis::ZERO,
            consecutive_failures: 0,
        }
    }

    /// Sets the announced number of slots. The limit rises with it only if no refusal has lowered
    /// the limit.
    pub(crate) fn set_announced(&mut self, announced: u32) {
        if self.limit == self.announced {
            self.limit = announced;
        }
        self.announced = announced;
        self.limit = self.limit.min(announced);
    }

    /// Records that a job ran, which ends the backoff growth and the run of failures.
    pub(crate) fn record_ran(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.consecutive_failures = 0;
    }

    /// Records that a job was refused while `others` other jobs were running.
    pub(crate) fn record_refusal(&mut self, others: u32, now: Millis) {
        self.limit = self.limit.min(others.max(1));
        self.limit_changed_at = now;
        self.start_backoff(now);
    }

    /// Records that a job failed.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.consecutive_failures += 1;
        if self.consecutive_failures > TOLERATED_FAILURES {
            self.start_backoff(now);
        }
    }

    /// Raises the limit by one slot if there was no refusal and no raise for [`RAISE_INTERVAL`].
    pub(crate) fn raise_if_due(&mut self, now: Millis) {
        let is_due = now.since(self.limit_changed_at) >= RAISE_INTERVAL;
        if is_due && self.limit < self.announced {
            self.limit += 1;
            self.limit_changed_at = now;
        }
    }

    fn start_backoff(&mut self, now: Millis) {
        if now < self.backoff_until {
            return; // Refusals of jobs that ran concurrently start one backoff, not several.
        }
        self.backoff_until = now + self.backoff;
        self.backoff = MAX_BACKOFF.min(self.backoff + self.backoff);
    }
}

/// Queries.
impl SlotLimit {
    /// Returns the current limit, regardless of any backoff.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how long no job may start yet.
    pub(crate) fn backoff_left(&self, now: Millis) -> Millis {
        self.backoff_until.since(now)
    }
}
