//! The bound on retries.

/// `RetryBudget` grants retries as a fraction of first tries (a token bucket), so that retries
/// cannot multiply an overload.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Granted per first try.
    ratio: f64,
    /// At most saved up.
    burst: f64,
    /// Between 0 and `burst`.
    tokens: f64,
}

impl RetryBudget {
    /// `new` starts with a full bucket.
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// `on_first_try` earns a fraction of a retry.
    pub fn on_first_try(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// `take` spends one retry, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }

        self.tokens -= 1.0;
        true
    }
}
