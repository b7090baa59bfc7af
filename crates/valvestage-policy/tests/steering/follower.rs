//! Listing and watching one kind of object in the store, with failures, lost history and new eras.

use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_policy::steering::store::store_follower::{
    Completeness, FollowerUpdate, WATCH_WAIT,
};
use valvestage_policy::steering::{
    Decision, ListFreshness, StoreCall, StoreFollower, StoreKind, StoreReply,
};

use crate::fixtures::{at, millis, start};

fn page(objects: &[u32], next: Option<&str>, revision: u64) -> StoreReply<u32> {
    let next_after = next.map(str::to_owned);

    StoreReply::Page { objects: objects.to_vec(), next_after, position: at(revision) }
}

fn changes(objects: &[u32], revision: u64) -> StoreReply<u32> {
    StoreReply::Changes { objects: objects.to_vec(), position: at(revision) }
}

fn watched_revision(call: Option<StoreCall>) -> Option<u64> {
    match call {
        Some(StoreCall::Watch { revision, .. }) => Some(revision),
        _ => None,
    }
}

#[test]
fn all_pages_are_read_and_the_watch_begins_at_the_first_one() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());

    assert_eq!(
        follower.next_call(at(0), now),
        Some(StoreCall::List { after: None, freshness: ListFreshness::Current })
    );
    let update = follower.on_reply(page(&[1, 2], Some("b"), 10), now);
    assert_eq!(update.completes, Completeness::ListBegins);
    let second =
        Some(StoreCall::List { after: Some("b".to_owned()), freshness: ListFreshness::Current });
    assert_eq!(follower.next_call(at(0), now), second);

    // Something has changed between the two pages: the watch replays it.
    let update = follower.on_reply(page(&[3], None, 15), now);
    let ends = Completeness::ListEnds { position: at(10), after_outage: false, single_page: false };
    assert_eq!(update, FollowerUpdate { objects: vec![3], completes: ends });
    assert_eq!(watched_revision(follower.next_call(at(0), now)), Some(10));
}

#[test]
fn there_is_one_call_at_a_time() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());

    assert!(follower.next_call(at(0), now).is_some());
    assert!(follower.next_call(at(0), now + millis(5_000)).is_none());
}

#[test]
fn a_watch_goes_on_where_it_ended_or_where_peers_are() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());
    follower.next_call(at(0), now);
    follower.on_reply(page(&[], None, 10), now);
    follower.next_call(at(0), now);

    let update = follower.on_reply(changes(&[4], 12), now);
    assert_eq!(update.completes, Completeness::Until(at(12)));
    let later = now + millis(500);
    assert_eq!(watched_revision(follower.next_call(at(20), later)), Some(20));
}

#[test]
fn a_revision_never_goes_back() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());
    follower.next_call(at(0), now);
    follower.on_reply(page(&[], None, 10), now);
    follower.next_call(at(0), now);

    follower.on_reply(changes(&[], 8), now);
    assert_eq!(watched_revision(follower.next_call(at(0), now)), Some(10));
}

#[test]
fn history_that_is_gone_leads_to_a_new_list_without_an_outage() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());
    follower.next_call(at(0), now);
    follower.on_reply(page(&[1], None, 10), now);
    follower.next_call(at(0), now);

    follower.on_reply(StoreReply::<u32>::HistoryGone, now);
    assert_eq!(
        follower.next_call(at(0), now),
        Some(StoreCall::List { after: None, freshness: ListFreshness::Current })
    );
    let update = follower.on_reply(page(&[1], None, 30), now);
    let ends = Completeness::ListEnds { position: at(30), after_outage: false, single_page: true };
    assert_eq!(update.completes, ends);
}

