//! Moving averages of events and samples.

use std::time::{Duration, Instant};

/// Time constant of all averages of load. A burst or a crash has to show within a second.
pub(super) const SMOOTHING: Duration = Duration::from_millis(500);

/// Returns the weight that a value of the given age still has.
pub(super) fn weight_at_age(age: Duration) -> f64 {
    (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
}

/// Rate of events, in which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::steering) struct DecayingRate {
    /// Number of events, each weighted by its age at `counted_at`.
    weighted: f64,
    /// Time of the last event; `None` if there was none.
    counted_at: Option<Instant>,
}

impl DecayingRate {
    /// Counts one event.
    pub(in crate::steering) fn on_event(&mut self, now: Instant) {
        self.weighted = self.count(now) + 1.0;
        self.counted_at = Some(now);
    }

    /// Returns the time of the last event; `None` if there was none.
    pub(in crate::steering) fn last_event(&self) -> Option<Instant> {
        self.counted_at
    }

    /// Returns the rate in events per second.
    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.count(now) / SMOOTHING.as_secs_f64()
    }

    /// Returns the number of events, each weighted by its age.
    pub(in crate::steering) fn count(&self, now: Instant) -> f64 {
        let age = self.counted_at.map(|at| now.saturating_duration_since(at));

        age.map_or(0.0, |age| self.weighted * weight_at_age(age))
    }
}

/// Moving average of a number that is sampled at intervals.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SampledAverage {
    value: f64,
}

impl SampledAverage {
    /// Adds a sample that was taken `since` after the one before.
    pub(super) fn on_sample(&mut self, sample: f64, since: Duration) {
        self.value += (sample - self.value) * (1.0 - weight_at_age(since));
    }

    /// Returns the average.
    pub(super) fn value(&self) -> f64 {
        self.value
    }
}
