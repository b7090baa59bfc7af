//! Seeded draws.

use std::time::Duration;

use valvestage_policy::rendezvous::mix;

/// `Draws` gives the same numbers for the same seed.
#[derive(Debug, Clone)]
pub struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    /// `new` starts a sequence.
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// `word` draws 64 bits.
    pub fn word(&mut self) -> u64 {
        self.count += 1;

        mix(self.seed, self.count)
    }

    /// `below` draws a number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        usize::try_from(self.word() % bound as u64).unwrap_or(0)
    }

    /// `unit` draws a number between 0 and 1.
    pub fn unit(&mut self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let word = (self.word() >> 11) as f64;

        (word + 0.5) / 9_007_199_254_740_992.0
    }

    /// `exponential` draws an exponentially distributed time.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-self.unit().ln())
    }
}
