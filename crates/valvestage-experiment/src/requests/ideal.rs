//! The ideal baseline: one queue in front of all slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use valvestage_standins::seeded_rng::SeededRng;

use super::measures::{AnswerSample, Measures};
use super::model::{INTRA_ZONE_DELAY, Load, MEAN_RUN_TIME};
use crate::deployment::{ServiceSize, start_time};

/// Returns the runs per second that all slots together can complete.
pub fn capacity(size: &ServiceSize) -> f64 {
    f64::from(size.backends) * f64::from(size.slots) / MEAN_RUN_TIME.as_secs_f64()
}

/// Returns the mean round-trip time between a balancer and the backend servers of all zones.
pub fn mean_round_trip(size: &ServiceSize) -> Duration {
    let zones = u32::try_from(size.zones).unwrap_or(1);

    (size.inter_zone_delay * (zones - 1) + INTRA_ZONE_DELAY) / zones * 2
}

/// Simulates one first-come, first-served queue with the arrivals and run times of the model. The
/// only delays are those to callers and a constant one that extends each run.
pub fn ideal(size: &ServiceSize, load: Load, round_trip: Duration) -> Measures {
    let mut rng = SeededRng::new(load.seed);
    let rate = capacity(size) * load.share;
    let mean = Duration::from_secs(1).div_f64(rate);
    let slots = size.backends as usize * usize::from(size.slots);

    let mut free_at = BinaryHeap::from(vec![Reverse(start_time()); slots]);
    let mut measures = Measures::default();
    let mut now = start_time();
    for _ in 0..load.requests {
        now += rng.exponential(mean);
        let run_time = rng.exponential(MEAN_RUN_TIME);
        let is_bulk = rng.next_f64() < load.bulk_share;
        let Reverse(free) = free_at.pop().expect("there are slots");
        let end = now.max(free) + run_time + round_trip;

        free_at.push(Reverse(end));
        let elapsed = end.duration_since(now).unwrap_or_default() + size.caller_delay * 2;
        measures.samples.push(AnswerSample { millis: elapsed.as_secs_f64() * 1_000.0, is_bulk });
        measures.sent[usize::from(is_bulk)] += 1;
    }
    measures
}
