//! Usual size and time of the answers at one address of a service.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of answer sizes that are kept: some seconds of a busy address, and 256 bytes per address.
const WINDOW: usize = 32;

/// Weight of a new answer time in the moving average after the start-up phase, so that the average
/// covers about 30 answers.
const WEIGHT: f64 = 1.0 / 32.0;

/// Number of answers that have to be seen before their usual size or time counts as known.
const MIN_SAMPLES: usize = 16;

/// Number of standard deviations below the median, on a logarithmic scale, from which an answer
/// counts as short. Hardly any answer of a log-normal or a uniform size distribution lies there.
const SHORT_DEVIATIONS: f64 = 3.5;

/// Minimum distance of a short answer from the median, as a natural logarithm (ln 3): an answer of
/// more than a third of the usual size is never short, however similar the others are. An error
/// answer has some 150 bytes.
const MIN_SHORT_MARGIN: f64 = 1.098_6;

/// A request is overdue after this multiple of the usual answer time.
const OVERDUE_FACTOR: u32 = 6;

/// Minimum time before a request is overdue; a lost packet is retransmitted after 200 ms.
const MIN_OVERDUE_AFTER: Duration = Duration::from_millis(400);

/// Shorter times are treated as equal to this one, the round-trip time of a datagram within an
/// availability zone.
const MIN_TIME: Duration = Duration::from_micros(500);

/// Tracks the usual size of answers and the usual time that they take.
#[derive(Debug, Clone, Default)]
pub struct AnswerNorm {
    /// Natural logarithms of the latest sizes in bytes, oldest first; at most [`WINDOW`].
    log_sizes: VecDeque<f64>,
    times: usize,
    /// Moving average of the times, in seconds.
    seconds: f64,
    /// Moving average of the logarithms of the times in seconds, on which single long waits have
    /// little effect.
    log_seconds: f64,
}

impl AnswerNorm {
    /// Records the size of an answer.
    pub fn on_size(&mut self, bytes: u32) {
        if self.log_sizes.len() == WINDOW {
            self.log_sizes.pop_front();
        }

        self.log_sizes.push_back(log_of(bytes));
    }

    /// Records the time that an answer took.
    pub fn on_time(&mut self, time: Duration) {
        self.times = self.times.saturating_add(1);

        let weight = sample_weight(self.times);
        self.seconds += weight * (time.as_secs_f64() - self.seconds);
        self.log_seconds += weight * (log_of_time(time) - self.log_seconds);
    }

    /// Returns the natural logarithm of the ratio between a time and the usual one; `None` until
    /// enough answers were seen.
    #[must_use]
    pub fn log_ratio(&self, time: Duration) -> Option<f64> {
        (self.times >= MIN_SAMPLES).then(|| log_of_time(time) - self.log_seconds)
    }

    /// Reports whether an answer is much shorter than usual.
    ///
    /// The usual size is the median, and the spread is computed from the answers above it. Errors
    /// are short, so they affect neither unless they make up half of all answers.
    #[must_use]
    pub fn is_short(&self, bytes: u32) -> bool {
        if self.log_sizes.len() < MIN_SAMPLES {
            return false;
        }

        let mut sorted: Vec<f64> = self.log_sizes.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        let (median, upper) = (sorted[middle], &sorted[middle..]);
        let squares = upper.iter().map(|log| (log - median).powi(2)).sum::<f64>();
        let deviation = (squares / as_f64(upper.len())).sqrt();

        let margin = (SHORT_DEVIATIONS * deviation).max(MIN_SHORT_MARGIN);
        log_of(bytes) < median - margin
    }

    /// Returns how long a request may wait before it is overdue; `None` until enough answers were
    /// seen.
    #[must_use]
    pub fn overdue_after(&self) -> Option<Duration> {
        if self.times < MIN_SAMPLES {
            return None;
        }

        let usual = Duration::try_from_secs_f64(self.seconds).unwrap_or(Duration::MAX);
        Some(usual.saturating_mul(OVERDUE_FACTOR).max(MIN_OVERDUE_AFTER))
    }
}

/// Returns the weight of a sample. The first samples weigh more, so that the average is not biased
/// towards its initial value 0.
fn sample_weight(samples: usize) -> f64 {
    (1.0 / as_f64(samples)).max(WEIGHT)
}

fn log_of(bytes: u32) -> f64 {
    f64::from(bytes.max(1)).ln()
}

/// Returns the natural logarithm of a time in seconds.
pub(super) fn log_of_time(time: Duration) -> f64 {
    time.max(MIN_TIME).as_secs_f64().ln()
}

fn as_f64(count: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let value = count as f64;

    value
}
