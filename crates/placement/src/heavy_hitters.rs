//! The busiest keys of one owner, counted in bounded memory.

/// One key of the sketch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeavyHitter<K> {
    /// The key.
    pub key: K,
    /// Its count, which is never too low.
    pub count: u64,
    /// How much of the count may belong to keys that were dropped.
    pub error: u64,
}

impl<K> HeavyHitter<K> {
    /// Returns the least count that the key certainly had.
    pub fn guaranteed_count(&self) -> u64 {
        self.count - self.error
    }
}

/// A space-saving sketch of the busiest keys.
///
/// A key whose share of all counts is above `1 / capacity` is always in it. Memory is bounded by
/// the capacity; a hit costs a binary search, a new key a scan.
#[derive(Clone, Debug)]
pub struct HeavyHitters<K> {
    capacity: usize,
    hitters: Vec<HeavyHitter<K>>, // Sorted by key.
}

impl<K: Ord + Clone> HeavyHitters<K> {
    /// Makes an empty sketch of `capacity` keys (at least 1).
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, hitters: Vec::with_capacity(capacity) }
    }

    /// Counts `weight` for the key.
    pub fn record(&mut self, key: &K, weight: u64) {
        match self.hitters.binary_search_by(|h| h.key.cmp(key)) {
            Ok(i) => self.hitters[i].count += weight,
            Err(i) if self.hitters.len() < self.capacity => {
                self.hitters.insert(i, HeavyHitter { key: key.clone(), count: weight, error: 0 });
            }
            Err(_) => self.replace_least(key, weight),
        }
    }

    /// Halves all counts and drops the keys that fall to zero, so that past heat fades.
    pub fn decay(&mut self) {
        for hitter in &mut self.hitters {
            hitter.count /= 2;
            hitter.error /= 2;
        }
        self.hitters.retain(|h| h.count > 0);
    }

    fn replace_least(&mut self, key: &K, weight: u64) {
        let least = (0..self.hitters.len()).min_by_key(|&i| self.hitters[i].count);
        let Some(least) = least else { return };
        let error = self.hitters.remove(least).count;
        let at = self.hitters.partition_point(|h| h.key < *key);
        self.hitters.insert(at, HeavyHitter { key: key.clone(), count: error + weight, error });
    }
}

impl<K: Ord + Clone> HeavyHitters<K> {
    /// Returns the `count` busiest keys, busiest first.
    pub fn top(&self, count: usize) -> Vec<HeavyHitter<K>> {
        let mut sorted = self.hitters.clone();
        sorted.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
        sorted.truncate(count);
        sorted
    }
}
