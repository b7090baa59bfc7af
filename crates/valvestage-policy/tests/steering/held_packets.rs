//! Guards against packets that are dropped, or answered a second late, after a restart.
//!
//! All balancers restart while an availability zone is partitioned. The entries of its backend
//! servers have lapsed, so no balancer knows the backend servers of their flows until the entries
//! return, some 0.8 s after the partition. Callers retransmit a request after 200 ms, and then
//! double the interval: a retransmission that arrives just before the entry is read would be the
//! last for 0.8 to 1.6 s, more than half of the time that a caller allows for a request.

use std::time::Instant;

use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, CallerPacket, Decision, DropReason, HeldPackets, PacketVerdict,
    SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{OWN_ZONE, at, backend, data, flow, knowledge, millis, opening, start};

/// Returns a request on a flow of backend server 9.
fn request(port: u16) -> CallerPacket {
    data(flow(port), BackendDirectory::token_of(9), 1_001, 100, 501)
}

/// Returns a policy, and a held packet for a backend server that the policy does not know.
fn policy_with_held_packet() -> (SteeringPolicy, HeldPackets<u16>, Instant) {
    let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
    let mut policy = SteeringPolicy::new(options, 1);
    let mut held = HeldPackets::default();
    let now = start();

    let verdict = policy.on_packet(&knowledge(&[backend(1, "core", OWN_ZONE)]), &request(1), now);
    let PacketVerdict::Drop(reason) = verdict else { panic!("packet not dropped: {verdict:?}") };
    assert!(reason.is_transient());
    assert!(held.hold(request(1), 1, now));
    (policy, held, now)
}

#[test]
fn a_packet_waits_until_its_backend_server_is_known() {
    let (mut policy, mut held, now) = policy_with_held_packet();
    let mut known = knowledge(&[backend(1, "core", OWN_ZONE)]);

    assert!(held.take_decidable(|packet| policy.can_decide(&known, packet)).is_empty());
    known.directory.put(BackendEntry { position: at(2_000), ..backend(9, "core", OWN_ZONE) });
    let released = held.take_decidable(|packet| policy.can_decide(&known, packet));
    assert_eq!(released.len(), 1);
    let verdict = policy.on_packet(&known, &released[0].packet, now + millis(300));
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 9, .. }), "{verdict:?}");
    assert!(held.is_empty());
}

#[test]
fn decisions_report_a_hold_and_its_expiry() {
    let (mut policy, mut held, now) = policy_with_held_packet();
    let known = knowledge(&[backend(1, "core", OWN_ZONE)]);
    let decisions = policy.take_decisions();
    assert!(matches!(&decisions[..], [Decision::Held(_)]), "{decisions:?}");

    assert!(held.take_expired(now + millis(1_900)).is_empty());
    for expired in held.take_expired(now + millis(2_000)) {
        policy.on_hold_expired(&known, &expired.packet, now + millis(2_000));
    }
    let decisions = policy.take_decisions();
    let [Decision::Dropped(dropped)] = &decisions[..] else { panic!("{decisions:?}") };
    assert_eq!(dropped.reason, DropReason::UnknownToken);
}

#[test]
fn a_retransmission_replaces_the_packet_before() {
    let (_, mut held, now) = policy_with_held_packet();

    assert!(held.hold(request(1), 2, now + millis(200)));
    assert!(held.hold(request(2), 3, now + millis(300)));
    assert!(
        held.take_expired(now + millis(2_100)).is_empty(),
        "the retransmission has a hold time of its own"
    );
    let all = held.take_decidable(|_| true);
    let all: Vec<_> = all.iter().map(|held| (held.payload, held.transmissions)).collect();
    assert_eq!(all, [(2, 2), (3, 1)]);
}

#[test]
fn opening_packets_wait_only_until_the_knowledge_is_complete() {
    let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
    let policy = SteeringPolicy::new(options, 1);
    let packet = opening(flow(1), 0);

    assert!(!policy.can_decide(&Default::default(), &packet));
    assert!(policy.can_decide(&knowledge(&[backend(1, "core", OWN_ZONE)]), &packet));
}

#[test]
fn the_number_of_held_packets_is_limited() {
    let mut held = HeldPackets::default();
    let now = start();

    let taken = (1..=1_000).filter(|port| held.hold(request(*port), *port, now)).count();
    assert_eq!(taken, 256);
    assert!(held.hold(request(1), 1, now), "a retransmission needs no room");
}
