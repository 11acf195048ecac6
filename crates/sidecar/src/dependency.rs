//! Whether the store answers one kind of question.

use adapter::StoreError;
use log::{info, warn};
use model::Millis;

/// A question for changes waits this long. A connection that went silent shows a second after it,
/// and hosts that hear of changes from this one have to know soon that it is cut off.
const WAIT: Millis = Millis(1_000);

/// After a lost history, rows are read again until this much later: answers may come from some
/// seconds ago and would hide what the lost history told.
const DOUBT: Millis = Millis(10_000);

/// Tells once that a dependency is lost and once that it is back.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost: bool,
    doubt_until: Millis,
}

impl Dependency {
    /// Makes a dependency that works.
    pub fn new(name: &'static str) -> Self {
        Self { name, lost: false, doubt_until: Millis::ZERO }
    }

    /// Tells how long a question may wait for news. While the store fails, short ones show soonest
    /// that it is back.
    pub fn wait(&self) -> Millis {
        if self.lost { Millis::ZERO } else { WAIT }
    }

    /// Tells whether answers may come from the past.
    pub fn doubts(&self, now: Millis) -> bool {
        now < self.doubt_until
    }

    /// Takes in an error. Returns true if only the history is gone, so that rows have to be read.
    pub fn lost_history(&mut self, error: &StoreError, now: Millis) -> bool {
        if matches!(error, StoreError::HistoryGone) {
            info!("event=history-gone name={}", self.name);
            self.doubt_until = now + DOUBT;
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
    pub fn answered(&mut self) {
        if self.lost {
            info!("event=dependency-regained name={}", self.name);
        }
        self.lost = false;
    }
}
