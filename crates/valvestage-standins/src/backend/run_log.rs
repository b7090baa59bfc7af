//! The record of runs: the judge of "at most once".

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use valvestage_core::ids::RequestId;

/// `RunSummary` is what the runs come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunSummary {
    /// Runs of any request.
    pub runs: u64,
    /// Requests that may not be repeated and ran more than once.
    pub repeated: u64,
    /// Packets that named another service or VM.
    pub misdelivered: u64,
    /// Requests refused because all slots were in use.
    pub shed: u64,
    /// Requests refused because their deadline had passed.
    pub late: u64,
    /// The most slots in use at once, in percent of the limit.
    pub peak_slots_percent: u64,
    /// Samples of 100 ms with at least one busy slot.
    pub samples: u64,
    /// Sum over samples of (max - mean) / mean of busy slots, in thousandths.
    pub imbalance_thousandths: u64,
}

/// `RunLog` is shared by all backend servers of a process.
#[derive(Debug, Default)]
pub struct RunLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    summary: RunSummary,
    once_only: HashMap<RequestId, u32>,
}

impl RunLog {
    /// `record_run` notes that a request starts to run.
    pub fn record_run(&self, id: RequestId, repeatable: bool) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);

        inner.summary.runs += 1;
        if !repeatable {
            let runs = inner.once_only.entry(id).or_insert(0);
            *runs += 1;
            if *runs == 2 {
                inner.summary.repeated += 1;
            }
        }
    }

    /// `change` changes the summary.
    pub fn change(&self, change: impl FnOnce(&mut RunSummary)) {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner).summary);
    }

    /// `summary` gives the present summary.
    #[must_use]
    pub fn summary(&self) -> RunSummary {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).summary
    }

    /// `ran` tells whether a request that may not be repeated ran.
    #[must_use]
    pub fn ran(&self, id: RequestId) -> bool {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).once_only.contains_key(&id)
    }

    /// `once_only_runs` lists the requests that may not be repeated and ran.
    #[must_use]
    pub fn once_only_runs(&self) -> Vec<RequestId> {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .once_only
            .keys()
            .copied()
            .collect()
    }
}
