//! Guards against answers about many backend servers with one position: balancers conclude the ends
//! of all that a list lacks at the position of the list.

use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_policy::steering::peers::backend_parts::backends_messages;
use valvestage_policy::steering::peers::peer_message::{BackendsPull, ChangeCursor, WalkScope};
use valvestage_policy::steering::{BackendDirectory, BackendEntry, EntryPolicy, PeerMessage};

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, at, backend, millis, routes, start};
use crate::links::{LinkLimits, LinkTable};
use crate::scripted_peer::{alone, deliver, heartbeat_of};

/// Links with room for everything.
const WIDE_LINK: LinkLimits =
    LinkLimits { bytes_per_s: 125_000_000, queue_bytes: 4 << 20, loss: 0.0 };

/// Returns one of many backend servers, each with an address of its own.
fn numbered(instance: u64, position: u64) -> BackendEntry {
    let [.., high, low] = instance.to_be_bytes();
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 8_080);

    BackendEntry { address, position: at(position), ..backend(instance, "core", OWN_ZONE) }
}

/// Returns the answer of a directory's balancer to a pull of everything from a place on.
fn answer(
    sender: &BackendDirectory,
    after: ChangeCursor,
    deployment: &Deployment,
) -> Vec<PeerMessage> {
    backends_messages(sender, BackendsPull { after, scope: WalkScope::Everything }, deployment.now)
}

fn is_gone(deployment: &Deployment, instance: u64) -> Option<bool> {
    deployment.node(0).knowledge().directory.get(instance).map(BackendEntry::is_gone)
}

/// Returns a directory with a datagram of live entries, and then one live entry and 70 ends at
/// position 100.
fn ends_at_one_position() -> BackendDirectory {
    let mut sender = BackendDirectory::default();
    for instance in 1..=30 {
        sender.put(numbered(instance, instance));
    }
    sender.put(numbered(100, 100));
    for instance in 200..270 {
        sender.put(numbered(instance, 30));
        sender.mark_gone(instance, at(100), start());
    }
    sender.complete(at(100));
    sender
}

/// Guards against parts that replace each other while they wait for the first one, since they begin
/// at the same position.
#[test]
fn parts_that_wait_for_the_first_one_are_all_applied() {
    let mut deployment = alone();
    let sender = ends_at_one_position();
    deliver(&mut deployment, 5, PeerMessage::Heartbeat(heartbeat_of(&sender)));

    let parts = answer(&sender, ChangeCursor::START, &deployment);
    assert!(parts.len() > 3, "{} parts", parts.len());
    for part in parts.iter().skip(1).chain(&parts) {
        deliver(&mut deployment, 5, part.clone());
    }
    assert_eq!(deployment.node(0).knowledge().directory.complete_until(), at(100));
    assert_eq!(is_gone(&deployment, 100), Some(false));
}

/// Guards against a lost part that goes unnoticed since the next one begins at the same position.
#[test]
fn a_lost_part_among_ends_at_one_position_is_noticed() {
    for lost in 0..4 {
        let mut deployment = alone();
        let sender = ends_at_one_position();
        deliver(&mut deployment, 5, PeerMessage::Heartbeat(heartbeat_of(&sender)));

        let parts = answer(&sender, ChangeCursor::START, &deployment);
        for (_, part) in parts.into_iter().enumerate().filter(|(index, _)| *index != lost) {
            deliver(&mut deployment, 5, part);
        }
        assert!(deployment.node(0).knowledge().directory.complete_until() < at(100), "{lost}");
    }
}

/// Guards against an empty part, which counts as the last one of an answer: an entry of another
/// writer is larger than a datagram.
#[test]
fn an_entry_larger_than_a_datagram_hides_no_other_entry() {
    for large in [1, 20, 40] {
        let mut deployment = alone();
        let mut sender = BackendDirectory::default();
        for instance in 1..=40 {
            let name = if instance == large { "x".repeat(2_000) } else { "core".to_owned() };
            sender.put(BackendEntry { service: name, ..numbered(instance, instance) });
        }
        sender.complete(at(100));
        deliver(&mut deployment, 5, PeerMessage::Heartbeat(heartbeat_of(&sender)));

        let parts = answer(&sender, ChangeCursor::START, &deployment);
        let last = parts.len() - 1;
        for (index, part) in parts.into_iter().enumerate() {
            let PeerMessage::Backends(part) = part else { panic!("{part:?} is no part") };
            assert!(!part.changes.is_empty(), "entry {large}, part {index}");
            assert_eq!(part.covers_until.is_none(), index == last, "entry {large}, part {index}");
            deliver(&mut deployment, 5, PeerMessage::Backends(part));
        }
        let directory = &deployment.node(0).knowledge().directory;
        assert_eq!(directory.complete_until(), at(100));
        assert_eq!(directory.iter().count(), 40, "entry {large}");
    }
}

