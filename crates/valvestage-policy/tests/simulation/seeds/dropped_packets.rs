//! Balancers drop packet after packet of an open flow whose backend server lives and is reached.
//!
//! What happens: all balancers restart while a zone is cut off. The entries of its backend servers have lapsed, so that no
//! balancer knows where the flows there are. Once the cut is over, three and more packets of one request are dropped.
//!
//! Why: what cannot be decided yet was dropped, also the packets that had waited for the balancer to be ready, and the next
//! copy comes only after twice the time. Where the store's word comes later than the caller's deadline, nobody can help.
//!
//! What showed it: `Dropped` with the reason unknown token for each copy, by a balancer whose `RoutesInForce` came in the same
//! millisecond, while the store had no entry of the backend server; its `BackendChanged` some 0.4 to 2 s later.

use super::assert_hold;

#[test]
fn packets_for_backend_servers_that_nobody_knows_yet_are_not_dropped() {
    assert_hold(&[
        3_001_437, 3_004_206, 3_006_945, 3_015_798, 3_019_315, 3_024_329, 3_026_725, 3_028_257,
        3_032_326,
    ]);
}

/// Two zones are cut off at once. A balancer in one of them has read the store before, and holds the entries for missing; those in the other one read
/// the store after the entries lapsed, and nobody tells them.
#[test]
fn packets_for_backend_servers_that_one_balancer_knows_are_not_dropped() {
    assert_hold(&[3_023_681]);
}
