//! Nine seconds after the last fault a balancer still believes in a backend server that is gone.
//!
//! What is seen: backend servers of a zone that is cut off end, and others start under their names or in their places.

use super::assert_hold;

#[test]
fn a_backend_server_that_ended_in_a_cut_is_not_believed_in_for_good() {
    assert_hold(&[2_014_712, 2_016_408]);
}
