//! How often the keys of one owner are asked for.
//!
//! Answers hot keys: the counts tell which keys an overloaded owner has to give away.

use model::Millis;

/// Keys that are counted together, and the fewest that move together. Single keys were tried: no
/// more requests were served, as the busiest keys are too busy for any one server.
pub(crate) const BUCKET_KEYS: u16 = 32;

/// Counts fade by a factor of e in this span, in milliseconds: busy keys change within seconds.
const FADE_MS: f64 = 1_500.0;

/// Fading counts of requests by key.
#[derive(Clone, Debug)]
pub struct KeyRequestCounts {
    counts: Vec<f32>,
    at: Millis,
}

impl Default for KeyRequestCounts {
    fn default() -> Self {
        let buckets = usize::from(u16::MAX / BUCKET_KEYS) + 1;
        Self { counts: vec![0.0; buckets], at: Millis::ZERO }
    }
}

impl KeyRequestCounts {
    /// Counts a request.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key / BUCKET_KEYS)] += 1.0;
    }

    /// Lets the counts fade.
    pub fn decay(&mut self, now: Millis) {
        let left = (-(now.since(self.at).0 as f64) / FADE_MS).exp() as f32;
        self.counts.iter_mut().for_each(|c| *c *= left);
        self.at = now;
    }

    /// Returns the count of all keys.
    pub fn total(&self) -> f64 {
        self.counts.iter().map(|c| f64::from(*c)).sum()
    }

    /// Returns the requests a second over all keys.
    pub fn rate_per_second(&self) -> f64 {
        self.total() / (FADE_MS / 1_000.0)
    }

    /// Returns the count of a range of keys. A bucket that lies in it partly counts in part.
    pub fn in_range(&self, from: u16, to: u16) -> f64 {
        let (first, last) = (from / BUCKET_KEYS, to / BUCKET_KEYS);
        let inside = |b: u16| {
            let start = from.max(b * BUCKET_KEYS);
            let end = to.min(b * BUCKET_KEYS + (BUCKET_KEYS - 1));
            f64::from(end - start + 1) / f64::from(BUCKET_KEYS)
        };
        (first..=last).map(|b| f64::from(self.counts[usize::from(b)]) * inside(b)).sum()
    }
}
