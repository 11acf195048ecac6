//! How many slots the backend server really has: as announced, less what its refusals show.

use model::Millis;

/// A slot that was taken away after a refusal is tried again after this time without another.
const RAISE_AFTER: Millis = Millis(1_000);

/// The first pause after a refusal; it doubles while refusals go on.
const FIRST_PAUSE: Millis = Millis(10);

/// The longest pause.
const LONGEST_PAUSE: Millis = Millis(1_000);

/// Failures in a row that are taken for bad luck; the next one is treated like a refusal.
const FAILURES_ALLOWED: u32 = 3;

/// The slots of one backend server.
#[derive(Debug)]
pub(crate) struct Slots {
    announced: u32,
    observed: u32,
    changed_at: Millis,
    pause: Millis,
    paused_until: Millis,
    failures: u32,
}

/// Commands.
impl Slots {
    pub(crate) fn new(announced: u32) -> Self {
        Self {
            announced,
            observed: announced,
            changed_at: Millis::ZERO,
            pause: FIRST_PAUSE,
            paused_until: Millis::ZERO,
            failures: 0,
        }
    }

    /// Takes in what the backend server announces. Slots above those seen before are believed
    /// only if no refusal has lowered the count.
    pub(crate) fn announce(&mut self, announced: u32) {
        if self.observed == self.announced {
            self.observed = announced;
        }
        self.announced = announced;
        self.observed = self.observed.min(announced);
    }

    /// A job ran.
    pub(crate) fn ran(&mut self) {
        self.pause = FIRST_PAUSE;
        self.failures = 0;
    }

    /// A job was refused while `others` jobs were running.
    pub(crate) fn refused(&mut self, others: u32, now: Millis) {
        self.observed = self.observed.min(others.max(1));
        self.changed_at = now;
        self.wait(now);
    }

    /// A job failed.
    pub(crate) fn failed(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures > FAILURES_ALLOWED {
            self.wait(now);
        }
    }

    /// Gives one slot back if the backend server refused nothing for some time.
    pub(crate) fn raise(&mut self, now: Millis) {
        let is_due = now.since(self.changed_at) >= RAISE_AFTER;
        if is_due && self.observed < self.announced {
            self.observed += 1;
            self.changed_at = now;
        }
    }

    fn wait(&mut self, now: Millis) {
        if now < self.paused_until {
            return; // The refusals of jobs that ran side by side count once.
        }
        self.paused_until = now + self.pause;
        self.pause = LONGEST_PAUSE.min(self.pause + self.pause);
    }
}

/// Queries.
impl Slots {
    /// Returns the slots that count at the moment, pauses apart.
    pub(crate) fn usable(&self) -> u32 {
        self.observed
    }

    /// Returns how long no job may be started.
    pub(crate) fn pause_left(&self, now: Millis) -> Millis {
        self.paused_until.since(now)
    }
}
