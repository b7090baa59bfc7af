//! The retry budget.

/// Token bucket that limits retries to a fraction of the first attempts, so that retries cannot
/// multiply an overload.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Tokens earned per first attempt.
    ratio: f64,
    /// Capacity of the bucket.
    burst: f64,
    /// Available retries, from 0 to `burst`.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with a full bucket.
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }

        self.tokens -= 1.0;
        true
    }
}
