//! Balancers drop packet after packet of an open flow whose backend server lives and is reached.
//!
//! What is seen: all balancers restart while a zone is cut off. The entries of its backend servers have lapsed, so that no
//! balancer knows where the flows there are; once the cut is over, three and more packets of one request are dropped.

use super::assert_hold;

#[test]
fn packets_for_backend_servers_that_nobody_knows_yet_are_not_dropped() {
    assert_hold(&[
        3_001_437, 3_004_206, 3_006_945, 3_015_798, 3_019_315, 3_023_681, 3_024_329, 3_026_725,
        3_028_257, 3_032_326,
    ]);
}
