//! Guards against ends of living backend servers that nothing corrects.
//!
//! A balancer concludes an end wrongly, all others take it over, and the entry in the store does not
//! change, so that no balancer read it again: its open flows were reset wherever they appeared, and
//! it got no new ones until its next start.

use valvestage_policy::steering::{
    BackendEnd, BackendEntry, BackendPhase, BackendUpdate, EntryChange, Knowledge, StoreLink,
    StoreReply,
};

use crate::comparisons::{count_live_views, report_gone, settled};
use crate::fixtures::{OWN_ZONE, at, backend, knowledge, millis, name_of, start};

/// The backend server whose end is concluded wrongly.
const SERVER: u64 = 1;

/// Revisions of the wrong end, of a list that shows the entry, and of the removal of the entry.
const WRONG_END: u64 = 1_000;
const LIST: u64 = 1_100;
const REMOVAL: u64 = 1_200;

fn present() -> BackendEntry {
    backend(SERVER, "core", OWN_ZONE)
}

/// Returns the entry as another balancer reports it that has corrected its end.
fn corrected() -> BackendEntry {
    BackendEntry { listed_at: Some(at(LIST)), ..present() }
}

fn ended(revision: u64, end: BackendEnd) -> BackendEntry {
    let phase = BackendPhase::Gone { since: start(), end };

    BackendEntry { position: at(revision), phase, ..present() }
}

fn known() -> Knowledge {
    knowledge(&[present(), backend(2, "core", OWN_ZONE)])
}

/// Processes a list of the store with the entry of a backend server.
fn read_list(known: &mut Knowledge, entry: BackendEntry) {
    let objects = [entry, backend(2, "core", OWN_ZONE)].map(|entry| BackendUpdate {
        name: entry.name,
        position: entry.position,
        change: EntryChange::Written(entry),
    });
    let reply = StoreReply::Page { objects: objects.into(), next_after: None, position: at(LIST) };

    StoreLink::new(None, start()).on_backends_reply(known, reply, start());
}

#[test]
fn a_list_corrects_each_end_but_that_by_a_successor() {
    for end in [BackendEnd::Left, BackendEnd::Lapsed, BackendEnd::LapsedUnseen] {
        let mut known = known();
        known.directory.apply_peer_entry(ended(WRONG_END, end), start());
        assert!(!known.directory.is_live(SERVER));

        read_list(&mut known, present());
        assert!(known.directory.is_live(SERVER), "{end:?}");
        assert!(known.directory.owns_token(&present()), "{end:?}");
    }

    let mut known = known();
    let successor = BackendEntry {
        instance: 101,
        name: name_of(101),
        position: at(WRONG_END + 1),
        ..present()
    };
    known.directory.apply_entry(successor, start());
    read_list(&mut known, present());
    assert!(!known.directory.is_live(SERVER));
}

/// Guards against a return of a backend server by a list that was read before it ended.
#[test]
fn a_list_does_not_correct_a_later_end() {
    let mut known = known();
    known.directory.mark_gone(SERVER, at(REMOVAL), start());

    read_list(&mut known, present());
    assert!(!known.directory.is_live(SERVER));
}

/// Guards against a wrong end that wins, or a removal that is lost, by the order in which other
/// balancers report them.
#[test]
fn reports_in_any_order_lead_to_the_same_state() {
    let reports = [ended(WRONG_END, BackendEnd::LapsedUnseen), corrected()];
    let removal = ended(REMOVAL, BackendEnd::Left);

    for (first, second) in [(0, 1), (1, 0)] {
        let mut directory = known().directory;
        for index in [first, second, first] {
            directory.apply_peer_entry(reports[index].clone(), start());
        }
        assert!(directory.is_live(SERVER), "{first}, {second}, {first}");
        let wrong = [(SERVER, at(WRONG_END))].into();
        directory.apply_peer_removals(&wrong, at(WRONG_END), None, start());
        assert!(directory.is_live(SERVER), "{first}, {second}, {first}, and removed");

        for place in 0..=2 {
            let mut order = vec![&reports[first], &reports[second]];
            order.insert(place, &removal);
            let mut directory = known().directory;
            for report in order {
                directory.apply_peer_entry(report.clone(), start());
            }
            assert!(!directory.is_live(SERVER), "{first}, {second}, removal at place {place}");
        }
    }
}

/// Guards against a removal that counts for less than the list before it, since the backend server
/// was taken for gone already when its entry was removed.
#[test]
fn a_removal_after_a_wrong_end_is_not_corrected() {
    let mut known = known();
    known.directory.apply_peer_entry(ended(WRONG_END, BackendEnd::LapsedUnseen), start());
    let removal = BackendUpdate {
        name: name_of(SERVER),
        position: at(REMOVAL),
        change: EntryChange::Deleted,
    };
    let reply = StoreReply::Changes { objects: vec![removal], position: at(REMOVAL) };
    StoreLink::new(None, start()).on_backends_reply(&mut known, reply, start());

    known.directory.apply_peer_entry(corrected(), start());
    assert!(!known.directory.is_live(SERVER));
}

/// Guards against a wrong end that lasts until the store fails the next time: a balancer that
/// follows the store verifies what others conclude.
#[test]
fn followers_of_the_store_correct_a_wrong_end_without_an_outage() {
    let mut deployment = settled(8);
    report_gone(&mut deployment, 3, 2);

    deployment.run(millis(8_000));
    assert_eq!(count_live_views(&deployment, 2), 8);
}

/// Guards against lists without end while balancers disagree.
#[test]
fn ends_are_verified_by_few_lists() {
    let mut quiet = settled(8);
    let before = quiet.store.calls;
    quiet.run(millis(9_000));
    let usual = quiet.store.calls - before;

    let mut deployment = settled(8);
    let before = deployment.store.calls;
    for _ in 0..9 {
        report_gone(&mut deployment, 3, 2);
        deployment.run(millis(1_000));
    }
    assert!(deployment.store.calls - before <= usual + 2 * deployment.watchers() + 2);
}
