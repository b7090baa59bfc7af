//! Exponentially decaying counts of requests by outcome.

use std::time::{Duration, Instant};

/// Time after which the weight of a request has halved. In the reference deployment a backend
/// server gets some ten requests per second, and faults of a backend server last seconds.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Weighted number of requests of one or several backend servers, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCount {
    /// Requests with an ordinary answer.
    pub answered: f64,
    /// Requests whose answer was much shorter than usual, or did not come in time.
    pub poor: f64,
    /// Expected number of poor requests: each request adds the share of poor ones among the other
    /// backend servers of its service at that time, as seen by the balancer that counted it.
    pub expected: f64,
}

impl OutcomeCount {
    /// Returns the number of all requests.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.answered + self.poor
    }

    /// Returns the share of poor requests; 0 if there are no requests.
    #[must_use]
    pub fn poor_share(&self) -> f64 {
        if self.total() > 0.0 { self.poor / self.total() } else { 0.0 }
    }

    /// Returns the sum of two counts.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            answered: self.answered + other.answered,
            poor: self.poor + other.poor,
            expected: self.expected + other.expected,
        }
    }

    /// Returns the count without a part of it; no component becomes negative.
    #[must_use]
    pub fn minus(&self, part: &Self) -> Self {
        Self {
            answered: (self.answered - part.answered).max(0.0),
            poor: (self.poor - part.poor).max(0.0),
            expected: (self.expected - part.expected).max(0.0),
        }
    }
}

/// An exponentially decaying count of requests by outcome.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    count: OutcomeCount,
    counted_at: Instant,
}

impl DecayingCount {
    /// Creates a count with this value at the time `now`.
    #[must_use]
    pub fn new(count: OutcomeCount, now: Instant) -> Self {
        Self { count, counted_at: now }
    }

    /// Adds requests to the decayed count.
    pub fn add(&mut self, further: &OutcomeCount, now: Instant) {
        self.count = self.at(now).plus(further);
        self.counted_at = now;
    }

    /// Returns the time since the last request was counted.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.counted_at)
    }

    /// Returns the decayed count at a time.
    #[must_use]
    pub fn at(&self, now: Instant) -> OutcomeCount {
        let left = decayed_weight(self.age(now));

        OutcomeCount {
            answered: self.count.answered * left,
            poor: self.count.poor * left,
            expected: self.count.expected * left,
        }
    }
}

/// Returns the weight that an observation of this age still has, from 0 to 1.
pub(in crate::steering) fn decayed_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
