//! What the callers saw.

use serde::{Deserialize, Serialize};

/// `CallerSummary` counts flows and requests by how they ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerSummary {
    /// Flows that echo the token: kept to the end.
    pub kept_echoing: u64,
    /// Flows that don't: kept to the end.
    pub kept_silent: u64,
    /// Flows that echo the token: refused, moved or stalled.
    pub broken_echoing: u64,
    /// Flows that don't: refused, moved or stalled.
    pub broken_silent: u64,
    /// Flows that never got an answer to their opening.
    pub never_opened: u64,
    /// Packets that flows got back.
    pub flow_answers: u64,
    /// Requests sent, copies aside.
    pub requests: u64,
    /// Answered whole.
    pub answered: u64,
    /// Told that it did not run.
    pub not_run: u64,
    /// Told that it may have run.
    pub in_doubt: u64,
    /// Told nothing until after the deadline.
    pub untold: u64,
    /// Told two different things.
    pub contradicted: u64,
    /// Answers that belong to another request.
    pub foreign_answers: u64,
    /// Copies sent.
    pub resent: u64,
    /// Median time to the answer, milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the time to the answer, milliseconds.
    pub p99_ms: f64,
    /// Ids of requests that may not be repeated and were told not to have run.
    pub not_run_ids: NotRunIds,
}

/// `NotRunIds` is request ids as text.
pub type NotRunIds = Vec<String>;

impl CallerSummary {
    /// `take_times` works out the percentiles.
    pub fn take_times(&mut self, mut times_ms: Vec<f64>) {
        times_ms.sort_by(f64::total_cmp);
        let at = |share: f64| {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let place = (times_ms.len() as f64 * share) as usize;
            times_ms.get(place.min(times_ms.len().saturating_sub(1))).copied().unwrap_or(0.0)
        };

        self.median_ms = at(0.5);
        self.p99_ms = at(0.99);
    }
}
