//! The share of each priority's new flows that the slots can serve.

use std::collections::BTreeMap;

use super::shortage::{answering_slots, load_per_slot};
use crate::steering::knowledge::request_class::RoutePriority;
use crate::steering::load::service_load::{ClassLoad, ServiceLoad};

/// Requests in flight per slot that admission aims at where nothing is known of the latency that
/// callers expect. A queue of one and a half requests per slot rarely runs empty.
const LEAST_TARGET_LOAD: f64 = 2.5;

/// Maximum of the load that admission aims at. Balancers do not know the queue of each backend
/// server, so with longer queues on average more of them are full and reject requests.
const MAX_TARGET_LOAD: f64 = 3.5;

/// Part of the target latency of a service that a request may wait for a slot on average. The rest
/// is for the request itself and for waits that are longer than the average.
const WAIT_PART: f64 = 0.5;

/// Relative change of the target rate for each request per slot by which the load differs from the
/// target. Estimates are up to a second old, while a queue fills within tens of milliseconds: with a
/// larger gain the rate swings, with a smaller one slots stay idle.
const GAIN: f64 = 0.2;

/// Bounds of the factor on the target rate. By the upper one the rate doubles within five ages of an
/// estimate, so that returning slots are used.
const CORRECTIONS: std::ops::RangeInclusive<f64> = 0.5..=1.15;

/// Share of the new flows of each priority that is to be admitted.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionShares {
    /// Requests per second that the service is to get.
    target_rate: f64,
    /// From 0 to 1. Priorities that are not in here are admitted in full.
    shares: BTreeMap<RoutePriority, f64>,
}

impl AdmissionShares {
    /// Computes the shares by which the load of a service matches its slots. `floor` is the part of
    /// the target rate that each priority gets at least. Returns `None` if the load is not known
    /// well enough.
    #[must_use]
    pub fn compute(load: &ServiceLoad, floor: f64) -> Option<Self> {
        let target_rate = target_rate(load)?;
        let floor_rate = floor * target_rate;
        let reserved = |class: &ClassLoad| floor_rate.min(class.opening + class.further);
        let mut floors: f64 = load.classes.values().map(reserved).sum();
        let mut left = target_rate;

        let share_of = |(priority, class): (&RoutePriority, &ClassLoad)| {
            floors -= reserved(class);
            let share = class_share(*class, left - floors, floor_rate);
            left -= class.further + share * class.opening;
            (*priority, share)
        };
        let shares = load.classes.iter().map(share_of).collect();
        Some(Self { target_rate, shares })
    }

    /// Returns the share of a priority.
    #[must_use]
    pub fn share(&self, priority: RoutePriority) -> f64 {
        self.shares.get(&priority).copied().unwrap_or(1.0)
    }

    /// Iterates over the priorities whose demand is known, the most urgent first, each with its
    /// share.
    pub fn iter(&self) -> impl Iterator<Item = (RoutePriority, f64)> {
        self.shares.iter().map(|(priority, share)| (*priority, *share))
    }

    /// Returns the requests per second that the service is to get; 0 if all flows are admitted.
    #[must_use]
    pub fn target_rate(&self) -> f64 {
        self.target_rate
    }

    /// Moves each share towards that of `next` by a fraction of the difference.
    pub fn approach(&mut self, next: &Self, fraction: f64) {
        let shares = next.iter().map(|(priority, share)| {
            let former = self.share(priority);
            (priority, former + (share - former) * fraction)
        });

        self.shares = shares.collect();
        self.target_rate = next.target_rate;
    }
}

/// Returns the share of the opening packets of a class that fits into `room`, a rate from which the
/// requests on its open flows are subtracted first. They count towards the floor too: on flows that
/// last, openings at the floor rate would add up to more requests each second.
fn class_share(class: ClassLoad, room: f64, floor_rate: f64) -> f64 {
    if class.opening <= 0.0 {
        return 1.0;
    }

    let rate = room.max(floor_rate) - class.further;
    (rate / class.opening).clamp(0.0, 1.0)
}

/// Returns the requests per second that a service is to get; `None` if its load is not known well
/// enough.
fn target_rate(load: &ServiceLoad) -> Option<f64> {
    let per_slot = load_per_slot(load)?;
    let correction = 1.0 + GAIN * (target_load(load) - per_slot);
    let rate =
        capacity(load, per_slot) * correction.clamp(*CORRECTIONS.start(), *CORRECTIONS.end());

    (rate.is_finite() && rate > 0.0).then_some(rate)
}

/// Returns the requests per second that the slots can process. With a queue at most backend servers,
/// that is the rate of their answers, or that of one backend server if it is higher. With a shorter
/// one, some slots are free, and the rate follows from the time that a request takes.
fn capacity(load: &ServiceLoad, per_slot: f64) -> f64 {
    let Some(service_time) = load.service_time else { return load.completed };
    let answered = answering_slots(load, service_time) / service_time;
    let by_slots = load.slots / service_time;
    let free_part = (LEAST_TARGET_LOAD - per_slot).clamp(0.0, 1.0);

    answered + (by_slots - answered).max(0.0) * free_part
}

/// Returns the requests in flight per slot to aim at. The longer callers may wait, the fewer slots
/// run out of work for a moment.
fn target_load(load: &ServiceLoad) -> f64 {
    let waiting = load.service_time.zip(load.target_latency);
    let waiting = waiting.map(|(service_time, latency)| WAIT_PART * latency / service_time);

    (1.0 + waiting.unwrap_or_default()).clamp(LEAST_TARGET_LOAD, MAX_TARGET_LOAD)
}
