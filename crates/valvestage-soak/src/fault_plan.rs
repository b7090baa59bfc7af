//! Plan of the faults of a run, drawn from its seed.

use std::time::Duration;

use serde::Serialize;
use valvestage_standins::seeded_rng::SeededRng;

use crate::fault_kind::FaultKind;

/// Shortest duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(500);

/// Largest random addition to the shortest duration.
const MAX_EXTRA_DURATION: Duration = Duration::from_millis(5_500);

/// Mean time between the starts of two faults, in the busiest and in the calmest run. Faults last
/// 3.3 s on average, so about three overlap in the busiest run, while the calmest one has only a
/// single fault now and then. Calm runs are needed because promises with a time bound apply to
/// undisturbed balancers only.
const MEAN_INTERVALS: std::ops::Range<Duration> =
    Duration::from_millis(1_000)..Duration::from_millis(6_000);

/// One fault in this many is repeated, three times in a row in total.
const SERIES_ODDS: usize = 5;

/// Fault with its time, duration and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Start of the fault, measured from the start of the fault phase.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Random number that the run maps to a balancer, zone or backend server.
    pub target: usize,
}

/// Draws the faults of a run in order of their start. Faults may overlap, and some are repeated on
/// the same target. All of them end before `length`.
#[must_use]
pub fn plan(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<PlannedFault> {
    let mut rng = SeededRng::new(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    let mean_interval =
        MEAN_INTERVALS.start + (MEAN_INTERVALS.end - MEAN_INTERVALS.start).mul_f64(rng.next_f64());

    loop {
        at += rng.exponential(mean_interval);
        let kind = kinds[rng.below(kinds.len())];
        let target = rng.below(usize::MAX);
        let lasts = MIN_DURATION + MAX_EXTRA_DURATION.mul_f64(rng.next_f64());
        let repeats = if rng.below(SERIES_ODDS) == 0 { 3 } else { 1 };
        for repeat in 0..repeats {
            let at = at + (lasts + MIN_DURATION) * repeat;
            if at + lasts < length {
                faults.push(PlannedFault { at, lasts, kind, target });
            }
        }
        if at >= length {
            faults.sort_by_key(|fault| fault.at);
            return faults;
        }
    }
}
