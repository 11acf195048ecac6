//! Keys and their distribution.

use std::sync::Arc;

use rand::Rng;
use rand::rngs::StdRng;

/// A set of numbered keys from which keys are sampled by weight.
#[derive(Clone)]
pub struct Keys {
    /// The sum of the weights up to and including each key.
    cumulative: Arc<[f64]>,
}

impl Keys {
    /// Returns `count` keys (at least 1) with equal weights.
    pub fn uniform(count: usize) -> Self {
        Self::zipf(count, 0.0)
    }

    /// Returns `count` keys (at least 1) with a Zipf distribution: the key at rank r has the
    /// weight 1 / r^`exponent`.
    pub fn zipf(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count.max(1)).map(|rank| (rank as f64).powf(-exponent));
        let cumulative = weights.map(|weight| {
            sum += weight;
            sum
        });
        Self { cumulative: cumulative.collect() }
    }

    /// Samples a key.
    pub fn draw(&self, rng: &mut StdRng) -> String {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = rng.random_range(0.0..total);
        let index = self.cumulative.partition_point(|sum| *sum <= drawn);
        format!("key-{}", index.min(self.cumulative.len() - 1))
    }
}
