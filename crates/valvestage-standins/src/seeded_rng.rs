//! Seeded random number generator.

use std::time::Duration;

use valvestage_policy::rendezvous::mix;

/// Random number generator that yields the same sequence for the same seed.
#[derive(Debug, Clone)]
pub struct SeededRng {
    seed: u64,
    count: u64,
}

impl SeededRng {
    /// Starts the sequence of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.count += 1;

        mix(self.seed, self.count)
    }

    /// Returns a random number below the bound; 0 if the bound is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;

        usize::try_from(self.next_u64() % bound).unwrap_or(0)
    }

    /// Returns a uniformly distributed number between 0 and 1. It is never 0, so that its logarithm
    /// is finite.
    pub fn next_f64(&mut self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let word = (self.next_u64() >> 11) as f64;

        (word + 0.5) / 9_007_199_254_740_992.0
    }

    /// Returns an exponentially distributed time with the given mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-self.next_f64().ln())
    }
}
