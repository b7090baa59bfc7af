//! Guards against balancers that consider a removed backend server live for good. Two balancers may
//! conclude different ends from the same reading of the store, and so at the same revision. A third
//! balancer that got the changes from one of them knows all changes up to that revision, and
//! requests nothing more. Without comparisons, two of 15,000 simulated series of faults end in this
//! state, nine seconds after the last fault.

use std::time::Instant;

use valvestage_policy::steering::peers::backend_parts::backends_messages;
use valvestage_policy::steering::peers::peer_message::{
    BackendsPart, BackendsPull, ChangeCursor, PeerHeartbeat, WalkScope,
};
use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendPhase, EntryPolicy, PeerMessage,
};

use crate::deployment::{Deployment, node_address};
use crate::fixtures::{OWN_ZONE, at, backend, millis, name_of, routes, start};
use crate::scripted_peer::heartbeat_of;

pub fn settled(count: usize) -> Deployment {
    let mut deployment = Deployment::new(count);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=4 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }

    deployment.run(millis(4_000));
    assert!(deployment.nodes.iter().flatten().all(EntryPolicy::is_ready));
    deployment
}

/// Reports to a balancer that a backend server is gone, at the revision up to which all balancers
/// know everything.
pub fn report_gone(deployment: &mut Deployment, node: usize, instance: u64) {
    let now = deployment.now;
    let revision = deployment.node(node).knowledge().directory.complete_until();
    let mut sender = BackendDirectory::default();
    sender.put(backend(instance, "core", OWN_ZONE));
    sender.complete(revision);
    sender.mark_gone(instance, revision, now);

    send_directory(deployment, node, &sender);
}

/// Sends a balancer the contents of a directory without a request.
fn send_directory(deployment: &mut Deployment, node: usize, sender: &BackendDirectory) {
    let now = deployment.now;
    let pull = BackendsPull { after: ChangeCursor::START, scope: WalkScope::Everything };

    for message in backends_messages(sender, pull, now) {
        let policy = deployment.nodes[node].as_mut().expect("the balancer runs");
        policy.on_message(node_address(5), message, now);
    }
}

/// Sends a balancer the heartbeat of a peer that knows what a directory contains.
fn announce_directory(deployment: &mut Deployment, node: usize, sender: &BackendDirectory) {
    let now = deployment.now;
    let version = deployment.node(node).knowledge().routes.version;
    let heartbeat = PeerHeartbeat { version, ..heartbeat_of(sender) };

    let policy = deployment.nodes[node].as_mut().expect("the balancer runs");
    policy.on_message(node_address(5), PeerMessage::Heartbeat(heartbeat), now);
}

/// Sends a balancer the heartbeat of a peer that knows more, so that it requests everything, and
/// then the contents of that peer's directory.
fn announce_and_send_directory(
    deployment: &mut Deployment,
    node: usize,
    sender: &BackendDirectory,
) {
    announce_directory(deployment, node, sender);
    send_directory(deployment, node, sender);
}

pub fn count_live_views(deployment: &Deployment, instance: u64) -> usize {
    let is_live = |node: &&EntryPolicy| {
        let entry = node.knowledge().directory.get(instance);
        entry.is_some_and(|entry| !entry.is_gone())
    };

    deployment.nodes.iter().flatten().filter(is_live).count()
}

#[test]
fn an_end_that_one_balancer_concluded_reaches_all_at_the_same_revision() {
    let mut deployment = settled(8);
    // No watch reports the removal.
    deployment.store.backends.remove(&2);

    report_gone(&mut deployment, 3, 2);
    assert_eq!(count_live_views(&deployment, 2), 7);
    let took = deployment.run_until(|now| count_live_views(now, 2) == 0);
    assert!(took <= millis(5_000), "{took:?}");
}

#[test]
fn two_different_ends_at_one_revision_reach_all_balancers() {
    let mut deployment = settled(8);
    deployment.store.backends.retain(|instance, _| *instance != 2 && *instance != 3);

    report_gone(&mut deployment, 3, 2);
    report_gone(&mut deployment, 6, 3);
    let took =
        deployment.run_until(|now| count_live_views(now, 2) == 0 && count_live_views(now, 3) == 0);
    assert!(took <= millis(5_000), "{took:?}");
}

