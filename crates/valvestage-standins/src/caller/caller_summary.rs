//! Results of a load, as the callers saw them.

use serde::{Deserialize, Serialize};

/// Counts of flows and requests by their results.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerSummary {
    /// Flows that echo the token and stayed intact to the end.
    pub kept_echoing: u64,
    /// Flows that do not echo the token and stayed intact to the end.
    pub kept_silent: u64,
    /// Flows that echo the token and were refused, moved or stalled.
    pub broken_echoing: u64,
    /// Flows that do not echo the token and were refused, moved or stalled.
    pub broken_silent: u64,
    /// Flows whose opening packets were never answered.
    pub never_opened: u64,
    /// Answer packets received on flows.
    pub flow_answers: u64,
    /// Requests sent; resends do not count.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests refused as in doubt: they may have run.
    pub in_doubt: u64,
    /// Requests that still had no result after their deadline, when the load ended.
    pub untold: u64,
    /// Requests that were both answered and refused as not run.
    pub contradicted: u64,
    /// Requests that received an answer that belongs to another request.
    pub foreign_answers: u64,
    /// Resends of requests.
    pub resent: u64,
    /// Median time from the first send to the complete answer, milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the time from the first send to the complete answer, milliseconds.
    pub p99_ms: f64,
    /// Ids of the requests that are not repeatable and were refused as not run.
    pub not_run_ids: NotRunIds,
}

/// Request ids as 32 hexadecimal digits each.
pub type NotRunIds = Vec<String>;

impl CallerSummary {
    /// Sets the percentiles from the times to the answers.
    pub fn set_percentiles(&mut self, mut times_ms: Vec<f64>) {
        times_ms.sort_by(f64::total_cmp);
        let percentile = |share: f64| {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let index = (times_ms.len() as f64 * share) as usize;
            times_ms.get(index.min(times_ms.len().saturating_sub(1))).copied().unwrap_or(0.0)
        };

        self.median_ms = percentile(0.5);
        self.p99_ms = percentile(0.99);
    }
}
