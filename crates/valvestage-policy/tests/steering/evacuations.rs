//! Operators evacuate an availability zone, and lift the evacuation, while other faults occur. New
//! flows leave the zone within a second, open flows stay, and callers in a zone that is also
//! partitioned are served by its own backend servers.

use std::time::Duration;

use valvestage_policy::steering::knowledge::evacuated_zones::EvacuatedZones;
use valvestage_policy::steering::{EvacuationReport, PacketVerdict, ResetReason, StoreKind};

use crate::deployment::Deployment;
use crate::fixtures::{at, backend, data, flow, millis, opening, routes, start};

/// Time within which all balancers should know of an evacuation. Users ask for five seconds.
const TARGET_TIME: Duration = Duration::from_secs(1);

/// The longest time that an evacuation may take when calls to the store get no reply.
const MAX_TIME: Duration = Duration::from_secs(5);

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Creates balancers in three zones, with two backend servers of a service in each zone.
fn deployment(balancers: usize) -> Deployment {
    let mut deployment = Deployment::across_zones(balancers, ZONES.len());
    deployment.has_evacuations = true;
    for node in 0..balancers {
        deployment.start(node);
    }

    deployment.store.put_routes(routes(1, &[(443, "core")]));
    for (number, zone) in (1..).zip(ZONES.iter().chain(&ZONES)) {
        deployment.store.put_backend(backend(number, "core", zone));
    }
    deployment.run(millis(5_000));
    assert!(deployment.nodes.iter().flatten().all(|node| node.is_ready()));
    deployment
}

fn is_known_everywhere(deployment: &Deployment, zones: &[&str]) -> bool {
    let mut nodes = deployment.nodes.iter().flatten();

    nodes.all(|node| node.knowledge().evacuated.zones().iter().eq(zones.iter()))
}

/// Opens a flow through a balancer, and returns the verdict.
fn open_flow(deployment: &mut Deployment, node: usize, port: u16) -> PacketVerdict {
    let now = deployment.now;

    deployment.nodes[node].as_mut().unwrap().on_packet(&opening(flow(port), 0), now)
}

/// Returns the zones of twenty new flows through a balancer.
fn zones_of_flows(deployment: &mut Deployment, node: usize, first_port: u16) -> Vec<String> {
    let verdicts: Vec<_> =
        (first_port..first_port + 20).map(|port| open_flow(deployment, node, port)).collect();

    let zone_of = |verdict: PacketVerdict| {
        let PacketVerdict::Forward { instance, .. } = verdict else { panic!("{verdict:?}") };
        deployment.store.backends[&instance].zone.clone()
    };
    verdicts.into_iter().map(zone_of).collect()
}

#[test]
fn an_evacuation_and_its_end_are_in_force_everywhere_within_a_second() {
    for balancers in [8, 90] {
        let mut deployment = deployment(balancers);

        deployment.store.evacuate("zone-a", true);
        let took = deployment.run_until(|all| is_known_everywhere(all, &["zone-a"]));
        assert!(took <= TARGET_TIME, "{balancers} balancers: {took:?}");
        deployment.run(millis(700));
        deployment.store.evacuate("zone-a", false);
        let took = deployment.run_until(|all| is_known_everywhere(all, &[]));
        assert!(took <= TARGET_TIME, "{balancers} balancers: {took:?}");
    }
}

#[test]
fn an_evacuation_lifted_before_the_next_is_not_in_force() {
    let mut deployment = deployment(9);

    deployment.store.evacuate("zone-a", true);
    deployment.store.evacuate("zone-a", false);
    deployment.store.evacuate("zone-b", true);
    deployment.run(TARGET_TIME);
    assert!(is_known_everywhere(&deployment, &["zone-b"]));
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);
    assert!(is_known_everywhere(&deployment, &["zone-a", "zone-b"]));
}

#[test]
fn new_flows_go_elsewhere_and_open_ones_stay() {
    let mut deployment = deployment(9);
    let PacketVerdict::Forward { instance, token, .. } = open_flow(&mut deployment, 0, 1) else {
        panic!("the flow is not placed")
    };
    let now = deployment.now;
    let request = data(flow(1), token, 1_001, 100, 501);
    deployment.nodes[0].as_mut().unwrap().on_packet(&request, now);

    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);
    let zones = zones_of_flows(&mut deployment, 0, 10);
    assert!(zones.iter().all(|zone| zone != "zone-a"), "{zones:?}");
    let now = deployment.now;
    let further = data(flow(1), token, 1_101, 100, 901);
    let verdict = deployment.nodes[0].as_mut().unwrap().on_packet(&further, now);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: to, .. } if to == instance));
}

