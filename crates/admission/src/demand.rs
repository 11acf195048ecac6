//! How much work was offered lately, whether or not it was let in.

use model::Millis;

/// The span over which demand is averaged; a crest shows within about this time.
const WINDOW: Millis = Millis(1_000);

/// A sliding window over offered work.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    start: Millis,
    present: u64,
    previous: u64,
}

impl Demand {
    /// Counts work that is expected to take `span` of one slot.
    pub(crate) fn offer(&mut self, span: Millis, now: Millis) {
        self.roll(now);
        self.present += span.0;
    }

    /// Returns the slots that the offered work keeps busy, in thousandths.
    pub(crate) fn millislots(&self, now: Millis) -> u64 {
        let age = now.since(self.start).0;
        match age / WINDOW.0 {
            0 => self.present + self.previous * (WINDOW.0 - age) / WINDOW.0,
            1 => self.present * (2 * WINDOW.0 - age) / WINDOW.0,
            _ => 0,
        }
    }

    fn roll(&mut self, now: Millis) {
        let windows = now.since(self.start).0 / WINDOW.0;
        if windows == 0 {
            return;
        }
        self.previous = if windows == 1 { self.present } else { 0 };
        self.present = 0;
        self.start += Millis(windows * WINDOW.0);
    }
}
