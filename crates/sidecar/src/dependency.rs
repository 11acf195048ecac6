//! Tracks whether one kind of call to the store succeeds.

use adapter::StoreError;
use log::{info, warn};
use model::Millis;

/// How long a long poll waits for changes. A dead connection is detected a second after that, and
/// hosts that receive changes from this one must learn quickly that it is disconnected.
const LONG_POLL_WAIT: Millis = Millis(1_000);

/// After the change history was truncated, rows are read again until this much later: the store may
/// return data that is some seconds old and lacks changes from the truncated part.
const STALE_READ_WINDOW: Millis = Millis(10_000);

/// Logs a failure of a dependency once, and once that it recovered.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    failing: bool,
    stale_until: Millis,
}

impl Dependency {
    /// Creates a dependency that is assumed to work.
    pub fn new(name: &'static str) -> Self {
        Self { name, failing: false, stale_until: Millis::ZERO }
    }

    /// Returns how long a long poll may wait for changes. While the store fails, polls don't wait,
    /// so that its recovery is noticed soonest.
    pub fn long_poll_wait(&self) -> Millis {
        if self.failing { Millis::ZERO } else { LONG_POLL_WAIT }
    }

    /// Returns true while reads may return stale data.
    pub fn may_be_stale(&self, now: Millis) -> bool {
        now < self.stale_until
    }

    /// Records an error. Returns true if only the change history is gone, so that the rows have to
    /// be read in full.
    pub fn lost_history(&mut self, error: &StoreError, now: Millis) -> bool {
        if matches!(error, StoreError::HistoryGone) {
            info!("event=history-gone name={}", self.name);
            self.stale_until = now + STALE_READ_WINDOW;
            return true;
        }
        self.failed(error);
        false
    }

    /// Records an error.
    pub fn failed(&mut self, error: &StoreError) {
        if !self.failing {
            warn!("event=dependency-failed name={} error={:?}", self.name, error.to_string());
        }
        self.failing = true;
    }

    /// Records a successful call.
    pub fn succeeded(&mut self) {
        if self.failing {
            info!("event=dependency-recovered name={}", self.name);
        }
        self.failing = false;
    }
}