/// Balancers that agree send no additional messages.
#[test]
fn balancers_that_agree_do_not_compare() {
    let mut deployment = settled(8);

    let before = deployment.messages;
    deployment.run(millis(10_000));
    let messages = deployment.messages - before;
    // Each balancer sends four heartbeats every 400 ms, and further ones that announce a
    // confirmation by the store.
    assert!(messages <= 8 * 4 * 40, "{messages} messages");
}

#[test]
fn directories_with_the_same_live_incarnations_have_the_same_digest() {
    let (mut one, mut other) = (BackendDirectory::default(), BackendDirectory::default());
    for instance in 1..=3 {
        one.put(backend(instance, "core", OWN_ZONE));
        other.put(BackendEntry { position: at(50), ..backend(4 - instance, "core", OWN_ZONE) });
    }

    assert_eq!(one.live_digest(), other.live_digest());
    other.mark_gone(2, at(60), start());
    assert_ne!(one.live_digest(), other.live_digest());
}

/// A lapsed entry was written again, and overwritten by another writer before this balancer read
/// it. Other balancers have read it in between and take it for present, so it must not stay gone
/// here, or its later end would not be noticed.
#[test]
fn a_lapsed_entry_that_returns_unusable_is_not_gone() {
    let mut directory = BackendDirectory::default();
    directory.put(backend(1, "core", OWN_ZONE));
    directory.mark_gone(1, at(13), start());

    assert!(directory.mark_unusable(1, at(28)));
    assert_eq!(directory.get(1).map(|entry| entry.phase), Some(BackendPhase::Unusable));
}

#[test]
fn a_backend_server_that_has_left_does_not_return_unusable() {
    let mut directory = BackendDirectory::default();
    directory.put(BackendEntry { phase: BackendPhase::Draining, ..backend(1, "core", OWN_ZONE) });
    directory.mark_gone(1, at(13), start());

    assert!(!directory.mark_unusable(1, at(28)));
}

/// A balancer has read the store while another entry is missing. A peer reports an entry that the
/// balancer did not find there, at a revision that it has read.
#[test]
fn a_peer_entry_that_was_absent_when_the_store_was_read_is_missing() {
    let mut directory = BackendDirectory::default();
    directory.put(backend(1, "core", OWN_ZONE));
    directory.complete(at(20));
    directory.mark_missing(1, start() + millis(2_000));
    directory.complete(at(54));

    directory.apply_peer_entry(
        BackendEntry { position: at(23), ..backend(7, "core", OWN_ZONE) },
        start(),
    );
    assert!(directory.get(7).is_some_and(|entry| entry.missing_until.is_some()));
    directory.apply_peer_entry(
        BackendEntry { position: at(60), ..backend(8, "core", OWN_ZONE) },
        start(),
    );
    assert!(directory.get(8).is_some_and(|entry| entry.missing_until.is_none()));
}

/// Creates a directory that received a backend server from a peer after its entry was removed. It
/// keeps the position that the entry had.
fn directory_with_obsolete_entry(instance: u64, read_until: u64) -> BackendDirectory {
    let mut directory = BackendDirectory::default();
    directory.complete(at(read_until));
    directory.apply_obsolete_entry(backend(instance, "core", OWN_ZONE), start());
    directory
}

/// Guards against ignoring a removal that is reported at the position of the live entry, which
/// looks like what is known already.
#[test]
fn an_end_at_the_position_of_the_entry_is_learned_from_a_peer_that_knows_more() {
    let mut deployment = settled(3);
    let now = deployment.now;
    let complete_until = deployment.node(0).knowledge().directory.complete_until();
    let sender = directory_with_obsolete_entry(2, complete_until.revision + 5);

    announce_and_send_directory(&mut deployment, 0, &sender);
    let entry = deployment.node(0).knowledge().directory.get(2).expect("entry 2 is known");
    assert!(entry.is_gone(), "{entry:?} at {now:?}");
}

