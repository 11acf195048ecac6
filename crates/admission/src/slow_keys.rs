//! The keys whose requests took long lately, whatever their rule.
//!
//! A rule tells most long work from short work. Where it does not, one slow key is often asked
//! for again and again, and would take slot after slot.

use model::Millis;

/// Keys that are remembered; the one that was slow longest ago gives way.
const MAX_KEYS: usize = 256;

#[derive(Debug)]
struct SlowKey {
    key: u64,
    span: Millis,
    seen_at: Millis,
}

/// The slow keys.
#[derive(Debug, Default)]
pub(crate) struct SlowKeys {
    keys: Vec<SlowKey>, // Sorted by key.
}

impl SlowKeys {
    /// Takes in that a job of this key took long.
    pub(crate) fn add(&mut self, key: u64, span: Millis, now: Millis) {
        self.remove(key);
        if self.keys.len() >= MAX_KEYS {
            self.drop_oldest();
        }
        let at = self.keys.partition_point(|k| k.key < key);
        self.keys.insert(at, SlowKey { key, span, seen_at: now });
    }

    /// Takes in that a job of this key was short.
    pub(crate) fn remove(&mut self, key: u64) {
        if let Ok(at) = self.find(key) {
            self.keys.remove(at);
        }
    }

    /// Returns how long the last job of this key took, if it was long.
    pub(crate) fn span(&self, key: u64) -> Option<Millis> {
        self.find(key).ok().map(|at| self.keys[at].span)
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.keys.binary_search_by_key(&key, |k| k.key)
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.keys.len()).min_by_key(|&at| self.keys[at].seen_at);
        if let Some(oldest) = oldest {
            self.keys.remove(oldest);
        }
    }
}
