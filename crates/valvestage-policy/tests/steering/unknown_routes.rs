//! Guards against resets of open flows for a route that a balancer does not know.
//!
//! A balancer that has just started, or that waits for its next watch, may not know the newest
//! configuration. When machines were replaced while configurations added routes, the new ones reset
//! the open flows on the newest routes.

use std::time::Instant;

use valvestage_policy::steering::peers::peer_message::PeerHeartbeat;
use valvestage_policy::steering::{
    BackendDirectory, BackendUpdate, CallerPacket, DropReason, EntryChange, EntryOptions,
    EntryPolicy, FlowAddresses, Knowledge, PacketVerdict, PeerMessage, ResetReason, RouteMap,
    SteeringOptions, SteeringPolicy, StoreReply,
};

use crate::deployment::Deployment;
use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, address, at, backend, data, flow, knowledge, millis, opening, routes,
    service_address, start,
};

/// Port of a route that the configuration at hand lacks.
const MISSING_PORT: u16 = 9_999;

fn policy() -> SteeringPolicy {
    SteeringPolicy::new(SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() }, 1)
}

/// Returns a flow to the address without a route.
fn unrouted_flow() -> FlowAddresses {
    FlowAddresses { service: service_address(MISSING_PORT), ..flow(1) }
}

/// Returns a request on an open flow at a backend server.
fn request(flow: FlowAddresses, server: u64) -> CallerPacket {
    data(flow, BackendDirectory::token_of(server), 1_001, 100, 501)
}

fn forwarded_to(verdict: PacketVerdict) -> Option<u64> {
    match verdict {
        PacketVerdict::Forward { instance, .. } => Some(instance),
        _ => None,
    }
}

fn configuration_with_route(version: u64) -> RouteMap {
    routes(version, &[(443, "core"), (80, "photos"), (MISSING_PORT, "core")])
}

fn configuration_without_route(version: u64) -> RouteMap {
    routes(version, &[(443, "core"), (80, "photos")])
}

/// Returns the knowledge of a balancer that has had the route in force, and a policy at which a
/// flow on that route has been open since then.
fn open_before_the_drop(now: Instant) -> (SteeringPolicy, Knowledge) {
    let mut known = knowledge(&[backend(1, "core", OWN_ZONE)]);
    known.replace_routes(configuration_with_route(2));
    let mut policy = policy();
    let verdict = policy.on_packet(&known, &request(unrouted_flow(), 1), now);
    assert_eq!(forwarded_to(verdict), Some(1));

    known.replace_routes(configuration_without_route(3));
    (policy, known)
}

/// Guards against a reset of an open flow on a route that a newer configuration has added.
#[test]
fn an_open_flow_on_an_unknown_route_goes_to_the_backend_server_of_its_token() {
    let now = start();
    let known = knowledge(&[backend(1, "core", OWN_ZONE), backend(2, "photos", OTHER_ZONE)]);
    let mut policy = policy();

    // The age of the last confirmation doesn't matter.
    for wait in [0, 20, 20_000] {
        let verdict = policy.on_packet(&known, &request(unrouted_flow(), 1), now + millis(wait));
        assert_eq!(forwarded_to(verdict), Some(1), "after {wait} ms");
    }
    let other = FlowAddresses { caller: address(200, 2), ..unrouted_flow() };
    assert_eq!(forwarded_to(policy.on_packet(&known, &request(other, 2), now)), Some(2));
}

/// Guards against a guess where neither the route nor the token is known, and against packets to
/// random addresses that are held in the place of others.
#[test]
fn an_unknown_token_on_an_unknown_route_is_not_reset_guessed_or_held() {
    let known = knowledge(&[backend(1, "core", OWN_ZONE)]);

    let verdict = policy().on_packet(&known, &request(unrouted_flow(), 99), start());
    assert_eq!(verdict, PacketVerdict::Drop(DropReason::NoRoute));
}