/// Guards against an end that is applied although the entry has returned: one part of a walk reports
/// the entry as gone, and it returns before the last part.
#[test]
fn an_entry_that_returns_during_a_walk_is_not_gone() {
    let mut deployment = Deployment::new(1);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=40 {
        deployment.store.put_backend(numbered(instance, 0));
    }
    deployment.run(millis(3_000));
    deployment.store.delete_backend(2);
    for instance in 41..=80 {
        deployment.store.put_backend(numbered(instance, 0));
    }
    deployment.run(millis(1_500));
    assert_eq!(is_gone(&deployment, 2), Some(true));

    // The peer has read the same from the store.
    let mut sender = BackendDirectory::default();
    sender.put(numbered(2, 3));
    sender.mark_gone(2, at(42), start());
    for entry in deployment.store.backends.values() {
        sender.put(entry.clone());
    }
    sender.complete(at(deployment.store.revision));
    deliver(&mut deployment, 5, PeerMessage::Heartbeat(heartbeat_of(&sender)));
    let mut parts = answer(&sender, ChangeCursor::START, &deployment);
    parts.pop();
    let mut cursor = ChangeCursor::START;
    for part in parts {
        if let PeerMessage::Backends(part) = &part {
            cursor = part.covers_until.expect("further parts follow");
        }
        deliver(&mut deployment, 5, part);
    }

    deployment.store.put_backend(numbered(2, 0));
    let returned = deployment.store.backends[&2].clone();
    deployment.run(millis(600));
    sender.apply_entry(returned, start());
    sender.complete(at(deployment.store.revision));
    for part in answer(&sender, cursor, &deployment) {
        deliver(&mut deployment, 5, part);
    }
    assert_eq!(is_gone(&deployment, 2), Some(false));
}

/// Returns four balancers that have found all entries from `ended` missing after an outage of the
/// store, and so ended them at one position. `last` is written at that position.
fn after_outage(live: u64, ended: u64, last: u64) -> Deployment {
    let mut deployment = Deployment::over_links(4, 1, Some(WIDE_LINK));
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in (last + 1..=live).chain(1_001..=1_000 + ended) {
        deployment.store.put_backend(numbered(instance, 0));
    }
    deployment.run(millis(4_000));
    deployment.store_down = true;
    deployment.run(millis(1_000));
    for instance in 1_001..=1_000 + ended {
        deployment.store.delete_backend(instance);
    }
    deployment.store.put_backend(numbered(last, 0));
    deployment.store_down = false;
    deployment.run(millis(12_000));
    deployment
}

fn count_gone(node: &EntryPolicy, is_counted: impl Fn(u64) -> bool) -> usize {
    let entries = node.knowledge().directory.iter();

    entries.filter(|entry| entry.is_gone() && is_counted(entry.instance)).count()
}

/// Guards against living backend servers that count as gone, where only balancers tell each other:
/// one that cannot reach the store starts again and again, and datagrams are lost.
#[test]
fn starts_with_losses_end_no_living_backend_server() {
    for loss in [0.02, 0.05, 0.1] {
        let mut deployment = after_outage(61, 200, 1);
        deployment.links = Some(LinkTable::new(4, LinkLimits { loss, ..WIDE_LINK }));
        deployment.disconnected_from_store = vec![3];

        for round in 0..30 {
            deployment.start(3);
            deployment.run(millis(3_000));
            for node in deployment.nodes.iter().flatten() {
                assert_eq!(count_gone(node, |id| id < 1_000), 0, "start {round}, loss {loss}");
            }
        }
    }
}

/// Guards against balancers that read the ends at one position again and again, since more of them
/// have this position than an answer holds.
#[test]
fn more_ends_at_one_position_than_an_answer_holds_are_learned() {
    let mut deployment = after_outage(100, 600, 1);

    for node in deployment.nodes.iter().flatten() {
        assert_eq!(count_gone(node, |_| true), 600);
    }
    deployment.start(3);
    deployment.run(millis(5_000));
    let messages = deployment.messages;
    deployment.run(millis(5_000));
    // Each balancer sends at most four heartbeats each 400 ms, and further ones that announce
    // confirmations by the store.
    assert!(deployment.messages - messages <= 4 * 4 * 20, "{}", deployment.messages - messages);
}
