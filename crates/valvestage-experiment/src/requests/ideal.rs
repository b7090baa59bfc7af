//! One queue before all slots: what the ways are measured against.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use valvestage_standins::seeded_rng::SeededRng;

use super::measures::{Measures, Sample};
use super::model::{Load, RUN_TIME, WITHIN_ZONE};
use crate::deployment::{Size, start};

/// Runs a second that all slots can do.
pub fn capacity(size: &Size) -> f64 {
    f64::from(size.backends) * f64::from(size.slots) / RUN_TIME.as_secs_f64()
}

/// The mean way from one balancer to a backend server and back.
pub fn mean_way(size: &Size) -> Duration {
    let zones = u32::try_from(size.zones).unwrap_or(1);

    (size.between_zones * (zones - 1) + WITHIN_ZONE) / zones * 2
}

/// The same arrivals and run times, one first-come queue, no delay but that to callers and one for
/// each run.
pub fn ideal(size: &Size, load: Load, way: Duration) -> Measures {
    let mut draws = SeededRng::new(load.seed);
    let rate = capacity(size) * load.share;
    let mean = Duration::from_secs(1).div_f64(rate);
    let slots = size.backends as usize * usize::from(size.slots);

    let mut free_at = BinaryHeap::from(vec![Reverse(start()); slots]);
    let mut measures = Measures::default();
    let mut now = start();
    for _ in 0..load.requests {
        now += draws.exponential(mean);
        let run_time = draws.exponential(RUN_TIME);
        let is_bulk = draws.next_f64() < load.bulk_share;
        let Reverse(free) = free_at.pop().expect("there are slots");
        let end = now.max(free) + run_time + way;

        free_at.push(Reverse(end));
        let taken = end.duration_since(now).unwrap_or_default() + size.to_callers * 2;
        measures.samples.push(Sample { millis: taken.as_secs_f64() * 1_000.0, is_bulk });
        measures.sent[usize::from(is_bulk)] += 1;
    }
    measures
}
