//! What a run has shown.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::fault_kind::FaultKind;
use crate::promise_checker::{CheckResults, RequestTally};

/// `SoakEvent` is something that the run did.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SoakEvent {
    /// Seconds from the beginning of the faults.
    pub at_s: f64,
    /// What.
    pub text: String,
}

/// `SoakReport` is what a run has shown.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// Balancers, each a process.
    pub balancers: usize,
    /// How often balancers were started.
    pub starts: u32,
    /// Faults by kind.
    pub faults: BTreeMap<FaultKind, u32>,
    /// Faults that lasted at the same time, at most.
    pub overlap: usize,
    /// What was found.
    pub results: CheckResults,
    /// What the run did, in order.
    pub events: Vec<SoakEvent>,
}

impl SoakReport {
    /// `is_clean` tells whether every promise was kept.
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
