//! The slots of one backend server, as its admitting balancer counts them.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, Incarnation, ZoneName};
use valvestage_core::time::{Deadline, remaining};

/// Weight of the newest run time in the moving average.
const RUN_TIME_SHARE: f64 = 0.2;

/// `BackendSlots` is the occupancy and the recent behaviour of one backend server.
#[derive(Debug, Clone)]
pub struct BackendSlots {
    /// The backend server.
    pub id: BackendId,
    /// The VM behind its record.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its limit; at least 1.
    pub slots: u16,
    /// Its share relative to its siblings.
    pub weight: u16,
    /// Whether it may take new work.
    pub eligible: bool,
    /// Tries that hold a slot; never above `slots` by this balancer's dispatches.
    pub busy: u16,
    /// Moving average of run times; none before the first answer.
    pub run_time: Option<Duration>,
    /// Tries without an answer since the last answer.
    pub failures: u32,
    /// How often in a row it was ejected.
    pub ejections: u32,
    /// It takes nothing until then, having failed.
    pub ejected_until: Option<Deadline>,
    /// It takes nothing until then, having shed load.
    pub shedding_until: Option<Deadline>,
    /// How often in a row it shed load.
    pub sheddings: u32,
    /// It is cold until then, and takes less than its slots.
    pub cold_until: Deadline,
}

impl BackendSlots {
    /// `allowed` gives the slots that may be used now: all, or fewer while it is cold.
    #[must_use]
    pub fn allowed(&self, now: SystemTime, slow_start: Duration) -> u16 {
        let left = remaining(self.cold_until, now);
        if left.is_zero() || slow_start.is_zero() {
            return self.slots;
        }

        // From one slot to all of them in equal steps.
        let progress =
            1.0 - left.as_secs_f64().min(slow_start.as_secs_f64()) / slow_start.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let ramped = (f64::from(self.slots) * progress).floor() as u16;
        ramped.clamp(1, self.slots)
    }

    /// `is_out` tells whether it is ejected.
    #[must_use]
    pub fn is_out(&self, now: SystemTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// `has_room` tells whether a try can be sent to it now.
    #[must_use]
    pub fn has_room(&self, now: SystemTime, slow_start: Duration) -> bool {
        self.eligible
            && !self.is_out(now)
            && self.shedding_until.is_none_or(|until| until <= now)
            && self.busy < self.allowed(now, slow_start)
    }

    /// `occupancy` gives the used share of its slots, less for a higher weight.
    #[must_use]
    pub fn occupancy(&self) -> f64 {
        f64::from(self.busy) / (f64::from(self.slots) * f64::from(self.weight.max(1)))
    }

    /// `on_run_time` takes the run time of an answered try in.
    pub fn on_run_time(&mut self, taken: Duration) {
        self.run_time = Some(match self.run_time {
            None => taken,
            Some(average) => average.mul_f64(1.0 - RUN_TIME_SHARE) + taken.mul_f64(RUN_TIME_SHARE),
        });
    }
}
