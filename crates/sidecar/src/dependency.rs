//! Whether the store answers one kind of question.

use adapter::StoreError;
use log::{info, warn};
use model::Millis;

/// A question for changes waits this long. A connection that went silent shows a second after it,
/// and hosts that hear of changes from this one have to know soon that it is cut off.
const LONG_POLL_WAIT: Millis = Millis(1_000);

/// After a lost history, rows are read again until this much later: answers may come from some
/// seconds ago and would hide what the lost history told.
const STALE_READ_WINDOW: Millis = Millis(10_000);

/// Tells once that a dependency is lost and once that it is back.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost: bool,
    stale_until: Millis,
}

impl Dependency {
    /// Makes a dependency that works.
    pub fn new(name: &'static str) -> Self {
        Self { name, lost: false, stale_until: Millis::ZERO }
    }

    /// Tells how long a question may wait for news. While the store fails, short ones show soonest
    /// that it is back.
    pub fn long_poll_wait(&self) -> Millis {
        if self.lost { Millis::ZERO } else { LONG_POLL_WAIT }
    }

    /// Tells whether answers may come from the past.
    pub fn may_be_stale(&self, now: Millis) -> bool {
        now < self.stale_until
    }

    /// Takes in an error. Returns true if only the history is gone, so that rows have to be read.
    pub fn lost_history(&mut self, error: &StoreError, now: Millis) -> bool {
        if matches!(error, StoreError::HistoryGone) {
            info!("event=history-gone name={}", self.name);
            self.stale_until = now + STALE_READ_WINDOW;
            return true;
        }
        self.failed(error);
        false
    }

    /// Takes in an error.
    pub fn failed(&mut self, error: &StoreError) {
        if !self.lost {
            warn!("event=dependency-lost name={} error={:?}", self.name, error.to_string());
        }
        self.lost = true;
    }

    /// Takes in an answer.
    pub fn succeeded(&mut self) {
        if self.lost {
            info!("event=dependency-regained name={}", self.name);
        }
        self.lost = false;
    }
}