/// Guards against flows on an unknown route that outlive their backend server.
#[test]
fn a_flow_of_an_ended_backend_server_is_reset_on_an_unknown_route_too() {
    let now = start();
    let mut known = knowledge(&[backend(1, "core", OWN_ZONE)]);
    known.directory.mark_gone(1, at(2_000), now);

    let verdict = policy().on_packet(&known, &request(unrouted_flow(), 1), now);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::BackendGone));
}

/// Guards against open flows that stay on a route which a configuration has dropped.
#[test]
fn an_open_flow_is_reset_once_a_configuration_has_dropped_its_route() {
    let now = start();
    let (mut policy, known) = open_before_the_drop(now);

    let verdict = policy.on_packet(&known, &request(unrouted_flow(), 1), now + millis(20));
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoRoute));
}

/// Guards against a reset of a flow on a dropped route that may have returned: the store has not
/// confirmed the configuration for a while.
#[test]
fn an_open_flow_on_a_dropped_route_is_not_reset_by_an_outdated_configuration() {
    let now = start();
    let (mut policy, known) = open_before_the_drop(now);

    let verdict = policy.on_packet(&known, &request(unrouted_flow(), 1), now + millis(20_000));
    assert_eq!(verdict, PacketVerdict::Drop(DropReason::NoRoute));
}

/// Guards against a reset of a flow that was opened through another balancer after the route had
/// returned, while this balancer still has the configuration that dropped the route.
#[test]
fn a_flow_that_was_not_seen_before_the_drop_of_its_route_is_forwarded() {
    let now = start();
    let (mut policy, known) = open_before_the_drop(now);

    let later = FlowAddresses { caller: address(200, 2), ..unrouted_flow() };
    let verdict = policy.on_packet(&known, &request(later, 1), now + millis(20));
    assert_eq!(forwarded_to(verdict), Some(1));
    let verdict = policy.on_packet(&known, &request(later, 1), now + millis(40));
    assert_eq!(forwarded_to(verdict), Some(1));
}

/// Guards against new flows on a dropped route, at a balancer that has had the route in force and
/// at one that has not.
#[test]
fn a_new_flow_on_a_dropped_route_is_refused() {
    let now = start();
    let (mut policy, known) = open_before_the_drop(now);
    let later = FlowAddresses { caller: address(200, 2), ..unrouted_flow() };

    for packet in [opening(later, 0), opening(later, 1)] {
        let verdict = policy.on_packet(&known, &packet, now + millis(20));
        assert_eq!(forwarded_to(verdict), None);
    }
    let verdict = policy.on_packet(&known, &opening(later, 0), now + millis(20));
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoRoute));
}

/// Guards against a reset that reaches a caller whose flow is open by now: another balancer, which
/// knows the route, got the first copy of the opening packet.
#[test]
fn a_copy_of_an_opening_packet_on_an_unknown_route_is_dropped() {
    let known = knowledge(&[backend(1, "core", OWN_ZONE)]);

    let verdict = policy().on_packet(&known, &opening(unrouted_flow(), 1), start());
    assert_eq!(verdict, PacketVerdict::Drop(DropReason::NoRoute));
}

/// Guards against refusals by a configuration that is known not to be the newest one.
#[test]
fn a_new_flow_is_not_refused_while_a_peer_has_a_newer_configuration() {
    let now = start();
    let mut known = knowledge(&[backend(1, "core", OWN_ZONE)]);
    known.note_peer_version(2, now);

    let packet = opening(unrouted_flow(), 0);
    let verdict = policy().on_packet(&known, &packet, now + millis(20));
    assert_eq!(verdict, PacketVerdict::Drop(DropReason::NoRoute));
    known.replace_routes(configuration_without_route(2));
    let verdict = policy().on_packet(&known, &packet, now + millis(40));
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoRoute));
}

