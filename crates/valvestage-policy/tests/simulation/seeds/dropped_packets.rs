//! Balancers repeatedly drop packets of an open flow whose backend server is running and reachable.
//!
//! All balancers restart while a zone is partitioned. The entries of its backend servers have
//! lapsed, so that no balancer knows the backend servers of the flows there. After the partition,
//! three or more packets of one request are dropped.
//!
//! Cause: packets that could not be decided about yet were dropped, including those that had waited
//! for the balancer to be ready, and the caller doubles its delay before each further
//! retransmission. If the store reports the entry only after the caller's deadline, no balancer can
//! prevent the failure.
//!
//! In the trace: `Dropped` with the reason unknown token for each transmission, by a balancer whose
//! `RoutesInForce` has the same millisecond, while the store has no entry of the backend server;
//! and its `BackendChanged` 0.4 to 2 s later.

use super::assert_no_violations;

#[test]
fn packets_for_backend_servers_that_nobody_knows_yet_are_not_dropped() {
    assert_no_violations(&[
        3_001_437, 3_004_206, 3_006_945, 3_015_798, 3_019_315, 3_024_329, 3_026_725, 3_028_257,
        3_032_326,
    ]);
}

/// Two zones are partitioned at once. A balancer in one of them read the store before and records
/// the entries as missing. The balancers in the other zone read the store after the entries lapsed,
/// and no peer reports the entries to them.
#[test]
fn packets_for_backend_servers_that_one_balancer_knows_are_not_dropped() {
    assert_no_violations(&[3_023_681]);
}

/// Balancers 6 to 8 restart while the entry of the flow's backend server is spoiled, and list the
/// store in that time. They hold a packet with its token (`Held`) and never learn the entry from
/// those that know it as unusable, while the store is silent.
#[test]
fn a_flow_goes_on_at_balancers_that_listed_the_store_while_its_entry_was_spoiled() {
    assert_no_violations(&[1_303_859]);
}
