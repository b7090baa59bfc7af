//! Time that requests take at the backend servers of a service.

use std::time::Duration;

/// Time constant of the averages: enough for a hundred requests at each of a hundred balancers, and
/// short enough to follow a change of the callers' requests.
const SMOOTHING: Duration = Duration::from_secs(10);

/// Number of answers, weighted by age, from which on the time counts as known.
const MIN_ANSWERS: f64 = 8.0;

/// Mean time that a request takes at a backend server, from the requests in flight and the rate of
/// answers (Little's law). It is sampled only while slots are free, so that it contains no wait.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTime {
    /// Weighted sum of the time that requests have spent in flight, in seconds.
    request_seconds: f64,
    /// Weighted number of answers.
    answers: f64,
}

impl ServiceTime {
    /// Adds a sample of the requests in flight and of the answers per second, taken `since` after
    /// the one before.
    pub(super) fn on_sample(&mut self, in_flight: f64, answers_per_second: f64, since: Duration) {
        let seconds = since.as_secs_f64();
        let kept = (-seconds / SMOOTHING.as_secs_f64()).exp();

        self.request_seconds = self.request_seconds * kept + in_flight * seconds;
        self.answers = self.answers * kept + answers_per_second * seconds;
    }

    /// Returns the mean time in seconds; `None` until enough answers were seen.
    pub(super) fn seconds(&self) -> Option<f64> {
        let seconds = self.request_seconds / self.answers;

        (self.answers >= MIN_ANSWERS && seconds > 0.0).then_some(seconds)
    }
}
