//! Slot counters and health of one backend server.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, Incarnation, ZoneName};
use valvestage_core::time::{Deadline, remaining};

/// Weight of the newest run time in the exponential moving average.
const RUN_TIME_EMA_WEIGHT: f64 = 0.2;

/// Occupancy and recent behaviour of one backend server, as counted by the owner of its service.
#[derive(Debug, Clone)]
pub struct BackendSlots {
    /// Id of the backend server.
    pub id: BackendId,
    /// Incarnation of the VM behind the backend server's record.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Configured limit of concurrent requests; at least 1.
    pub slots: u16,
    /// Share of new work relative to the other backend servers of the service.
    pub weight: u16,
    /// Whether the configuration allows new work on the backend server.
    pub eligible: bool,
    /// Attempts that occupy a slot; this balancer's dispatches never raise it above `slots`.
    pub busy: u16,
    /// Moving average of the run time, or `None` before the first answer.
    pub run_time: Option<Duration>,
    /// Attempts that timed out since the last answer or refusal for load.
    pub failures: u32,
    /// Consecutive ejections, reset by an answer.
    pub consecutive_ejections: u32,
    /// End of the latest ejection; no attempt is sent before it.
    pub ejected_until: Option<Deadline>,
    /// End of the latest shedding backoff; no attempt is sent before it.
    pub shedding_until: Option<Deadline>,
    /// Consecutive refusals for load, reset by an answer.
    pub consecutive_sheds: u32,
    /// End of slow start; before it the backend server takes fewer requests than `slots`.
    pub cold_until: Deadline,
}

impl BackendSlots {
    /// Returns the number of slots that may be used now: all, or fewer during slow start.
    #[must_use]
    pub fn allowed(&self, now: SystemTime, slow_start: Duration) -> u16 {
        let left = remaining(self.cold_until, now);
        if left.is_zero() || slow_start.is_zero() {
            return self.slots;
        }

        // Ramps up linearly from one slot to all slots.
        let progress =
            1.0 - left.as_secs_f64().min(slow_start.as_secs_f64()) / slow_start.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let ramped = (f64::from(self.slots) * progress).floor() as u16;
        ramped.clamp(1, self.slots)
    }

    /// Reports whether the backend server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: SystemTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Reports whether an attempt can be sent to the backend server now.
    #[must_use]
    pub fn has_room(&self, now: SystemTime, slow_start: Duration) -> bool {
        self.eligible
            && !self.is_ejected(now)
            && self.shedding_until.is_none_or(|until| until <= now)
            && self.busy < self.allowed(now, slow_start)
    }

    /// Returns the occupied share of the slots, divided by the weight.
    #[must_use]
    pub fn occupancy(&self) -> f64 {
        f64::from(self.busy) / (f64::from(self.slots) * f64::from(self.weight.max(1)))
    }

    /// Updates the average run time with that of an answered attempt.
    pub fn record_run_time(&mut self, taken: Duration) {
        self.run_time = Some(match self.run_time {
            None => taken,
            Some(average) => {
                average.mul_f64(1.0 - RUN_TIME_EMA_WEIGHT) + taken.mul_f64(RUN_TIME_EMA_WEIGHT)
            }
        });
    }
}
