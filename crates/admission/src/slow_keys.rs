//! The keys whose requests recently took long, regardless of their rule.
//!
//! The rule separates most long jobs from short ones. Where it does not, a single slow key is often
//! requested repeatedly and would occupy one slot after another.

use model::Millis;

/// The maximum number of keys; the one that was recorded longest ago is evicted.
const MAX_KEYS: usize = 256;

#[derive(Debug)]
struct SlowKey {
    key: u64,
    duration: Millis,
    recorded_at: Millis,
}

/// The slow keys, each with the duration of its last job.
#[derive(Debug, Default)]
pub(crate) struct SlowKeys {
    keys: Vec<SlowKey>, // Sorted by key.
}

impl SlowKeys {
    /// Records that a job of this key took long.
    pub(crate) fn add(&mut self, key: u64, duration: Millis, now: Millis) {
        self.remove(key);
        if self.keys.len() >= MAX_KEYS {
            self.evict_oldest();
        }
        let at = self.keys.partition_point(|k| k.key < key);
        self.keys.insert(at, SlowKey { key, duration, recorded_at: now });
    }

    /// Removes the key after a short job.
    pub(crate) fn remove(&mut self, key: u64) {
        if let Ok(at) = self.find(key) {
            self.keys.remove(at);
        }
    }

    /// Returns how long the last job of this key took, if it was long.
    pub(crate) fn duration(&self, key: u64) -> Option<Millis> {
        self.find(key).ok().map(|at| self.keys[at].duration)
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.keys.binary_search_by_key(&key, |k| k.key)
    }

    fn evict_oldest(&mut self) {
        let oldest = (0..self.keys.len()).min_by_key(|&at| self.keys[at].recorded_at);
        if let Some(oldest) = oldest {
            self.keys.remove(oldest);
        }
    }
}
