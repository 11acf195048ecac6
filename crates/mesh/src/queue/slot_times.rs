//! When the slots of a backend server are expected to be free.

use model::Millis;

/// When each slot is expected to be free, in milliseconds from now; never empty.
pub(super) struct SlotTimes {
    free_in: Vec<f64>,
}

impl SlotTimes {
    /// Creates the times of `slots` slots, of which running jobs take some for `remaining` each.
    pub(super) fn new(remaining: Vec<f64>, slots: usize) -> Self {
        let mut free_in = remaining;
        // After the number of slots was reduced, the jobs that end first free none.
        free_in.sort_by(|a, b| b.total_cmp(a));
        free_in.resize(slots.max(1), 0.0);
        Self { free_in }
    }

    pub(super) fn earliest(&self) -> Millis {
        Millis(self.free_in.iter().copied().fold(f64::INFINITY, f64::min).max(0.0) as u64)
    }

    /// Returns the sum over all slots.
    pub(super) fn total_ms(&self) -> f64 {
        self.free_in.iter().sum()
    }

    /// Lets a job take the slot that is free first.
    pub(super) fn occupy(&mut self, run_ms: f64) {
        let first = self.free_in.iter_mut().min_by(|a, b| a.total_cmp(b));
        if let Some(free_in) = first {
            *free_in += run_ms;
        }
    }
}
