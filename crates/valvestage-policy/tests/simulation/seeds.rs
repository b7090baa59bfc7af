//! Regression seeds, grouped by the failure that callers and operators observed.

mod dropped_packets;
mod held_watches;
mod late_routes;
mod living_flows;
mod many_calls;
mod many_messages;
mod restored_stores;
mod stale_beliefs;

use crate::run_seed;

/// Runs seeds, and fails on the first one that violates a promise.
fn assert_no_violations(seeds: &[u64]) {
    for seed in seeds {
        let violations = run_seed(*seed, None);
        assert!(violations.is_empty(), "seed {seed}: {:?}", violations[0]);
    }
}
