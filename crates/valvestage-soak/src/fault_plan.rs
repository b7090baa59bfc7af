//! The faults of a run, drawn from its seed.

use std::time::Duration;

use serde::Serialize;
use valvestage_standins::draws::Draws;

use crate::fault_kind::FaultKind;

/// Shortest fault.
const SHORTEST: Duration = Duration::from_millis(500);

/// What the draw adds to it at most.
const MORE: Duration = Duration::from_millis(5_500);

/// Mean time between the beginnings of two faults, in the busiest and the calmest run. With a mean length
/// of 3.3 s some three last at once, or one now and then: promises with a bound bind undisturbed balancers.
const MEAN_GAPS: std::ops::Range<Duration> =
    Duration::from_millis(1_000)..Duration::from_millis(6_000);

/// One in so many faults comes three times in a row.
const SERIES: usize = 5;

/// `PlannedFault` is one fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// When it begins, from the beginning of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// Whom it strikes: a number that the run maps to what there is.
    pub target: usize,
}

/// `plan` draws the faults of a run: overlapping, and some in series on the same target.
#[must_use]
pub fn plan(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<PlannedFault> {
    let mut draws = Draws::new(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    let mean_gap = MEAN_GAPS.start + (MEAN_GAPS.end - MEAN_GAPS.start).mul_f64(draws.unit());

    loop {
        at += draws.exponential(mean_gap);
        let kind = kinds[draws.below(kinds.len())];
        let target = draws.below(usize::MAX);
        let lasts = SHORTEST + MORE.mul_f64(draws.unit());
        let repeats = if draws.below(SERIES) == 0 { 3 } else { 1 };
        for repeat in 0..repeats {
            let at = at + (lasts + SHORTEST) * repeat;
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