/// Guards against a balancer without live seeds that learns of no change in its first second: it
/// reads the store at once, and it has nobody to leave the watches to.
#[test]
fn a_balancer_whose_seeds_have_left_follows_the_store_from_its_start() {
    let mut deployment = Deployment::new(4);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    deployment.run(millis(4_000));
    (0..4).for_each(|node| deployment.stop(node));

    deployment.start(3);
    deployment.run_until(|now| now.node(3).is_ready());
    for version in 4..8 {
        deployment.store.put_routes(configuration_with_route(version));
        let took = deployment.run_until(|now| now.versions() == [version]);
        assert!(took <= millis(150), "{took:?}");
        deployment.run(millis(50));
    }
}

fn heartbeat_of_peer(version: u64) -> PeerMessage {
    PeerMessage::Heartbeat(PeerHeartbeat {
        zone: OTHER_ZONE.to_owned(),
        wants_answer: false,
        version,
        complete_until: at(10),
        changed_at: at(10),
        era_head: at(0),
        live_digest: 0,
        age_ms: 0,
        outage_age_ms: u32::MAX,
        watchers: Vec::new(),
        peers: Vec::new(),
        health: Default::default(),
        evacuations: None,
        loads: Vec::new(),
        demands: None,
        unresolved_tokens: Vec::new(),
    })
}

/// Returns a balancer that has heard of version 5 and then reads version 3 in the store.
fn behind_a_peer(now: Instant) -> EntryPolicy {
    let options = EntryOptions {
        steering: SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() },
        peer_address: address(1, 7_400),
        seeds: Vec::new(),
        link_mbps: 10.0,
        evacuable_zones: None,
        is_first_start: false,
        seed: 1,
    };
    let mut policy = EntryPolicy::new(options, now);
    let entry = backend(1, "core", OWN_ZONE);
    let update = BackendUpdate {
        name: entry.name,
        position: entry.position,
        change: EntryChange::Written(entry),
    };

    policy.on_message(address(2, 7_400), heartbeat_of_peer(5), now);
    policy.on_tick(now + millis(100));
    policy.on_routes_reply(page(configuration_without_route(3)), now + millis(110));
    policy.on_backends_reply(page(update), now + millis(110));
    policy
}

fn page<T>(object: T) -> StoreReply<T> {
    StoreReply::Page { objects: vec![object], next_after: None, position: at(10) }
}

/// Guards against readiness with a configuration that is older than that of a peer.
#[test]
fn a_balancer_is_not_ready_before_it_has_the_configuration_of_its_peers() {
    let now = start();
    let mut policy = behind_a_peer(now);
    assert!(!policy.is_ready());

    policy.on_routes_reply(page(configuration_with_route(5)), now + millis(150));
    assert!(policy.is_ready());
    // A version that is heard of later doesn't take the readiness back.
    policy.on_message(address(2, 7_400), heartbeat_of_peer(6), now + millis(200));
    assert!(policy.is_ready());
}

/// Guards against a balancer that never gets ready, since a peer's newer configuration cannot be
/// had.
#[test]
fn a_balancer_does_not_wait_long_for_a_configuration_that_it_cannot_get() {
    let now = start();
    let mut policy = behind_a_peer(now);

    policy.on_tick(now + millis(500));
    assert!(!policy.is_ready());
    policy.on_tick(now + millis(900));
    assert!(policy.is_ready());
}

/// Guards against versions that are ignored since a higher one was reported before the store was
/// restored.
#[test]
fn a_lower_version_counts_once_the_higher_one_is_no_longer_reported() {
    let mut knowledge = knowledge(&[]);
    let now = start();
    knowledge.note_peer_version(9, now);
    assert!(!knowledge.has_newest_routes(now));

    let later = now + millis(6_000);
    assert!(knowledge.has_newest_routes(later));
    knowledge.note_peer_version(4, later);
    assert!(!knowledge.has_newest_routes(later));
}
