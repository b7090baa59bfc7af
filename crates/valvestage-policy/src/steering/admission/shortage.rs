//! Detection of shortages of slots.

use std::time::Duration;

use crate::steering::load::service_load::ServiceLoad;

/// Requests in flight per slot at which a shortage begins. Below it, less than half of the requests
/// wait for a slot, and nearly all of them for less time than one request takes.
const BEGIN_LOAD: f64 = 1.5;

/// Requests in flight per slot below which a shortage ends: on average there is a free slot for
/// each new request.
const END_LOAD: f64 = 1.0;

/// Rejected share of the requests from which on most backend servers count as full.
const FULL_REJECTED_SHARE: f64 = 0.05;

/// Time constant of the load by which a shortage ends. A balancer of a large fleet hears from few
/// others within the age of a report, and would end the shortage again and again by a low sample.
const END_SMOOTHING: Duration = Duration::from_millis(200);

/// Begin or end of a shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShortageChange {
    /// The service has become short of slots.
    Began,
    /// The service has slots to spare again, or its load is no longer known.
    Ended,
}

/// Whether a service is short of slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shortage {
    /// Moving average of the requests in flight per slot since the shortage began; `None` if there
    /// is none.
    load: Option<f64>,
}

impl Shortage {
    /// Reports whether the service is short of slots.
    #[must_use]
    pub fn is_short(self) -> bool {
        self.load.is_some()
    }

    /// Updates the state from the load of the service and the time since the last update, and
    /// returns what has changed. A service of unknown load is not short.
    pub fn update(
        &mut self,
        load: Option<&ServiceLoad>,
        elapsed: Duration,
    ) -> Option<ShortageChange> {
        let was_short = self.is_short();
        let sample = load.and_then(load_per_slot);
        self.load = match (self.load, sample) {
            (Some(former), Some(sample)) => {
                let load = former + (sample - former) * approach_fraction(elapsed, END_SMOOTHING);
                Some(load).filter(|load| *load >= END_LOAD)
            }
            (None, Some(sample)) => Some(sample).filter(|load| *load >= BEGIN_LOAD),
            (_, None) => None,
        };

        match (was_short, self.is_short()) {
            (false, true) => Some(ShortageChange::Began),
            (true, false) => Some(ShortageChange::Ended),
            _ => None,
        }
    }
}

/// Returns the fraction of the way to a new value that a moving average with a time constant moves
/// within a time.
pub(super) fn approach_fraction(elapsed: Duration, time_constant: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the requests in flight per slot; `None` if the load is not known well enough to act on
/// it. A service without usable slots has no load per slot: opening packets to it are refused for
/// the lack of backend servers.
///
/// For seconds after backend servers have crashed, slots are counted that no longer exist. The more
/// requests full backend servers reject, the more the load is therefore taken from the slots that
/// answer, which is the time that requests spend at backend servers as a multiple of the time
/// without a wait.
#[must_use]
pub fn load_per_slot(load: &ServiceLoad) -> Option<f64> {
    let ratio = load.in_flight / load.slots;
    let by_time = load.service_time.map(|seconds| load.in_flight / answering_slots(load, seconds));
    let by_time = by_time.filter(|by_time| by_time.is_finite()).unwrap_or(ratio);
    let rejected = load.rejected / (load.rejected + load.completed).max(f64::MIN_POSITIVE);
    let trust = (rejected / FULL_REJECTED_SHARE).min(1.0);

    let ratio = ratio + (by_time - ratio).max(0.0) * trust;
    (load.is_usable && load.slots > 0.0 && ratio.is_finite()).then_some(ratio)
}

/// Returns the slots that answer, given the seconds that a request takes: those in use for the
/// requests which are answered, but at least those of one backend server.
///
/// A service that still answers has a backend server, with all of its slots. Where little is asked,
/// most of them are free, and those in use are no measure of those that are there.
pub(super) fn answering_slots(load: &ServiceLoad, service_time: f64) -> f64 {
    let in_use = load.completed * service_time;
    let of_one = if load.backends > 0.0 { load.slots / load.backends } else { 0.0 };

    in_use.max(of_one)
}
