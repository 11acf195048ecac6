//! Finds the busiest keys of one owner in bounded memory.

/// One key of the sketch and its estimated count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeavyHitter<K> {
    /// The key.
    pub key: K,
    /// The estimated count, an upper bound of the true count.
    pub count: u64,
    /// How much of the count may belong to keys that were evicted.
    pub error: u64,
}

impl<K> HeavyHitter<K> {
    /// Returns the guaranteed count, a lower bound of the true count.
    pub fn guaranteed_count(&self) -> u64 {
        self.count - self.error
    }
}

/// A Space-Saving sketch of the busiest keys.
///
/// It always contains each key whose share of all counts exceeds `1 / capacity`. Memory is bounded
/// by the capacity; a known key costs a binary search, a new key a linear scan.
#[derive(Clone, Debug)]
pub struct HeavyHitters<K> {
    capacity: usize,
    hitters: Vec<HeavyHitter<K>>, // Sorted by key.
}

impl<K: Ord + Clone> HeavyHitters<K> {
    /// Creates an empty sketch of `capacity` keys (at least 1).
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, hitters: Vec::with_capacity(capacity) }
    }

    /// Adds `weight` to the count of the key.
    pub fn record(&mut self, key: &K, weight: u64) {
        match self.hitters.binary_search_by(|h| h.key.cmp(key)) {
            Ok(i) => self.hitters[i].count += weight,
            Err(i) if self.hitters.len() < self.capacity => {
                self.hitters.insert(i, HeavyHitter { key: key.clone(), count: weight, error: 0 });
            }
            Err(_) => self.replace_minimum(key, weight),
        }
    }

    /// Halves all counts and removes the keys whose count becomes zero, so that past load decays.
    pub fn decay(&mut self) {
        for hitter in &mut self.hitters {
            hitter.count /= 2;
            hitter.error /= 2;
        }
        self.hitters.retain(|h| h.count > 0);
    }

    fn replace_minimum(&mut self, key: &K, weight: u64) {
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
