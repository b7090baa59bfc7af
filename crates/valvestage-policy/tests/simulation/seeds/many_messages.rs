//! Balancers send three times as many messages as usual, for ten seconds.
//!
//! A zone is partitioned, store calls stop answering, and the configuration grows. For ten seconds
//! no balancer of that zone follows the store, sixteen balancers of the other zone follow it
//! instead, and all of them notify each other of every answer.
//!
//! Cause: a balancer whose calls had failed once stopped in favour of others 0.4 s into its next
//! attempt, but reading the configuration takes 0.7 s. In the trace, for each balancer in turn:
//! `WatchRole` true, `WatchRole` false 0.5 s later, and `StoreLink` answers true 0.17 s after that.

use super::assert_no_violations;

#[test]
fn messages_become_few_again_after_a_large_configuration() {
    assert_no_violations(&[4_002_129]);
}
