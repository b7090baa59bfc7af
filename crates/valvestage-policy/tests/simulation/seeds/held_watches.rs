//! An entry that becomes usable again just after a restart of all balancers is not read for 1.2 s.
//!
//! Another writer makes an entry unusable while all balancers are down. They read it in this state.
//! After 0.3 s the entry is usable again, and 0.6 s later the store stops answering for 3.5 s.
//! Packets of open flows to its backend server are held for all that time.
//!
//! Cause: a balancer that has just started lists the store at once, but begins its watches 1.2 s
//! later, since most of the balancers that start together stop following the store before that. In
//! the trace: no `WatchRole` and no `BackendChanged` between 7.56 and 8.36 s, and the change of
//! 8.36 s only at 11.8 s.

use super::assert_no_violations;

#[test]
fn an_entry_that_is_good_again_is_read_soon_after_a_restart_of_all() {
    assert_no_violations(&[2_005_116]);
}