#[test]
fn a_retransmitted_opening_packet_goes_elsewhere_too() {
    let mut deployment = deployment(9);
    let PacketVerdict::Forward { instance, .. } = open_flow(&mut deployment, 0, 1) else {
        panic!("the flow is not placed")
    };
    let zone = deployment.store.backends[&instance].zone.clone();

    deployment.store.evacuate(&zone, true);
    deployment.run(millis(100));
    let now = deployment.now;
    let verdict = deployment.nodes[0].as_mut().unwrap().on_packet(&opening(flow(1), 1), now);
    let PacketVerdict::Forward { instance, .. } = verdict else { panic!("{verdict:?}") };
    assert_ne!(deployment.store.backends[&instance].zone, zone);
}

#[test]
fn flows_are_reset_with_a_reason_where_all_zones_are_evacuated() {
    let mut deployment = deployment(9);

    for zone in ZONES {
        deployment.store.evacuate(zone, true);
    }
    deployment.run(TARGET_TIME);
    let verdict = open_flow(&mut deployment, 0, 1);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::ZonesEvacuated));
}

#[test]
fn a_balancer_that_starts_is_not_ready_before_it_knows_the_evacuations() {
    let mut deployment = deployment(9);
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);

    deployment.start(0);
    deployment.run_until(|all| all.node(0).is_ready());
    let zones = zones_of_flows(&mut deployment, 0, 10);
    assert!(zones.iter().all(|zone| zone != "zone-a"), "{zones:?}");
}

#[test]
fn an_evacuation_survives_a_restart_of_all_balancers_in_a_store_outage() {
    let mut deployment = deployment(9);
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);

    deployment.store_down = true;
    for node in 0..9 {
        deployment.start(node);
        deployment.run(millis(300));
    }
    let zones = zones_of_flows(&mut deployment, 0, 10);
    assert!(zones.iter().all(|zone| zone != "zone-a"), "{zones:?}");
}

#[test]
fn an_evacuation_lifted_in_a_store_outage_stays_in_force_until_the_store_is_read() {
    let mut deployment = deployment(9);
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);

    deployment.store_down = true;
    deployment.store.evacuate("zone-a", false);
    deployment.run(millis(8_000));
    assert!(is_known_everywhere(&deployment, &["zone-a"]));
    deployment.store_down = false;
    let took = deployment.run_until(|all| is_known_everywhere(all, &[]));
    assert!(took <= millis(2_000), "{took:?}");
}

#[test]
fn an_evacuation_is_in_force_in_time_though_store_calls_get_no_reply() {
    let mut deployment = deployment(9);

    deployment.silence_connections();
    deployment.store.evacuate("zone-a", true);
    let took = deployment.run_until(|all| is_known_everywhere(all, &["zone-a"]));
    assert!(took <= MAX_TIME, "{took:?}");
}

#[test]
fn an_evacuation_is_read_though_the_store_has_dropped_its_history() {
    let mut deployment = deployment(9);

    deployment.silence_connections();
    deployment.store.evacuate("zone-a", true);
    deployment.store.forgotten = deployment.store.revision;
    let took = deployment.run_until(|all| is_known_everywhere(all, &["zone-a"]));
    assert!(took <= MAX_TIME, "{took:?}");
}

#[test]
fn an_evacuation_is_in_force_in_time_though_both_followers_die() {
    let mut deployment = deployment(9);
    let is_watching = |node: &usize| deployment.node(*node).keeper().is_watching();
    let followers: Vec<_> = (0..9).filter(is_watching).collect();

    for follower in followers {
        deployment.stop(follower);
    }
    deployment.store.evacuate("zone-a", true);
    let took = deployment.run_until(|all| is_known_everywhere(all, &["zone-a"]));
    assert!(took <= MAX_TIME, "{took:?}");
}

#[test]
fn an_object_for_a_zone_that_does_not_exist_changes_nothing() {
    let mut deployment = deployment(9);

    deployment.store.evacuate("zone-x", true);
    deployment.store.evacuate("\u{fffd}", true);
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);
    assert!(is_known_everywhere(&deployment, &["zone-a"]));
}

