//! Guards against dropped packets whose tokens only a peer can resolve.
//!
//! Two availability zones are partitioned from each other and from the store. A balancer in one
//! zone has read the entries before they lapsed, and keeps them as missing; a balancer in the other
//! zone has started and read the store since. When the partition ends while the store does not
//! answer, the second balancer gets flows whose backend servers only the first one knows.

use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    BackendDirectory, BackendPhase, CallerPacket, DropReason, PacketVerdict,
};

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, backend, data, flow, millis, routes, start};

/// Backend server whose entry lapses.
const LAPSED: u64 = 1;

fn request() -> CallerPacket {
    data(flow(1), BackendDirectory::token_of(LAPSED), 1_001, 100, 501)
}

/// Returns a deployment where balancers 1 and 2 started after the entry had lapsed, and exchanged
/// their knowledge, while balancer 0 has not learned of the lapse. All balancers reach each other
/// again, and the store does not answer.
fn after_two_partitions() -> Deployment {
    let mut deployment = Deployment::across_zones(3, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=4 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }
    deployment.run(millis(4_000));

    deployment.disconnected_from_peers = vec![0];
    deployment.disconnected_from_store = vec![0];
    deployment.run(millis(1_000));
    deployment.store.delete_backend(LAPSED);
    deployment.start(1);
    deployment.start(2);
    deployment.run(millis(1_500));
    assert!(deployment.node(1).is_ready());
    deployment.store_down = true;
    deployment.disconnected_from_store.clear();
    deployment.disconnected_from_peers.clear();
    deployment.run(millis(500));
    deployment
}

fn send(deployment: &mut Deployment) -> PacketVerdict {
    let now = deployment.now;
    let policy = deployment.nodes[1].as_mut().expect("balancer 1 is not running");

    policy.on_packet(&request(), now)
}

#[test]
fn peers_are_asked_about_an_unknown_token() {
    let mut deployment = after_two_partitions();

    assert_eq!(send(&mut deployment), PacketVerdict::Drop(DropReason::UnknownToken));
    let took = deployment.run_until(|now| now.node(1).can_decide(&request()));
    assert!(took <= millis(900), "{took:?}");
    let verdict = send(&mut deployment);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: LAPSED, .. }), "{verdict:?}");
}

#[test]
fn a_lapsed_backend_server_learned_from_a_peer_gets_no_new_flows() {
    let mut deployment = after_two_partitions();

    send(&mut deployment);
    deployment.run(millis(900));
    let entry =
        deployment.node(1).knowledge().directory.get(LAPSED).expect("lapsed entry is not known");
    assert!(matches!(entry.phase, BackendPhase::Gone { .. }), "{entry:?}");
}

/// A token that no balancer knows causes no additional message.
#[test]
fn a_token_that_no_balancer_knows_costs_no_message() {
    let messages_with = |packets: usize| {
        let mut deployment = after_two_partitions();
        let before = deployment.messages;
        for port in 0..packets {
            let token = u32::try_from(port).unwrap() + 77;
            let now = deployment.now;
            let packet = data(flow(9), token, 1_001, 100, 501);
            deployment.nodes[1]
                .as_mut()
                .expect("balancer 1 is not running")
                .on_packet(&packet, now);
        }
        deployment.run(Duration::from_secs(2));
        deployment.messages - before
    };

    assert_eq!(messages_with(100), messages_with(0));
}

#[test]
fn unresolved_tokens_are_limited_in_number_and_time() {
    let mut unresolved =
        valvestage_policy::steering::packets::unresolved_tokens::UnresolvedTokens::default();
    let (nothing, now): (_, Instant) = (BackendDirectory::default(), start());

    (1..=100).for_each(|token| unresolved.add(token, now));
    assert_eq!(unresolved.list().len(), 8);
    unresolved.add(3, now + millis(1_000));
    unresolved.drop_resolved(&nothing, now + millis(2_000));
    assert_eq!(unresolved.list(), [3]);
}

/// A balancer that starts reads all that a peer knows, including entries that the peer keeps as
/// missing.
#[test]
fn a_balancer_that_starts_learns_of_entries_that_peers_keep_as_missing() {
    let mut deployment = after_two_partitions();

    deployment.stop(2);
    deployment.start(1);
    deployment.run(millis(500));
    assert!(deployment.node(1).can_decide(&request()));
}

/// All balancers start while an entry is absent. It is written again 0.3 s later, and the store
/// becomes unavailable 0.5 s after that, before most balancers start their watches.
#[test]
fn with_held_packets_watches_start_at_once_after_a_start() {
    let mut deployment = Deployment::across_zones(9, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(2, "core", OWN_ZONE));
    deployment.run(millis(4_000));

    (0..9).for_each(|node| deployment.start(node));
    deployment.run(millis(150));
    assert_eq!(send(&mut deployment), PacketVerdict::Drop(DropReason::UnknownToken));
    deployment.run(millis(150));
    deployment.store.put_backend(backend(LAPSED, "core", OWN_ZONE));
    deployment.run(millis(500));
    assert!(deployment.node(1).can_decide(&request()));
}

/// Without held packets the watches start later, which limits the load on the store.
#[test]
fn without_held_packets_watches_start_later() {
    let mut deployment = Deployment::across_zones(9, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(2, "core", OWN_ZONE));
    deployment.run(millis(4_000));

    (0..9).for_each(|node| deployment.start(node));
    let before = deployment.store.calls;
    deployment.run(millis(1_000));
    assert!(deployment.store.calls - before <= 2 * 9, "a list of each kind at most");
}
