//! Some balancers go on sending messages for good.
//!
//! What is seen: a zone is cut off, calls fall silent, and the configuration grows. Eleven seconds later each balancer still sends 156 messages in 5 s, where 50 are usual.

use super::assert_hold;

#[test]
fn messages_become_few_again_after_a_large_configuration() {
    assert_hold(&[4_002_129]);
}
