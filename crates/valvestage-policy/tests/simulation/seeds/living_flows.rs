//! A balancer ends a flow that its backend server answered a moment ago.
//!
//! What is seen: a zone is cut off, and the entries of its backend servers lapse, though they live and go on serving the callers
//! of their zone. A balancer that restarts, freezes or stands outside of the zone then resets such a flow, at the end of the
//! cut or some 100 ms after it.

use super::assert_hold;

/// The flow had gone through the balancer before, and was served through another one since.
#[test]
fn a_flow_that_went_on_elsewhere_stays() {
    assert_hold(&[28_119, 30_073, 3_030_339]);
}

/// The flow comes to a balancer that has seen nothing of its backend server, while nobody has noticed yet that the store says
/// nothing.
#[test]
fn a_flow_that_comes_to_one_that_saw_nothing_stays() {
    assert_hold(&[24_229, 3_013_017, 3_032_110, 3_036_505]);
}
