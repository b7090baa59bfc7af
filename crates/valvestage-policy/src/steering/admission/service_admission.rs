//! The state of admission to one service.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::admission_shares::AdmissionShares;
use super::shortage::{Shortage, ShortageChange, approach_fraction};
use crate::steering::decision::{Decision, ShortageReport};
use crate::steering::knowledge::request_class::RoutePriority;
use crate::steering::load::service_load::ServiceLoad;

/// Time constant with which shares follow their computed values, so that they change without steps.
/// It adds to the age of the estimates: with 300 ms the admitted rate of single seconds varied by
/// 0.21 instead of 0.11 of the capacity in the model of the tests.
const SHARE_SMOOTHING: Duration = Duration::from_millis(100);

/// Weight of an opening packet in the mean part that is no excess: that of the last thirty or so.
const EXCESS_WEIGHT: f64 = 1.0 / 32.0;

/// Interval at which the shares are logged during a shortage.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Admission to a service whose routes differ in priority.
#[derive(Debug)]
pub(super) struct ServiceAdmission {
    /// Priorities of the routes to the service; two or more.
    priorities: BTreeSet<RoutePriority>,
    shortage: Shortage,
    /// All shares are 1 unless the service is short.
    shares: AdmissionShares,
    /// Mean part of recent opening packets that is no excess of their callers, from 0 to 1.
    within: f64,
    updated_at: Option<Instant>,
    report_at: Option<Instant>,
}

impl ServiceAdmission {
    pub(super) fn new(priorities: BTreeSet<RoutePriority>) -> Self {
        Self {
            priorities,
            shortage: Shortage::default(),
            shares: AdmissionShares::default(),
            within: 1.0,
            updated_at: None,
            report_at: None,
        }
    }

    /// Replaces the priorities of the routes to the service.
    pub(super) fn set_priorities(&mut self, priorities: BTreeSet<RoutePriority>) {
        self.priorities = priorities;
    }

    /// Reports whether the service is short of slots.
    pub(super) fn is_short(&self) -> bool {
        self.shortage.is_short()
    }

    /// Returns the share that applies to a new flow, given the part of its caller's flows that is
    /// no excess. What is not admitted of an excess is left to the other callers.
    pub(super) fn flow_share(&mut self, priority: RoutePriority, within: f64) -> f64 {
        self.within += (within - self.within) * EXCESS_WEIGHT;

        (self.share(priority) / self.within).min(1.0) * within
    }

    /// Returns the share of the new flows of a priority that is admitted.
    pub(super) fn share(&self, priority: RoutePriority) -> f64 {
        self.shares.share(priority)
    }

    /// Iterates over the priorities of the routes to the service, each with its share.
    pub(super) fn shares(&self) -> impl Iterator<Item = (RoutePriority, f64)> {
        self.priorities.iter().map(|priority| (*priority, self.share(*priority)))
    }

    /// Updates the shares from the load of the service, and returns a decision to log if there is
    /// one.
    pub(super) fn update(
        &mut self,
        service: &str,
        load: Option<&ServiceLoad>,
        floor: f64,
        now: Instant,
    ) -> Option<Decision> {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let change = self.shortage.update(load, elapsed);

        let computed = load.filter(|_| self.is_short());
        match computed.and_then(|load| AdmissionShares::compute(load, floor)) {
            Some(next) => self.shares.approach(&next, approach_fraction(elapsed, SHARE_SMOOTHING)),
            None => self.shares = AdmissionShares::default(),
        }
        self.report(service, load, change, now)
    }

    fn report(
        &mut self,
        service: &str,
        load: Option<&ServiceLoad>,
        change: Option<ShortageChange>,
        now: Instant,
    ) -> Option<Decision> {
        let is_due = self.is_short() && self.report_at.is_none_or(|at| at <= now);
        if change.is_none() && !is_due {
            return None;
        }

        self.report_at = Some(now + REPORT_INTERVAL);
        let report = ShortageReport {
            service: service.to_owned(),
            load: load.cloned().unwrap_or_default(),
            shares: self.shares.clone(),
        };
        Some(match change {
            Some(ShortageChange::Began) => Decision::ShortageBegan(report),
            Some(ShortageChange::Ended) => Decision::ShortageEnded(report),
            None => Decision::SharesUpdated(report),
        })
    }
}
