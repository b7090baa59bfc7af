//! A balancer resets a flow that its backend server answered a moment ago.
//!
//! A zone is partitioned, and the entries of its backend servers lapse although they run and serve
//! the callers of their zone. A balancer that served such a flow before sends its caller a
//! proactive reset, or a balancer that receives the flow just after the partition answers its first
//! packet with a reset.
//!
//! Cause: the balancer took the lapse for an end, by its own clock or because it had seen no
//! answer. In a partition both also apply to a running backend server.
//!
//! In the trace: `BackendChanged` with the phase gone and the end lapsed, learned during the
//! partition or just after it, and then a `Reset` with the reason gone, by a balancer that saw the
//! flow's last packet seconds before or has just seen its first one; between the two, the caller
//! got an answer through another balancer.

use super::assert_no_violations;

/// The flow went through the balancer before, and has been served through another one since.
#[test]
fn a_flow_that_went_on_elsewhere_stays() {
    assert_no_violations(&[28_119, 30_073, 3_030_339]);
}

/// The flow moves to a balancer that has seen no traffic of its backend server, before any balancer
/// has detected that the store does not answer.
#[test]
fn a_flow_that_moves_to_a_balancer_without_traffic_of_its_backend_stays() {
    assert_no_violations(&[24_229, 3_013_017, 3_032_110, 3_036_505]);
}

/// A flow moves to a balancer whose zone is partitioned from its backend server. Its packet is lost
/// in the partition, and the retransmission arrives 26 ms after the partition, before a message of
/// any balancer in the other zone has arrived again.
#[test]
fn a_flow_that_moves_in_a_cut_and_sends_just_after_it_stays() {
    assert_no_violations(&[2_300_695]);
}

/// As above, in other series: the packet that is to show life is lost in the partition, and its copy
/// comes just after the end of the partition.
#[test]
fn flows_that_send_in_a_cut_and_just_after_it_stay() {
    assert_no_violations(&[3_610_008, 6_504_783]);
}