/// Cuts the balancers of the first zone off from the other balancers and from the store.
fn partition_first_zone(mut deployment: Deployment) -> Deployment {
    deployment.disconnected_from_peers = vec![0, 1, 2];
    deployment.disconnected_from_store = vec![0, 1, 2];
    deployment
}

#[test]
fn an_evacuated_zone_that_is_cut_off_serves_its_callers_itself() {
    let mut deployment = deployment(9);
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);

    let mut deployment = partition_first_zone(deployment);
    deployment.run(millis(4_000));
    let zones = zones_of_flows(&mut deployment, 0, 10);
    assert!(zones.iter().any(|zone| zone == "zone-a"), "{zones:?}");

    deployment.disconnected_from_peers.clear();
    deployment.disconnected_from_store.clear();
    deployment.run(TARGET_TIME);
    let zones = zones_of_flows(&mut deployment, 0, 40);
    assert!(zones.iter().all(|zone| zone != "zone-a"), "{zones:?}");
}

#[test]
fn an_evacuated_zone_that_only_lacks_the_store_gets_no_new_flows() {
    let mut deployment = deployment(9);
    deployment.store.evacuate("zone-a", true);
    deployment.run(TARGET_TIME);

    deployment.store_down = true;
    deployment.run(millis(6_000));
    let zones = zones_of_flows(&mut deployment, 0, 10);
    assert!(zones.iter().all(|zone| zone != "zone-a"), "{zones:?}");
}

#[test]
fn few_store_calls_are_made_for_evacuations() {
    let mut deployment = deployment(9);
    let before = deployment.store.calls;

    deployment.run(millis(15_000));
    // Three kinds, two followers, a watch of 1.5 s each.
    let calls = deployment.store.calls - before;
    assert!(calls <= 3 * 2 * 10 + 6, "{calls} calls");
}

fn report(as_of: u64, zones: &[&str]) -> EvacuationReport {
    EvacuationReport {
        as_of: at(as_of),
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

#[test]
fn an_older_report_changes_nothing() {
    let (mut zones, now) = (EvacuatedZones::default(), start());

    assert!(zones.replace(report(20, &["zone-a"]), now));
    assert!(!zones.replace(report(19, &[]), now));
    assert!(!zones.replace(report(20, &[]), now));
    assert!(!zones.replace(report(25, &["zone-a"]), now), "only the revision is newer");
    assert_eq!(zones.as_of(), at(25));
}

#[test]
fn a_zone_waits_for_the_state_of_its_backend_servers_after_its_evacuation() {
    let (mut zones, now) = (EvacuatedZones::default(), start());
    zones.replace(report(20, &["zone-a"]), now);

    zones.replace(report(30, &[]), now);
    assert!(zones.blocks_new_flows("zone-a"));
    assert!(zones.release_returning(Some(at(29)), now).is_empty());
    assert_eq!(zones.release_returning(Some(at(30)), now), ["zone-a"]);
    assert!(!zones.blocks_new_flows("zone-a"));
}

#[test]
fn a_zone_does_not_wait_long_for_the_state_of_its_backend_servers() {
    let (mut zones, now) = (EvacuatedZones::default(), start());
    zones.replace(report(20, &["zone-a"]), now);

    zones.replace(report(30, &[]), now);
    assert!(zones.release_returning(Some(at(21)), now + millis(2_400)).is_empty());
    assert_eq!(zones.release_returning(Some(at(21)), now + millis(2_500)), ["zone-a"]);
}

#[test]
fn a_zone_that_is_evacuated_again_while_it_waits_stays_evacuated() {
    let (mut zones, now) = (EvacuatedZones::default(), start());
    zones.replace(report(20, &["zone-a"]), now);

    zones.replace(report(30, &[]), now);
    zones.replace(report(31, &["zone-a"]), now);
    assert!(zones.release_returning(None, now).is_empty());
    assert!(zones.blocks_new_flows("zone-a"));
}

#[test]
fn a_deployment_without_evacuations_does_not_read_them() {
    let mut deployment = Deployment::across_zones(4, 2);
    deployment.store.put_routes(routes(1, &[(443, "core")]));
    deployment.store.put_backend(backend(1, "core", "zone-a"));

    deployment.run(millis(5_000));
    assert!(deployment.nodes.iter().flatten().all(|node| node.is_ready()));
    assert_eq!(deployment.store.calls_for(StoreKind::Evacuations), 0);
}
