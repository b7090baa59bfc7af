//! Seeds that showed a fault, by what callers and operators saw. Each file tells what happens.

mod dropped_packets;
mod held_watches;
mod late_routes;
mod living_flows;
mod many_calls;
mod many_messages;
mod restored_stores;
mod stale_beliefs;

use crate::play;

/// Plays seeds; none may violate anything.
fn assert_hold(seeds: &[u64]) {
    for seed in seeds {
        let violations = play(*seed, None);
        assert!(violations.is_empty(), "seed {seed}: {:?}", violations[0]);
    }
}
