//! Guards against losing open flows in a rolling restart after a change of routes.
//!
//! A balancer that has just started knows the present configuration only, and some flows were
//! opened under an earlier one: in a rolling restart after a change of routes, one flow in five.

use std::time::Instant;

use quickcheck::TestResult;
use valvestage_policy::steering::{
    BackendDirectory, DropReason, Knowledge, PacketVerdict, ResetReason, SteeringOptions,
    SteeringPolicy,
};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, at, backend, data, flow, knowledge, millis, opening, routes, seeded,
    service_address, start,
};

fn restarted() -> SteeringPolicy {
    SteeringPolicy::new(SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() }, 1)
}

/// Returns the knowledge of a balancer that started after port 443 was moved from `core` to
/// `photos`.
fn known_after_move() -> Knowledge {
    let mut known = knowledge(&[backend(1, "core", OWN_ZONE), backend(2, "photos", OWN_ZONE)]);

    known.replace_routes(routes(9, &[(443, "photos"), (80, "photos")]));
    let mut fresh = Knowledge::default();
    fresh.replace_routes(known.routes.clone());
    fresh.directory = known.directory;
    fresh.confirm(Some(start()));
    fresh
}

fn forwarded_to(verdict: PacketVerdict) -> Option<u64> {
    match verdict {
        PacketVerdict::Forward { instance, .. } => Some(instance),
        _ => None,
    }
}

#[test]
fn a_flow_of_a_former_service_stays_on_a_balancer_that_never_knew_the_service() {
    let known = known_after_move();
    let now = start();
    let mut policy = restarted();

    let request = data(flow(1), BackendDirectory::token_of(1), 1_001, 100, 501);
    assert_eq!(forwarded_to(policy.on_packet(&known, &request, now)), Some(1));
}

#[test]
fn a_new_flow_goes_to_the_service_in_force_whatever_its_token() {
    fn holds(port: u16, token_of: u8, copies: u8) -> bool {
        let known = known_after_move();
        let mut packet = opening(flow(port), u32::from(copies % 3));
        packet.token = BackendDirectory::token_of(u64::from(token_of % 4));

        forwarded_to(restarted().on_packet(&known, &packet, start())) == Some(2)
    }

    seeded().quickcheck(holds as fn(u16, u8, u8) -> bool);
}

#[test]
fn a_later_packet_goes_to_the_backend_server_of_its_token_or_nowhere() {
    fn holds(token: u32, named: u8, is_named: bool) -> TestResult {
        let now = start();
        let servers = [backend(1, "core", OWN_ZONE), backend(2, "photos", OTHER_ZONE)];
        let mut known = knowledge(&servers);
        known.directory.put(backend(3, "core", OWN_ZONE));
        known.directory.mark_gone(3, at(2_000), now);
        let instance = u64::from(named % 5);
        let token = if is_named { BackendDirectory::token_of(instance) } else { token };
        let by_token = known.directory.by_token(token).map(|entry| entry.instance);

        let packet = data(flow(1), token, 1_001, 100, 501);
        let verdict = restarted().on_packet(&known, &packet, now);
        TestResult::from_bool(match by_token {
            None => verdict == PacketVerdict::Drop(DropReason::UnknownToken),
            Some(3) => verdict == PacketVerdict::Reset(ResetReason::BackendGone),
            Some(named) => forwarded_to(verdict) == Some(named),
        })
    }

    seeded().quickcheck(holds as fn(u32, u8, bool) -> TestResult);
}

/// Guards against a reset of an open flow whose route a later configuration than the known one may
/// have added, and against new flows on a route that is not known.
#[test]
fn an_open_flow_without_a_known_route_is_forwarded_and_a_new_one_is_reset() {
    let known = known_after_move();
    let mut policy = restarted();
    let mut packet = data(flow(1), BackendDirectory::token_of(1), 1_001, 100, 501);
    packet.flow.service = service_address(9_999);
    let mut first = opening(flow(2), 0);
    first.flow.service = service_address(9_999);

    assert_eq!(forwarded_to(policy.on_packet(&known, &packet, start())), Some(1));
    let verdict = policy.on_packet(&known, &first, start());
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoRoute));
}

#[test]
fn a_flow_on_a_draining_backend_server_stays_after_a_restart_of_the_balancer() {
    let mut known = known_after_move();
    let leaving = valvestage_policy::steering::BackendEntry {
        position: at(2_000),
        phase: valvestage_policy::steering::BackendPhase::Draining,
        ..backend(1, "core", OWN_ZONE)
    };
    known.directory.put(leaving);
    let mut policy = restarted();
    let now: Instant = start();

    for turn in 0..3 {
        let request = data(flow(1), BackendDirectory::token_of(1), 1_001 + turn * 100, 100, 501);
        let verdict = policy.on_packet(&known, &request, now + millis(u64::from(turn) * 50));
        assert_eq!(forwarded_to(verdict), Some(1));
    }
}
