//! Two followers make 53 calls to the store in 5 s, nine seconds after the last fault.
//!
//! After an outage of the store one balancer after the other reads the configuration, which has
//! 4,850 addresses, and none of them keeps following the store.
//!
//! The cause is the same as in `many_messages`, and so are the trace lines, for twelve balancers in
//! turn from 19 to 24 s.

use super::assert_no_violations;

#[test]
fn two_followers_make_few_calls_after_many_faults() {
    assert_no_violations(&[2_023_646]);
}
