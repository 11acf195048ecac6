//! How fast a connection takes requests that nobody serves.
//!
//! A caller that goes on sending while its requests are refused would keep the process busy with
//! refusals, at the cost of the requests that are served. Refusals in a row are followed by pauses in
//! which the connection reads nothing, and by one request at a time.

use model::Millis;
use tokio::time::Instant;

/// The refusals in a row that are followed by no pause: callers that share a connection may all be
/// refused during a burst.
const FREE_REFUSALS: u32 = 16;

/// The first and the longest pause. Each is twice as long as the one before.
const PAUSE: (Millis, Millis) = (Millis(50), Millis(2_000));

/// A caller that has sent nothing for this long does not go on.
const MEMORY: Millis = Millis(3_000);

/// The refusals in a row on one connection.
#[derive(Debug, Default)]
pub(super) struct Pace {
    refusals: u32,
    refused_at: Option<Instant>,
    paused: bool,
}

/// Queries.
impl Pace {
    /// Returns whether nothing is read.
    pub(super) fn is_paused(&self) -> bool {
        self.paused
    }

    /// Returns the number of refusals in a row.
    pub(super) fn refusals(&self) -> u32 {
        self.refusals
    }

    /// Returns whether one request is taken at a time.
    pub(super) fn is_slow(&self) -> bool {
        self.refusals >= FREE_REFUSALS
    }

    /// Returns how long nothing is read.
    pub(super) fn pause(&self) -> Millis {
        let doublings = self.refusals.saturating_sub(FREE_REFUSALS).min(16);
        Millis(PAUSE.0.0 << doublings).min(PAUSE.1)
    }
}

/// Commands.
impl Pace {
    /// Records the head of a request.
    pub(super) fn head_arrived(&mut self, now: Instant) {
        if self.refused_at.is_some_and(|at| now.duration_since(at) > MEMORY.into()) {
            *self = Self::default();
        }
    }

    /// Records a response.
    pub(super) fn answered(&mut self, unserved: bool, now: Instant) {
        if !unserved {
            *self = Self::default();
            return;
        }
        self.refusals = self.refusals.saturating_add(1);
        self.refused_at = Some(now);
        self.paused = self.is_slow();
    }

    /// Ends the pause.
    pub(super) fn resume(&mut self) {
        self.paused = false;
    }
}
