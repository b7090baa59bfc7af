//! Guards against dropped packets whose tokens only a peer can resolve.
//!
//! Two availability zones are cut off from each other, and from the store. A balancer in one zone
//! has read the entries before they lapsed, and keeps them as missing; a balancer in the other zone
//! has started and read the store since. When the partition ends while the store does not answer,
//! the latter gets flows whose backend servers only the former knows.

use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    BackendDirectory, BackendPhase, CallerPacket, DropReason, PacketVerdict,
};

use crate::deployment::Deployment;
use crate::fixtures::{HOME, backend, data, flow, millis, routes, start};

/// Backend server whose entry lapses.
const LAPSED: u64 = 1;

fn request() -> CallerPacket {
    data(flow(1), BackendDirectory::token_of(LAPSED), 1_001, 100, 501)
}

/// Returns a deployment where balancers 1 and 2 started after the entry had lapsed, and exchanged
/// their knowledge, while balancer 0 has not learned of the lapse. All balancers reach each other
/// again, and the store does not answer.
fn after_two_cuts() -> Deployment {
    let mut deployment = Deployment::across_zones(3, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=4 {
        deployment.store.put_backend(backend(instance, "core", HOME));
    }
    deployment.run(millis(4_000));

    deployment.cut_from_peers = vec![0];
    deployment.cut_from_store = vec![0];
    deployment.run(millis(1_000));
    deployment.store.delete_backend(LAPSED);
    deployment.start(1);
    deployment.start(2);
    deployment.run(millis(1_500));
    assert!(deployment.node(1).is_ready());
    deployment.store_down = true;
    deployment.cut_from_store.clear();
    deployment.cut_from_peers.clear();
    deployment.run(millis(500));
    deployment
}

fn send(deployment: &mut Deployment) -> PacketVerdict {
    let now = deployment.now;
    let policy = deployment.nodes[1].as_mut().expect("it runs");

    policy.on_packet(&request(), now)
}

#[test]
fn a_backend_server_that_another_balancer_remembers_is_asked_for() {
    let mut deployment = after_two_cuts();

    assert_eq!(send(&mut deployment), PacketVerdict::Drop(DropReason::UnknownToken));
    let took = deployment.run_until(|now| now.node(1).can_decide(&request()));
    assert!(took <= millis(900), "{took:?}");
    let verdict = send(&mut deployment);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: LAPSED, .. }), "{verdict:?}");
}

#[test]
fn it_gets_no_new_flows() {
    let mut deployment = after_two_cuts();

    send(&mut deployment);
    deployment.run(millis(900));
    let entry = deployment.node(1).knowledge().directory.get(LAPSED).expect("it is known");
    assert!(matches!(entry.phase, BackendPhase::Gone { .. }), "{entry:?}");
}

/// A token that no balancer knows causes no additional message.
#[test]
fn a_token_that_nobody_knows_costs_no_message() {
    let messages_with = |packets: usize| {
        let mut deployment = after_two_cuts();
        let before = deployment.messages;
        for port in 0..packets {
            let token = u32::try_from(port).unwrap() + 77;
            let now = deployment.now;
            let packet = data(flow(9), token, 1_001, 100, 501);
            deployment.nodes[1].as_mut().expect("it runs").on_packet(&packet, now);
        }
        deployment.run(Duration::from_secs(2));
        deployment.messages - before
    };

    assert_eq!(messages_with(100), messages_with(0));
}

#[test]
fn few_tokens_are_asked_for_at_once_and_not_for_long() {
    let mut wanted = valvestage_policy::steering::packets::wanted_tokens::WantedTokens::default();
    let (nothing, now): (_, Instant) = (BackendDirectory::default(), start());

    (1..=100).for_each(|token| wanted.add(token, now));
    assert_eq!(wanted.list().len(), 8);
    wanted.add(3, now + millis(1_000));
    wanted.drop_resolved(&nothing, now + millis(2_000));
    assert_eq!(wanted.list(), [3]);
}

/// A balancer that starts reads all that a peer knows, including entries that the peer keeps as
/// missing.
#[test]
fn one_that_starts_is_told_of_entries_that_are_missing_elsewhere() {
    let mut deployment = after_two_cuts();

    deployment.stop(2);
    deployment.start(1);
    deployment.run(millis(500));
    assert!(deployment.node(1).can_decide(&request()));
}

/// All balancers start while an entry is absent. It is written again 0.3 s later, and the store
/// becomes unavailable 0.5 s after that, before most balancers start their watches.
#[test]
fn where_packets_wait_entries_are_watched_for_at_once_after_a_start() {
    let mut deployment = Deployment::across_zones(9, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(2, "core", HOME));
    deployment.run(millis(4_000));

    (0..9).for_each(|node| deployment.start(node));
    deployment.run(millis(150));
    assert_eq!(send(&mut deployment), PacketVerdict::Drop(DropReason::UnknownToken));
    deployment.run(millis(150));
    deployment.store.put_backend(backend(LAPSED, "core", HOME));
    deployment.run(millis(500));
    assert!(deployment.node(1).can_decide(&request()));
}

/// Without held packets the watches start later, which limits the load on the store.
#[test]
fn where_no_packet_waits_nobody_watches_for_a_while() {
    let mut deployment = Deployment::across_zones(9, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(2, "core", HOME));
    deployment.run(millis(4_000));

    (0..9).for_each(|node| deployment.start(node));
    let before = deployment.store.calls;
    deployment.run(millis(1_000));
    assert!(deployment.store.calls - before <= 2 * 9, "a list of each kind at most");
}
