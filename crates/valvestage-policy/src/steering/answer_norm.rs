//! What answers at one address of a service are usually like.

use std::time::Duration;

/// Weight of one more answer once enough were seen: the norm follows the last some 30 answers.
const WEIGHT: f64 = 1.0 / 32.0;

/// Answers before a norm says anything.
const MIN_SAMPLES: u32 = 8;

/// How many standard deviations below the mean, in logarithms, an answer counts as short. One answer
/// in 160 of a log-normal size lies there, at every backend server alike.
const SHORT_DEVIATIONS: f64 = 2.5;

/// How much less a short answer changes the norm: errors of a few backend servers are not to become
/// usual, but answers that are shorter for good are.
const SHORT_WEIGHT: f64 = 1.0 / 8.0;

/// An answer of more than half the usual size is never short, however alike the others are.
const SHORT_AT_LEAST: f64 = std::f64::consts::LN_2;

/// A request is overdue when it has waited for so many times the usual.
const OVERDUE_FACTOR: u32 = 6;

/// No request is overdue earlier: a lost packet is sent again after 200 ms.
const OVERDUE_AT_LEAST: Duration = Duration::from_millis(400);

/// `AnswerNorm` follows the size of answers and the time that they take.
#[derive(Debug, Clone, Default)]
pub struct AnswerNorm {
    sizes: u32,
    /// Mean of the logarithm of the size in bytes.
    log_size: f64,
    /// Variance of that logarithm; never negative.
    log_variance: f64,
    times: u32,
    /// Mean time, seconds.
    seconds: f64,
}

impl AnswerNorm {
    /// `on_size` takes in how many bytes an answer had.
    pub fn on_size(&mut self, bytes: u32) {
        let log = log_of(bytes);
        let factor = if self.is_short(bytes) { SHORT_WEIGHT } else { 1.0 };
        self.sizes = self.sizes.saturating_add(1);
        let weight = factor * weight_after(self.sizes);

        let difference = log - self.log_size;
        self.log_size += weight * difference;
        self.log_variance = (1.0 - weight) * (self.log_variance + weight * difference * difference);
    }

    /// `on_time` takes in how long an answer took.
    pub fn on_time(&mut self, time: Duration) {
        self.times = self.times.saturating_add(1);

        self.seconds += weight_after(self.times) * (time.as_secs_f64() - self.seconds);
    }

    /// `is_short` tells whether an answer is much shorter than usual.
    #[must_use]
    pub fn is_short(&self, bytes: u32) -> bool {
        if self.sizes < MIN_SAMPLES {
            return false;
        }

        let margin = (SHORT_DEVIATIONS * self.log_variance.sqrt()).max(SHORT_AT_LEAST);
        log_of(bytes) < self.log_size - margin
    }

    /// `patience` gives how long a request may wait before it is overdue; none while nothing is usual.
    #[must_use]
    pub fn patience(&self) -> Option<Duration> {
        if self.times < MIN_SAMPLES {
            return None;
        }

        let usual = Duration::try_from_secs_f64(self.seconds).unwrap_or(Duration::MAX);
        Some(usual.saturating_mul(OVERDUE_FACTOR).max(OVERDUE_AT_LEAST))
    }
}

/// The first samples weigh more, so that the mean does not start at zero.
fn weight_after(samples: u32) -> f64 {
    (1.0 / f64::from(samples)).max(WEIGHT)
}

fn log_of(bytes: u32) -> f64 {
    f64::from(bytes.max(1)).ln()
}
