//! Guards against backend servers that balancers consider gone although nothing removed them,
//! because datagrams of answers about them were lost or came from different moments.

use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_policy::steering::peers::backend_parts::backends_messages;
use valvestage_policy::steering::peers::peer_message::{BackendsPull, ChangeCursor, WalkScope};
use valvestage_policy::steering::{BackendDirectory, BackendEntry, EntryPolicy, PeerMessage};

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, at, backend, millis, routes};
use crate::links::LinkLimits;
use crate::scripted_peer::{alone, deliver, heartbeat_of};

/// Backend servers that register at once; their entries take a whole answer of a balancer.
const BATCH: u64 = 500;

const BATCHES: u64 = 8;

/// A link of 20 Mbit/s that loses one datagram in twenty.
const LOSSY_LINK: LinkLimits =
    LinkLimits { bytes_per_s: 2_500_000, queue_bytes: 64 << 10, loss: 0.05 };

/// Returns one of many backend servers, each with an address of its own.
fn numbered_backend(instance: u64) -> BackendEntry {
    let [.., high, low] = instance.to_be_bytes();
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 8_080);

    BackendEntry { address, ..backend(instance, "core", OWN_ZONE) }
}

/// Returns the number of backend servers that balancers consider gone, over all balancers.
fn count_gone_views(deployment: &Deployment) -> usize {
    let gone = |node: &EntryPolicy| {
        node.knowledge().directory.iter().filter(|entry| entry.is_gone()).count()
    };

    deployment.nodes.iter().flatten().map(gone).sum()
}

/// Registers backend servers in batches, and checks that no balancer considers any of them gone and
/// that all balancers know all of them in the end.
fn check_registrations(balancers: usize, batch_interval_ms: u64) {
    let mut deployment = Deployment::over_links(balancers, 3, Some(LOSSY_LINK));
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.run(millis(2_000));

    for batch in 0..BATCHES {
        for instance in batch * BATCH + 1..=(batch + 1) * BATCH {
            deployment.store.put_backend(numbered_backend(instance));
        }
        deployment.run(millis(batch_interval_ms));
        assert_eq!(count_gone_views(&deployment), 0, "after batch {batch}");
    }
    deployment.run(millis(8_000));
    assert_eq!(count_gone_views(&deployment), 0, "in the end");
    for node in deployment.nodes.iter().flatten() {
        let known = node.knowledge().directory.iter().count();
        assert_eq!(u64::try_from(known).unwrap(), BATCHES * BATCH);
    }
}

/// Guards against removals concluded from answers with gaps: while backend servers register,
/// balancers answer others from what they know in part, and datagrams are lost.
#[test]
fn backend_servers_that_register_while_datagrams_are_lost_are_not_gone() {
    check_registrations(40, 100);
}

/// As above, with updates that have nearly reached all balancers when the next one comes.
#[test]
fn backend_servers_that_register_slowly_while_datagrams_are_lost_are_not_gone() {
    check_registrations(90, 500);
}

/// Returns the answer of a directory's balancer to a pull of everything.
fn answer(sender: &BackendDirectory, deployment: &Deployment) -> Vec<PeerMessage> {
    let pull = BackendsPull { after: ChangeCursor::START, scope: WalkScope::Everything };

    backends_messages(sender, pull, deployment.now)
}

/// Returns a directory that is complete up to 100, and knows a change at 200.
fn directory_with_gap() -> BackendDirectory {
    let mut directory = BackendDirectory::default();
    for instance in 1..=60 {
        directory.put(numbered_backend(instance));
    }
    directory.complete(at(100));
    directory.put(BackendEntry { position: at(200), ..numbered_backend(61) });
    directory
}

/// Guards against an entry that is not known and counts as gone: the later parts of an answer were
/// sent before their sender filled a gap, and the first part after that. The change that filled the
/// gap is not the latest one that the sender knows.
#[test]
fn an_entry_that_moves_while_its_sender_fills_a_gap_is_not_gone() {
    let mut deployment = alone();
    let mut sender = directory_with_gap();
    deliver(&mut deployment, 5, PeerMessage::Heartbeat(heartbeat_of(&sender)));
    for part in answer(&sender, &deployment).into_iter().skip(1) {
        deliver(&mut deployment, 5, part);
    }
    sender.apply_entry(BackendEntry { position: at(150), ..numbered_backend(20) }, deployment.now);
    let first = answer(&sender, &deployment).remove(0);
    deliver(&mut deployment, 5, first);

    // Another balancer does not know the change at 150.
    let mut other = BackendDirectory::default();
    other.put(numbered_backend(20));
    other.complete(at(100));
    for part in answer(&other, &deployment) {
        deliver(&mut deployment, 6, part);
    }
    assert_eq!(count_gone_views(&deployment), 0);
}

/// Guards against a balancer that counts as up to date after a walk which shows nothing, since its
/// parts come from two balancers with gaps. It would then end flows of backend servers whose entries
/// have returned.
#[test]
fn a_walk_that_shows_nothing_is_no_update() {
    let mut deployment = alone();
    let sender = directory_with_gap();
    deliver(&mut deployment, 5, PeerMessage::Heartbeat(heartbeat_of(&sender)));
    let parts = answer(&sender, &deployment);
    deliver(&mut deployment, 5, parts[0].clone());
    // The balancer asks the first sender again, which does not answer.
    deployment.run(millis(400));

    deliver(&mut deployment, 6, PeerMessage::Heartbeat(heartbeat_of(&sender)));
    for part in parts.into_iter().skip(1) {
        deliver(&mut deployment, 6, part);
    }
    deployment.run(millis(800));
    let knowledge = deployment.node(0).knowledge();
    assert!(!knowledge.directory.is_complete());
    assert!(knowledge.is_behind(deployment.now));
}
