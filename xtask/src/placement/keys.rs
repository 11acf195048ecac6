//! A set of keys with Zipf-distributed load, whose hottest keys change.

use rand::Rng;
use rand::rngs::StdRng;

/// Keys per host.
pub(super) const KEYS_PER_HOST: usize = 10_000;

/// The exponent of the Zipf distribution.
const ZIPF_EXPONENT: f64 = 1.1;

/// The number of hottest keys that change at a time.
const HOTTEST_KEYS: usize = 960;

/// The load of all keys per host, in thousandths of a request per second.
const LOAD_PER_HOST: f64 = 2_300_000.0;

/// The maximum relative error of reported loads, in either direction.
const REPORT_ERROR: f64 = 0.05;

/// The keys and their loads, both by rank.
pub(super) struct KeySet {
    keys: Vec<u64>,
    loads: Vec<f64>,
}

impl KeySet {
    pub(super) fn new(count: usize) -> Self {
        let weights: Vec<f64> =
            (1..=count).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT)).collect();
        let sum: f64 = weights.iter().sum();
        let total = LOAD_PER_HOST * count as f64 / KEYS_PER_HOST as f64;
        let loads = weights.iter().map(|w| w / sum * total).collect();
        Self { keys: (0..count as u64).collect(), loads }
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Swaps each of the hottest keys with a key drawn at random.
    pub(super) fn change_hottest(&mut self, rng: &mut StdRng) {
        for rank in 0..HOTTEST_KEYS {
            let other = rng.random_range(0..self.keys.len());
            self.keys.swap(rank, other);
        }
    }

    /// Returns the reported load of each partition, in thousandths of a request per second.
    pub(super) fn partition_loads(&self, partitions: usize, rng: &mut StdRng) -> Vec<u64> {
        let count = u32::try_from(partitions).unwrap_or(u32::MAX);
        let mut loads = vec![0.0; partitions];
        for (key, load) in self.keys.iter().zip(&self.loads) {
            let partition = model::partition_of(&key.to_string(), count);
            loads[partition.0 as usize] += load;
        }
        let mut error = || 1.0 + rng.random_range(-REPORT_ERROR..REPORT_ERROR);
        loads.into_iter().map(|load| (load * error()) as u64).collect()
    }
}
