//! Guards against flows placed on dead backend servers whose addresses were reassigned.
//!
//! A backend server dies, and its address is given to another one while its own entry has not
//! lapsed yet. If the new entry does not end the old one, balancers place new flows on the dead
//! backend server, and open flows there wait, until the old entry lapses.

use std::time::Instant;

use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendPhase, BackendUpdate, EntryChange, Knowledge,
    PacketVerdict, ResetReason, SteeringOptions, SteeringPolicy, StoreLink, StoreReply,
};

use crate::fixtures::{
    OWN_ZONE, at, backend, data, flow, knowledge, millis, name_of, opening, start,
};

/// Backend server whose address is given to another one.
const FORMER: u64 = 1;

/// Successor: another incarnation at the same address.
const SUCCESSOR: u64 = 101;

fn successor() -> BackendEntry {
    let name = name_of(SUCCESSOR);

    BackendEntry {
        instance: SUCCESSOR,
        name,
        position: at(2_000),
        ..backend(FORMER, "core", OWN_ZONE)
    }
}

fn site() -> (Knowledge, Instant) {
    (knowledge(&[backend(FORMER, "core", OWN_ZONE), backend(2, "core", OWN_ZONE)]), start())
}

fn policy() -> SteeringPolicy {
    SteeringPolicy::new(SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() }, 1)
}

/// Returns a policy with a flow at the former backend server, which was answered 20 ms after `now`.
fn with_answered_flow(known: &Knowledge, now: Instant) -> SteeringPolicy {
    let mut policy = policy();
    let token = BackendDirectory::token_of(FORMER);

    policy.on_packet(known, &data(flow(1), token, 1_001, 100, 501), now);
    policy.on_packet(known, &data(flow(1), token, 1_101, 0, 901), now + millis(20));
    policy
}

fn is_gone(known: &Knowledge) -> bool {
    known.directory.get(FORMER).is_some_and(BackendEntry::is_gone)
}

#[test]
fn an_entry_at_the_same_address_ends_its_predecessor() {
    let (mut known, now) = site();
    let mut policy = policy();
    let token = BackendDirectory::token_of(FORMER);
    policy.on_packet(&known, &data(flow(1), token, 1_001, 100, 501), now);

    assert_eq!(known.directory.apply_entry(successor(), now), [FORMER, SUCCESSOR]);
    let verdict = policy.on_packet(&known, &data(flow(1), token, 1_101, 100, 501), now);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::BackendGone));
    for port in 2..20 {
        let verdict = policy.on_packet(&known, &opening(flow(port), 0), now);
        assert!(!matches!(verdict, PacketVerdict::Forward { instance: FORMER, .. }));
    }
}

#[test]
fn an_entry_of_another_service_ends_its_predecessor_and_flows_are_reset_proactively() {
    let (mut known, now) = site();
    // The former backend server has just answered: still, an address belongs to one process only.
    let mut policy = with_answered_flow(&known, now);

    let other = BackendEntry { service: "photos".to_owned(), ..successor() };
    known.directory.apply_entry(other, now + millis(30));
    policy.reset_ended_flows(&mut known, now + millis(100));
    let resets: Vec<_> = policy.take_resets().into_iter().map(|reset| reset.flow).collect();
    assert_eq!(resets, [flow(1)]);
}

#[test]
fn a_lapse_reported_by_a_peer_before_the_successor_is_an_end() {
    let (mut known, now) = site();
    let mut policy = with_answered_flow(&known, now);
    let token = BackendDirectory::token_of(FORMER);

    assert!(known.directory.mark_gone(FORMER, successor().position, now + millis(30)));
    known.directory.apply_entry(successor(), now + millis(30));
    let request = data(flow(1), token, 1_101, 100, 901);
    let verdict = policy.on_packet(&known, &request, now + millis(40));
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::BackendGone));
}

#[test]
fn an_older_entry_at_the_same_address_ends_no_backend_server() {
    let (mut known, now) = site();

    // A peer reports the entry late: it is older than the present one.
    known.directory.apply_entry(BackendEntry { position: at(0), ..successor() }, now);
    assert!(!is_gone(&known));
}

#[test]
fn entries_read_at_startup_end_no_backend_server() {
    let mut known = Knowledge::default();
    let now = start();

    known.directory.apply_entry(backend(FORMER, "core", OWN_ZONE), now);
    known.directory.apply_entry(successor(), now);
    assert!(!is_gone(&known));
}

#[test]
fn a_change_of_an_entry_ends_no_backend_server() {
    let (mut known, now) = site();
    let leaving = BackendEntry { phase: BackendPhase::Draining, ..backend(2, "core", OWN_ZONE) };

    known.directory.apply_entry(BackendEntry { position: at(2_000), ..leaving }, now);
    assert!(known.directory.iter().all(|entry| !entry.is_gone()));
}

#[test]
fn an_ended_backend_server_stays_ended_when_a_list_still_has_its_entry() {
    let (mut known, now) = site();
    known.directory.apply_entry(successor(), now);

    assert_eq!(known.directory.apply_entry(backend(FORMER, "core", OWN_ZONE), now), []);
    assert!(is_gone(&known));
}

/// The store has just recovered, so entries that vanish may return. If the end of an entry got
/// another position than that of its deletion in the store, peers could take it for known already.
#[test]
fn the_entry_of_a_superseded_backend_server_is_removed_also_after_an_outage() {
    let (mut known, now) = site();
    let mut link = StoreLink::new(None, now);
    known.directory.apply_entry(successor(), now);
    link.on_backends_reply(&mut known, StoreReply::Failed, now);

    let update = |instance| BackendUpdate {
        name: name_of(instance),
        position: at(2_500),
        change: EntryChange::Deleted,
    };
    let reply =
        StoreReply::Changes { objects: vec![update(FORMER), update(2)], position: at(2_500) };
    let changed = link.on_backends_reply(&mut known, reply, now + millis(500));
    assert_eq!(changed, [FORMER, 2]);
    let former = known.directory.get(FORMER).unwrap();
    assert_eq!((former.position, former.is_superseded()), (at(2_500), false));
    assert!(known.directory.get(2).unwrap().missing_until.is_some(), "backend server 2 may return");
}
