//! An entry that is good again just after a restart of all is not read for 1.2 s.
//!
//! What happened: another writer spoils an entry while all balancers are down. They read it so; 0.3 s later it is good again,
//! and 0.6 s after that the store says nothing for 3.5 s. Packets of open flows at its backend server wait for all that time.
//!
//! Why: one that has just started reads lists at once and begins watches 1.2 s later, as most of those that start together stop
//! following before. What showed it: no `WatchRole` and no `BackendChanged` between 7.56 and 8.36 s, and none of 8.36 s before 11.8 s.

use super::assert_hold;

#[test]
fn an_entry_that_is_good_again_is_read_soon_after_a_restart_of_all() {
    assert_hold(&[2_005_116]);
}
