//! After a restore of the store from a backup, balancers take ended backend servers for running
//! ones, or learn of new ones too late.

use super::assert_no_violations;

/// A crashed backend server restarts under its name while entries of the backup are in conflict.
#[test]
fn a_start_shortly_after_a_restore_is_known_in_time() {
    assert_no_violations(&[5_003_403, 5_004_777]);
}

/// The watches that are to confirm that the store has settled end 20 ms after it has. If a change
/// came just before, the next watch lasted 1.5 s, and conflicting entries were accepted that much
/// later.
#[test]
fn contested_entries_are_admitted_soon_after_the_store_has_settled() {
    assert_no_violations(&[5_000_703, 5_001_091]);
}

/// A backend server drains and ends in a partition, and its entry is deleted. Balancers that list
/// the store after the partition mark the entry, known to them from a former era, as missing. They
/// took a peer's report of the entry in the new era for its return, although the list was later: in
/// the trace `BackendMissing` and `BackendChanged` with the phase draining are 4 ms apart at
/// balancers 5 and 8.
#[test]
fn an_entry_of_an_older_copy_is_not_believed_in_after_a_cut() {
    assert_no_violations(&[5_005_953]);
}

/// The store fails again while an entry of the backup is in conflict. The entry does not lapse
/// meanwhile, its successor cannot be written, and the entry is accepted once the store counts as
/// settled. The successor, written later, was taken permanently for one that the old entry had
/// superseded.
#[test]
fn a_start_that_an_older_entry_seemed_to_supersede_is_learned() {
    assert_no_violations(&[5_100_443]);
}

/// As [`a_start_shortly_after_a_restore_is_known_in_time`], and one seed in which the store is not
/// restored. Not traced one by one.
#[test]
fn starts_under_a_former_name_are_known_in_time() {
    assert_no_violations(&[2_600_967, 5_610_105, 5_306_763, 5_307_513, 5_307_640]);
}
