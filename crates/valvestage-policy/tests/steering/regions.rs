//! An address leads to backend servers of some regions only, and the balancer that receives its
//! packets may be in another region.

use valvestage_policy::steering::peers::route_catalogue::RouteCatalogue;
use valvestage_policy::steering::{
    BackendPhase, Knowledge, PacketVerdict, ResetReason, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, at, backend, flow, knowledge, opening, routes, service_address, start,
    target,
};

/// Returns a balancer in the region west. There is one backend server in that region and one in the
/// region east.
fn balancer() -> SteeringPolicy {
    let options = SteeringOptions {
        zone: OWN_ZONE.to_owned(),
        zone_regions: [(OWN_ZONE, "west"), (OTHER_ZONE, "east")]
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
        other_region_zones: [OTHER_ZONE.to_owned()].into(),
        ..Default::default()
    };

    SteeringPolicy::new(options, 1)
}

fn with_regions(regions: &[&str]) -> Knowledge {
    let mut known = knowledge(&[backend(1, "core", OWN_ZONE), backend(2, "core", OTHER_ZONE)]);
    let regions = regions.iter().map(|region| (*region).to_owned());

    known.routes.allowed_regions.insert(service_address(443), regions.collect());
    known
}

#[test]
fn new_flows_go_to_the_regions_of_their_address_only() {
    for (regions, instance) in [(&["east"][..], 2), (&["west"], 1), (&["west", "north"], 1)] {
        let (mut policy, known, now) = (balancer(), with_regions(regions), start());

        for port in 1..40 {
            let verdict = policy.on_packet(&known, &opening(flow(port), 0), now);
            let PacketVerdict::Forward { instance: to, .. } = verdict else {
                panic!("{verdict:?}")
            };
            assert_eq!(to, instance, "{regions:?}");
        }
    }
}

#[test]
fn flows_without_a_backend_server_in_their_regions_are_refused_at_once() {
    let (mut policy, mut known, now) = (balancer(), with_regions(&["east"]), start());
    let mut leaving = backend(2, "core", OTHER_ZONE);
    (leaving.phase, leaving.position) = (BackendPhase::Draining, at(900));
    known.directory.put(leaving);

    let verdict = policy.on_packet(&known, &opening(flow(1), 0), now);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoBackendInRegion));
}

#[test]
fn an_unknown_region_harms_no_other_address() {
    let (mut policy, mut known, now) = (balancer(), with_regions(&["nowhere"]), start());
    known.routes.routes.insert(service_address(80), vec![target("core", 1)]);

    let verdict = policy.on_packet(&known, &opening(flow(1), 0), now);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoBackendInRegion));
    let mut other = flow(1);
    other.service = service_address(80);
    let verdict = policy.on_packet(&known, &opening(other, 0), now);
    assert!(matches!(verdict, PacketVerdict::Forward { .. }), "{verdict:?}");
}

#[test]
fn a_zone_whose_region_is_not_known_gets_nothing_of_such_an_address() {
    let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
    let (mut policy, known) = (SteeringPolicy::new(options, 1), with_regions(&["west"]));

    let verdict = policy.on_packet(&known, &opening(flow(1), 0), start());
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoBackendInRegion));
}

#[test]
fn a_retransmitted_opening_packet_follows_a_change_of_the_regions() {
    let (mut policy, now) = (balancer(), start());
    policy.on_packet(&with_regions(&["west"]), &opening(flow(1), 0), now);

    let verdict = policy.on_packet(&with_regions(&["east"]), &opening(flow(1), 1), now);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 2, .. }), "{verdict:?}");
}

#[test]
fn a_route_catalogue_carries_regions_and_rates() {
    let mut map = routes(3, &[(443, "core"), (80, "photos"), (81, "core")]);
    let regions = ["east", "west"].map(str::to_owned);
    map.allowed_regions.insert(service_address(443), regions.into());
    map.cold_rates.insert("photos".to_owned(), 0.5.try_into().unwrap());
    map.cold_rates.insert("core".to_owned(), 7.25.try_into().unwrap());

    assert_eq!(RouteCatalogue::new(&map).map(), map);
}

#[test]
fn a_change_of_region_or_rate_changes_the_chunk() {
    let digests = |map| {
        let catalogue = RouteCatalogue::new(map);
        format!("{:?}", catalogue.index_messages())
    };
    let map = routes(3, &[(443, "core")]);
    let mut regional = map.clone();
    regional.allowed_regions.insert(service_address(443), ["east".to_owned()].into());
    let mut rated = map.clone();
    rated.cold_rates.insert("core".to_owned(), 1.0.try_into().unwrap());

    assert_ne!(digests(&map), digests(&regional));
    assert_ne!(digests(&map), digests(&rated));
    assert_ne!(digests(&regional), digests(&rated));
}
