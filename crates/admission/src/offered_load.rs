//! Tracks the load offered in the last second, including jobs that were refused.

use model::Millis;

/// The load is averaged over this window, so a peak becomes visible within about this time.
const WINDOW: Millis = Millis(1_000);

/// The offered load, as a sliding window approximated by two adjacent buckets.
#[derive(Debug, Default)]
pub(crate) struct OfferedLoad {
    start: Millis,
    current: u64,
    previous: u64,
}

impl OfferedLoad {
    /// Records a job that is expected to occupy one slot for `duration`.
    pub(crate) fn record(&mut self, duration: Millis, now: Millis) {
        self.advance(now);
        self.current += duration.0;
    }

    /// Returns the mean number of slots that the offered load would occupy, in thousandths.
    pub(crate) fn millislots(&self, now: Millis) -> u64 {
        let age = now.since(self.start).0;
        match age / WINDOW.0 {
            0 => self.current + self.previous * (WINDOW.0 - age) / WINDOW.0,
            1 => self.current * (2 * WINDOW.0 - age) / WINDOW.0,
            _ => 0,
        }
    }

    fn advance(&mut self, now: Millis) {
        let windows = now.since(self.start).0 / WINDOW.0;
        if windows == 0 {
            return;
        }
        self.previous = if windows == 1 { self.current } else { 0 };
        self.current = 0;
        self.start += Millis(windows * WINDOW.0);
    }
}