#[test]
fn an_end_at_the_position_of_the_entry_is_learned_from_a_peer_that_knows_as_much() {
    let mut directory = BackendDirectory::default();
    for instance in 1..=3 {
        directory.put(backend(instance, "core", OWN_ZONE));
    }
    directory.complete(at(9));

    let ended = directory.apply_peer_removals(&[(2, at(9))].into(), at(9), None, start());
    assert_eq!(ended, [2]);
    assert!(directory.get(2).is_some_and(BackendEntry::is_gone));
    assert!(directory.get(3).is_some_and(|entry| !entry.is_gone()));
}

#[test]
fn an_end_at_the_position_of_the_entry_waits_while_the_entry_may_return() {
    let mut directory = BackendDirectory::default();
    directory.put(backend(2, "core", OWN_ZONE));
    directory.complete(at(9));

    directory.apply_peer_removals(
        &[(2, at(9))].into(),
        at(9),
        Some(start() + millis(2_000)),
        start(),
    );
    let entry = directory.get(2).expect("entry 2 is known");
    assert!(!entry.is_gone() && entry.missing_until.is_some());
}

/// Returns the only part of an answer with everything that a directory contains.
fn whole_part(directory: &BackendDirectory, now: Instant) -> BackendsPart {
    let pull = BackendsPull { after: ChangeCursor::START, scope: WalkScope::Everything };

    match backends_messages(directory, pull, now).pop() {
        Some(PeerMessage::Backends(part)) => part,
        other => panic!("{other:?} is no part"),
    }
}

/// Guards against removals concluded from an answer whose first part was sent when its sender had a
/// gap in what it knew, and whose last part was sent after it had learned the rest.
#[test]
fn an_entry_that_a_sender_did_not_know_yet_is_not_gone() {
    let mut deployment = settled(3);
    let now = deployment.now;
    let known_until = deployment.node(0).knowledge().directory.complete_until();
    let mut sender = BackendDirectory::default();
    for entry in deployment.node(0).knowledge().directory.iter() {
        sender.put(entry.clone());
    }
    sender.complete(known_until);
    let mut partial = BackendDirectory::default();
    partial.put(backend(9, "core", OWN_ZONE));
    partial.complete(known_until);
    announce_directory(&mut deployment, 0, &partial);

    // Entry 1 has the lowest position, and the sender knew the later ones only.
    let later = at(known_until.revision + 5);
    let mut first = whole_part(&sender, now);
    first.changes.retain(|change| change.name != name_of(1));
    first.covers_until = Some(ChangeCursor::after(known_until));
    first.complete_until = at(1);
    first.changed_at = later;
    first.part.count = 2;
    let mut last = BackendsPart { changes: Vec::new(), ..first.clone() };
    (last.after, last.covers_until, last.complete_until) =
        (ChangeCursor::after(known_until), None, later);
    last.part.index = 1;
    let policy = deployment.nodes[0].as_mut().expect("the balancer runs");
    for part in [first, last] {
        policy.on_message(node_address(5), PeerMessage::Backends(part), now);
    }

    let directory = &deployment.node(0).knowledge().directory;
    let entry = directory.get(1).expect("entry 1 is known");
    assert!(!entry.is_gone(), "{entry:?}");
    assert!(directory.complete_until() < later);
}

/// Guards against an end that stays for good although it was never read: one balancer concludes it
/// wrongly, all others take it over, and the entry in the store does not change.
#[test]
fn a_list_of_the_store_corrects_a_wrong_end() {
    let mut deployment = settled(8);
    report_gone(&mut deployment, 3, 2);
    deployment.run_until(|now| count_live_views(now, 2) == 0);

    deployment.store_down = true;
    deployment.run(millis(1_000));
    deployment.store_down = false;
    let took = deployment.run_until(|now| count_live_views(now, 2) == 8);
    assert!(took <= millis(5_000), "{took:?}");
}
