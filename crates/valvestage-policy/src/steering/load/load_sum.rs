//! Weighted sum of the reported load of one service in one zone.

use std::time::Duration;

use super::decaying_rate::weight_at_age;
use super::fleet_load::RECENT;
use super::load_meter::MeasuredLoad;
use super::service_load::ServiceLoad;

/// Weighted sum of the load of one service at some balancers of one zone.
#[derive(Debug, Default)]
pub(super) struct LoadSum {
    /// Sum of the load, each report weighted by its age.
    load: MeasuredLoad,
    /// Sum of the weights.
    weight: f64,
    /// Weighted sum of the ages, in seconds.
    weighted_age: f64,
    /// Number of recent reports.
    recent: usize,
}

impl LoadSum {
    /// Adds the load of one balancer.
    pub(super) fn add(&mut self, load: &MeasuredLoad, age: Duration) {
        let weight = weight_at_age(age);

        self.weight += weight;
        self.weighted_age += weight * age.as_secs_f64();
        self.recent += usize::from(age < RECENT);
        self.load.in_flight += weight * load.in_flight;
        self.load.open_flows += weight * load.open_flows;
        self.load.completed += weight * load.completed;
        for (priority, class) in &load.classes {
            let sum = self.load.classes.entry(*priority).or_default();
            sum.opening += weight * class.opening;
            sum.further += weight * class.further;
        }
    }

    /// Adds the load of the given number of balancers to an estimate, each with the mean load.
    pub(super) fn add_to(&self, estimate: &mut ServiceLoad, balancers: f64) {
        let scale = balancers / self.weight.max(f64::MIN_POSITIVE);

        estimate.in_flight += scale * self.load.in_flight;
        estimate.open_flows += scale * self.load.open_flows;
        estimate.completed += scale * self.load.completed;
        for (priority, class) in &self.load.classes {
            let sum = estimate.classes.entry(*priority).or_default();
            sum.opening += scale * class.opening;
            sum.further += scale * class.further;
        }
    }

    /// Returns the sum of the weights.
    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the weighted sum of the ages, in seconds.
    pub(super) fn weighted_age(&self) -> f64 {
        self.weighted_age
    }

    /// Returns the number of recent reports.
    pub(super) fn recent(&self) -> usize {
        self.recent
    }
}
