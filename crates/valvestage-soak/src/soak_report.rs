//! Report of a run.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::fault_kind::FaultKind;
use crate::promise_checker::{CheckResults, RequestTally};

/// Action that the run took, such as the start of a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SoakEvent {
    /// Seconds since the start of the fault phase.
    pub at_s: f64,
    /// Description of the action.
    pub text: String,
}

/// Result of a run, printed and written to `report.json`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SoakReport {
    /// Seed that the faults were drawn from.
    pub seed: u64,
    /// Number of balancers, each a process.
    pub balancers: usize,
    /// Number of process starts, over all balancers.
    pub starts: u32,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<FaultKind, u32>,
    /// Largest number of faults active at the same time.
    pub overlap: usize,
    /// Results of the checks.
    pub results: CheckResults,
    /// Actions of the run in chronological order.
    pub events: Vec<SoakEvent>,
}

impl SoakReport {
    /// Reports whether every checked promise was kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.results.broken_count == 0
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count: u32 = self.faults.values().sum();
        let checked: u64 = self.results.checked.values().sum();
        let RequestTally { answered, failed } = self.results.requests;
        writeln!(
            out,
            "seed {}: {} balancers, {} starts, {count} faults of {} kinds, up to {} at once, {} stalls",
            self.seed,
            self.balancers,
            self.starts,
            self.faults.len(),
            self.overlap,
            self.results.stalls
        )?;
        writeln!(out, "  {answered} requests answered, {failed} not; {checked} checks")?;

        if self.results.overload.iter().any(|tally| tally.count() > 0) {
            let [urgent, others] = self.results.overload.map(RequestTally::answered_share);
            writeln!(out, "  answered in overloads: urgent {urgent:.3}, others {others:.3}")?;
        }

        match self.results.broken.first() {
            None => write!(out, "  every promise kept"),
            Some(first) => write!(
                out,
                "  {} promises broken; the first, {:?}, at {:.3} s: {}",
                self.results.broken_count, first.promise, first.at_s, first.detail
            ),
        }
    }
}
