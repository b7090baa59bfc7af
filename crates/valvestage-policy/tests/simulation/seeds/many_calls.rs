//! Two followers make 53 calls to the store in 5 s, nine seconds after the last fault.

use super::assert_hold;

#[test]
fn two_followers_make_few_calls_after_many_faults() {
    assert_hold(&[2_023_646]);
}
