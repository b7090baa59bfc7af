//! A balancer ends a flow that its backend server answered a moment ago.
//!
//! What happens: a zone is cut off, and the entries of its backend servers lapse, though they live and go on serving the callers
//! of their zone. A balancer that served such a flow before tells its caller unasked that it is over, or one that gets it just
//! after the cut answers its first packet so.
//!
//! Why: the balancer took the lapse for an end, by its own clock or since it had seen no answer. A cut makes both true of a
//! backend server that lives.
//!
//! What showed it: `BackendChanged` with the phase gone and the end lapsed, learned during the cut or just after it, then `Reset`
//! with the reason gone by a balancer whose last packet of the flow was seconds old, or was the first one; and the answer that
//! the caller had got through another balancer between the two.

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

/// A flow moves to a balancer whose zone is cut off from its backend server. Its packet is lost in the cut, and the copy comes 26 ms after the
/// end of the cut, when no balancer of the other zone has been heard again.
#[test]
fn a_flow_that_moves_in_a_cut_and_sends_just_after_it_stays() {
    assert_hold(&[2_300_695]);
}
