//! Request counts by key, with exponential decay.
//!
//! They identify the hot keys that an overloaded owner should move to other hosts.

use model::Millis;

/// The number of keys that share a counter, which is also the smallest range that is moved.
/// Counting single keys didn't increase the number of served requests, because the busiest keys
/// alone exceed the capacity of one backend server.
pub(crate) const BUCKET_KEYS: u16 = 32;

/// The time constant of the decay, in milliseconds: counts fall by a factor of e in this time. It
/// is short because the set of hot keys changes within seconds.
const DECAY_MS: f64 = 1_500.0;

/// Exponentially decaying counts of requests by key.
#[derive(Clone, Debug)]
pub struct KeyRequestCounts {
    counts: Vec<f32>,
    decayed_at: Millis,
}

impl Default for KeyRequestCounts {
    fn default() -> Self {
        let buckets = usize::from(u16::MAX / BUCKET_KEYS) + 1;
        Self { counts: vec![0.0; buckets], decayed_at: Millis::ZERO }
    }
}

impl KeyRequestCounts {
    /// Counts a request for `key`.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key / BUCKET_KEYS)] += 1.0;
    }

    /// Applies the decay since the last call.
    pub fn decay(&mut self, now: Millis) {
        let factor = (-(now.since(self.decayed_at).0 as f64) / DECAY_MS).exp() as f32;
        self.counts.iter_mut().for_each(|c| *c *= factor);
        self.decayed_at = now;
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f64 {
        self.counts.iter().map(|c| f64::from(*c)).sum()
    }

    /// Returns the request rate over all keys, per second.
    pub fn rate_per_second(&self) -> f64 {
        self.total() / (DECAY_MS / 1_000.0)
    }

    /// Returns the count of a range of keys, including both ends. A bucket that is only partly in
    /// the range counts in proportion.
    pub fn in_range(&self, from: u16, to: u16) -> f64 {
        let (first, last) = (from / BUCKET_KEYS, to / BUCKET_KEYS);
        let overlap = |b: u16| {
            let start = from.max(b * BUCKET_KEYS);
            let end = to.min(b * BUCKET_KEYS + (BUCKET_KEYS - 1));
            f64::from(end - start + 1) / f64::from(BUCKET_KEYS)
        };
        (first..=last).map(|b| f64::from(self.counts[usize::from(b)]) * overlap(b)).sum()
    }
}
