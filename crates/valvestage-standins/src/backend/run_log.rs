//! Record of the requests that ran, by which tests check that non-repeatable requests run at most
//! once.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use valvestage_core::ids::RequestId;

/// Counts over all runs, deliveries and refusals of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunSummary {
    /// Number of runs, of repeatable and non-repeatable requests.
    pub runs: u64,
    /// Non-repeatable requests that ran more than once.
    pub repeated: u64,
    /// Packets whose target is another service, backend server or incarnation.
    pub misdelivered: u64,
    /// Requests refused because all slots were in use.
    pub shed: u64,
    /// Requests refused because their deadline had passed.
    pub late: u64,
    /// Highest share of the slots of one backend server in use at the same time, percent.
    pub peak_slots_percent: u64,
    /// Samples with at least one busy slot; one is taken of each service every 100 ms.
    pub samples: u64,
    /// Sum over the samples of (max - mean) / mean of the busy slots per backend server,
    /// thousandths.
    pub imbalance_thousandths: u64,
}

/// Record of runs that all backend servers of a process share.
#[derive(Debug, Default)]
pub struct RunLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    summary: RunSummary,
    non_repeatable_runs: HashMap<RequestId, u32>,
}

impl RunLog {
    /// Records that a request starts to run.
    pub fn record_run(&self, id: RequestId, repeatable: bool) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);

        inner.summary.runs += 1;
        if !repeatable {
            let runs = inner.non_repeatable_runs.entry(id).or_insert(0);
            *runs += 1;
            if *runs == 2 {
                inner.summary.repeated += 1;
            }
        }
    }

    /// Applies a change to the summary, under the lock.
    pub fn update_summary(&self, change: impl FnOnce(&mut RunSummary)) {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner).summary);
    }

    /// Returns a copy of the current summary.
    #[must_use]
    pub fn summary(&self) -> RunSummary {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).summary
    }

    /// Reports whether a non-repeatable request ran. Runs of repeatable requests are not recorded
    /// by id.
    #[must_use]
    pub fn has_run(&self, id: RequestId) -> bool {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .non_repeatable_runs
            .contains_key(&id)
    }

    /// Returns the ids of all non-repeatable requests that ran.
    #[must_use]
    pub fn non_repeatable_run_ids(&self) -> Vec<RequestId> {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .non_repeatable_runs
            .keys()
            .copied()
            .collect()
    }
}
