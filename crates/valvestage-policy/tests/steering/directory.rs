//! Knowledge of backend servers does not depend on the order in which changes arrive.

use std::collections::HashSet;

use valvestage_policy::steering::{BackendDirectory, BackendEnd, BackendEntry, BackendPhase};

use crate::fixtures::{OTHER_ZONE, OWN_ZONE, at, backend, millis, seeded, start};

fn draining(instance: u64, revision: u64) -> BackendEntry {
    BackendEntry {
        position: at(revision),
        phase: BackendPhase::Draining,
        ..backend(instance, "core", OWN_ZONE)
    }
}

#[test]
fn the_highest_revision_wins() {
    let mut directory = BackendDirectory::default();
    directory.put(draining(5, 9));

    assert!(!directory.put(backend(5, "core", OWN_ZONE)));
    assert_eq!(directory.get(5).unwrap().phase, BackendPhase::Draining);
}

#[test]
fn an_older_change_does_not_bring_a_gone_entry_back() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.put(backend(5, "core", OWN_ZONE));
    directory.mark_gone(5, at(20), now);

    assert!(!directory.put(draining(5, 19)));
    assert!(directory.get(5).unwrap().is_gone());
}

#[test]
fn an_entry_that_returns_is_no_longer_gone() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.put(backend(5, "core", OWN_ZONE));
    directory.mark_gone(5, at(20), now);

    assert!(directory.put(BackendEntry { position: at(25), ..backend(5, "core", OWN_ZONE) }));
    assert!(!directory.get(5).unwrap().is_gone());
}

#[test]
fn a_peer_entry_that_was_removed_long_ago_is_obsolete() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.complete(at(1));
    directory.put(backend(5, "core", OWN_ZONE));
    directory.mark_gone(5, at(20), now);
    directory.complete(at(30));
    directory.forget_gone(now + millis(1));

    assert!(directory.is_obsolete(&backend(5, "core", OWN_ZONE), start()));
    assert!(!directory.is_obsolete(&backend(31, "core", OWN_ZONE), start()));
    assert!(!directory.knows_changes_after(at(19)), "a removal after 19 was forgotten");
    assert!(directory.knows_changes_after(at(20)));
}

#[test]
fn entries_missing_after_an_outage_may_return() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.put(backend(5, "core", OWN_ZONE));
    directory.put(backend(6, "core", OWN_ZONE));
    directory.complete(at(10));

    directory.retain_listed(&HashSet::new(), at(40), Some(now + millis(2_000)), now);
    directory.complete(at(40));
    assert!(!directory.get(5).unwrap().is_gone());
    assert_eq!(directory.complete_until(), at(10), "not complete while entries are missing");

    // One returns under the same id, the other does not.
    directory.put(BackendEntry { position: at(41), ..backend(5, "core", OWN_ZONE) });
    assert_eq!(directory.expire_missing(now + millis(2_000)), [6]);
    assert!(!directory.get(5).unwrap().is_gone());
    assert!(directory.get(6).unwrap().is_gone());
    assert_eq!(directory.complete_until(), at(40));
    assert!(directory.changed_at() > at(10), "peers have to ask for it");
}

#[test]
fn entries_absent_without_an_outage_are_gone_at_once() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.put(backend(5, "core", OWN_ZONE));
    directory.put(backend(50, "core", OWN_ZONE));

    directory.retain_listed(&HashSet::new(), at(40), None, now);
    assert!(directory.get(5).unwrap().is_gone());
    assert!(!directory.get(50).unwrap().is_gone(), "it is newer than the list");
}

#[test]
fn a_token_names_one_incarnation() {
    let mut directory = BackendDirectory::default();
    directory.put(backend(5, "core", OWN_ZONE));
    directory.put(backend(6, "photos", OTHER_ZONE));

    let token = BackendDirectory::token_of(6);
    assert_eq!(directory.by_token(token).unwrap().service, "photos");
    assert!(directory.by_token(BackendDirectory::token_of(7)).is_none());
}

/// Returns what is known after some changes, as incarnations and revisions.
fn known_after(changes: &[(u8, u8, bool)]) -> Vec<(u64, u64)> {
    let now = start();
    let mut directory = BackendDirectory::default();

    for (instance, revision, leaves) in changes {
        let (instance, revision) = (u64::from(instance % 8) + 1, u64::from(*revision) + 1);
        let mut entry =
            BackendEntry { position: at(revision), ..backend(instance, "core", OWN_ZONE) };
        if *leaves {
            entry.phase = BackendPhase::Gone { since: now, end: BackendEnd::Left };
        }
        directory.put(entry);
    }
    let mut known: Vec<_> =
        directory.iter().map(|entry| (entry.instance, entry.position.revision)).collect();
    known.sort_unstable();
    known
}

#[test]
fn the_order_in_which_changes_arrive_does_not_matter() {
    fn property(changes: Vec<(u8, u8, bool)>) -> bool {
        let mut reversed = changes.clone();
        reversed.reverse();
        known_after(&changes) == known_after(&reversed)
    }

    seeded().quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn tokens_are_never_zero() {
    fn property(instance: u64) -> bool {
        BackendDirectory::token_of(instance) != 0
    }

    seeded().quickcheck(property as fn(u64) -> bool);
}

#[test]
fn removals_before_the_first_list_are_not_known() {
    let mut directory = BackendDirectory::default();
    directory.put(backend(5, "core", OWN_ZONE));
    directory.complete(at(40));

    assert!(
        !directory.knows_changes_after(at(39)),
        "peers may know an entry that was removed before 40"
    );
    assert!(directory.knows_changes_after(at(40)));
}

#[test]
fn a_peer_that_does_not_know_that_an_entry_went_does_not_bring_it_back() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.put(backend(1, "core", OWN_ZONE));
    directory.complete(at(1));
    directory.mark_missing(1, now + millis(2_300));

    assert!(directory.apply_peer_entry(backend(1, "core", OWN_ZONE), now).is_empty());
    assert!(directory.has_missing());
    // The store shows the entry again at the same position: it was never removed. Later a peer
    // reports that it has returned.
    assert_eq!(directory.apply_entry(backend(1, "core", OWN_ZONE), now), [1]);
    directory.mark_missing(1, now + millis(2_300));
    let returned = BackendEntry { position: at(9), ..backend(1, "core", OWN_ZONE) };
    assert_eq!(directory.apply_peer_entry(returned, now), [1]);
    assert!(!directory.has_missing());
}

#[test]
fn a_peer_that_is_behind_what_was_read_does_not_bring_a_missing_entry_back() {
    let (mut directory, now) = (BackendDirectory::default(), start());
    directory.put(backend(1, "core", OWN_ZONE));
    directory.complete(at(1));
    // The entry lapsed, returned and was removed again while this balancer read nothing. The list
    // of revision 9 does not have the entry.
    directory.mark_missing(1, now + millis(2_300));
    directory.complete(at(9));

    let peer_entry = BackendEntry { position: at(6), ..backend(1, "core", OWN_ZONE) };
    directory.apply_peer_entry(peer_entry, now);
    assert!(directory.has_missing());
    assert_eq!(directory.get(1).unwrap().position, at(6));
    // The next list began after the deadline of the missing entry.
    assert_eq!(directory.expire_missing(now + millis(2_400)), [1]);
    assert_eq!(directory.complete_until(), at(9));
}