#[test]
fn failures_are_followed_by_pauses_that_grow_to_a_limit() {
    let (mut follower, mut now) = (StoreFollower::new(StoreKind::Configuration), start());
    let mut pauses = Vec::new();

    for _ in 0..6 {
        assert!(follower.next_call(at(0), now).is_some());
        follower.on_reply(StoreReply::<u32>::Failed, now);
        let failed_at = now;
        while follower.next_call(at(0), now).is_none() {
            now += millis(10);
        }
        follower.on_reply(StoreReply::<u32>::Failed, now);
        pauses.push(now - failed_at);
        now += millis(1_000);
    }
    assert!(pauses.is_sorted());
    assert!(pauses.iter().all(|pause| *pause <= millis(1_000)));
}

#[test]
fn the_first_list_after_failures_says_so() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());
    follower.next_call(at(0), now);
    follower.on_reply(StoreReply::<u32>::Failed, now);

    let later = now + millis(1_000);
    follower.next_call(at(0), later);
    let update = follower.on_reply(page(&[1], None, 10), later);
    let ends = Completeness::ListEnds { position: at(10), after_outage: true, single_page: true };
    assert_eq!(update.completes, ends);
}

#[test]
fn a_list_that_is_asked_for_again_is_read_to_its_end() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Configuration), start());
    follower.next_call(at(0), now);
    follower.on_reply(page(&[1], None, 10), now);
    follower.next_call(at(0), now);
    follower.relist();
    assert!(follower.next_call(at(0), now).is_none(), "the watch goes on");
    follower.on_reply(changes(&[], 10), now);

    follower.relist();
    assert_eq!(
        follower.next_call(at(0), now),
        Some(StoreCall::List { after: None, freshness: ListFreshness::Current })
    );
    follower.on_reply(page(&[1], Some("b"), 11), now);
    follower.relist();
    let second =
        Some(StoreCall::List { after: Some("b".to_owned()), freshness: ListFreshness::Current });
    assert_eq!(follower.next_call(at(0), now), second);
}

/// Creates a follower that has just received a change.
fn follower_after_change(kind: StoreKind, now: Instant) -> StoreFollower {
    let mut follower = StoreFollower::new(kind);
    follower.next_call(at(0), now);
    follower.on_reply(page(&[], None, 10), now);
    follower.next_call(at(0), now);
    follower.on_reply(changes(&[4], 12), now);
    follower
}

#[test]
fn changes_of_backend_servers_that_come_together_cost_one_call() {
    let now = start();
    let mut follower = follower_after_change(StoreKind::Backends, now);

    assert!(follower.next_call(at(0), now + millis(390)).is_none());
    let call = follower.next_call(at(0), now + millis(410));
    // The pause shortens the watch, so that answers are never further apart than without changes.
    let Some(StoreCall::Watch { wait, .. }) = call else { panic!("{call:?}") };
    assert!(wait + millis(410) <= WATCH_WAIT, "{wait:?}");
}

#[test]
fn consecutive_configurations_are_read_after_a_short_pause() {
    let now = start();
    let mut follower = follower_after_change(StoreKind::Configuration, now);

    assert!(follower.next_call(at(0), now + millis(110)).is_some());
}

#[test]
fn a_new_era_and_a_lost_history_are_logged() {
    let (mut follower, now) = (StoreFollower::new(StoreKind::Backends), start());
    follower.next_call(at(0), now);
    follower.on_reply(page(&[], None, 26), now);
    assert!(follower.take_decisions().is_empty());

    follower.next_call(at(0), now);
    follower.on_reply(StoreReply::<u32>::HistoryGone, now);
    let gone = Decision::HistoryGone { kind: StoreKind::Backends, position: at(26) };
    assert_eq!(follower.take_decisions(), [gone]);

    follower.next_call(at(0), now);
    let position = StorePosition::new(1, 22);
    follower.on_reply::<u32>(StoreReply::Page { objects: vec![], next_after: None, position }, now);
    let era = Decision::StoreEra { kind: StoreKind::Backends, former: 0, position };
    assert_eq!(follower.take_decisions(), [era]);
}
