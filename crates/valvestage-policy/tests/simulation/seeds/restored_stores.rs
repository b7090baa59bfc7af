//! A store was restored from an older copy, and balancers believe in backend servers that have ended.

use super::assert_hold;

/// A backend server that has crashed starts again under its name while balancers contest entries of the copy.
#[test]
fn a_start_shortly_after_a_restore_is_known_in_time() {
    assert_hold(&[5_003_403, 5_004_777]);
}

/// Watches that are to confirm that the store has settled end 20 ms after it has. When a change came just before, the next watch lasted
/// 1.5 s, and contested entries were admitted that much later.
#[test]
fn contested_entries_are_admitted_soon_after_the_store_has_settled() {
    assert_hold(&[5_000_703, 5_001_091]);
}

/// A backend server leaves in a cut, and its entry goes. Balancers that list the store after the cut miss the entry, which they know of a former
/// era, and took a peer's word of the new one for its return, though the list was later. `BackendMissing` and `BackendChanged` with
/// the phase draining stand 4 ms apart at balancers 5 and 8.
#[test]
fn an_entry_of_an_older_copy_is_not_believed_in_after_a_cut() {
    assert_hold(&[5_005_953]);
}

/// The store fails again while an entry of the copy is contested, so that it neither lapses nor can its successor be written, and it is
/// believed in when the time is over. The successor, written later, was taken for one that had ended in favour of it, for good.
#[test]
fn a_start_is_learned_that_an_entry_of_the_copy_seemed_to_end() {
    assert_hold(&[5_100_443]);
}
