//! Guards against work proportional to all backend servers on each tick or message. With 10,000
//! backend servers, such work takes most of the processor time of an idle fleet.

use valvestage_policy::steering::{
    BackendEntry, BackendPhase, EntryPolicy, PacketVerdict, SteeringOptions, SteeringPolicy,
};

use crate::deployment::Deployment;
use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, at, backend, flow, knowledge, millis, opening, routes, start,
};

/// Returns the number of entries that all balancers visit in ten seconds without changes, for that
/// many backend servers.
fn visits_when_idle(backends: u64, has_failed: bool) -> u64 {
    let mut deployment = Deployment::new(6);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=backends {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }
    deployment.run(millis(4_000));
    assert!(deployment.nodes.iter().flatten().all(EntryPolicy::is_ready));
    if has_failed {
        deployment.store_down = true;
        deployment.run(millis(1_000));
        deployment.store_down = false;
        deployment.run(millis(6_000));
    }

    let before = visits(&deployment);
    deployment.run(millis(10_000));
    visits(&deployment) - before
}

fn visits(deployment: &Deployment) -> u64 {
    let nodes = deployment.nodes.iter().flatten();

    nodes.map(|node| node.knowledge().directory.visits()).sum()
}

#[test]
fn an_idle_second_visits_no_entry() {
    for has_failed in [false, true] {
        assert_eq!(visits_when_idle(20, has_failed), 0);
        assert_eq!(visits_when_idle(200, has_failed), 0);
    }
}

/// Peers process the changed entries only.
#[test]
fn a_change_is_sent_without_visits_of_unchanged_entries() {
    let visits_of_a_change = |backends: u64| {
        let mut deployment = Deployment::new(6);
        deployment.store.put_routes(routes(3, &[(443, "core")]));
        for instance in 1..=backends {
            deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
        }
        deployment.run(millis(4_000));

        let before = visits(&deployment);
        let leaving =
            BackendEntry { phase: BackendPhase::Draining, ..backend(7, "core", OWN_ZONE) };
        deployment.store.put_backend(leaving);
        deployment.run(millis(2_000));
        visits(&deployment) - before
    };

    assert_eq!(visits_of_a_change(20), visits_of_a_change(200));
}

/// Other zones are searched only if one of them may have a better backend server.
#[test]
fn a_flow_is_placed_without_visits_of_zones_that_are_no_better() {
    let home = (1..=4).map(|instance| backend(instance, "core", OWN_ZONE));
    let away = (5..=200).map(|instance| backend(instance, "core", OTHER_ZONE));
    let known = knowledge(&home.chain(away).collect::<Vec<_>>());
    let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
    let mut policy = SteeringPolicy::new(options, 7);

    for port in 1..=4 {
        let verdict = policy.on_packet(&known, &opening(flow(port), 0), start());
        assert!(matches!(verdict, PacketVerdict::Forward { .. }), "{verdict:?}");
    }
    let candidates = policy.take_decisions().into_iter().filter_map(|decision| match decision {
        valvestage_policy::steering::Decision::Placed(placement) => Some(placement.candidates),
        _ => None,
    });
    assert_eq!(candidates.collect::<Vec<_>>(), [4, 4, 4, 4]);
}

/// The incrementally maintained totals equal those computed from all entries.
#[test]
fn totals_of_ready_backend_servers_match_their_entries() {
    let mut known = knowledge(&(1..=20).map(|n| backend(n, "core", OWN_ZONE)).collect::<Vec<_>>());
    let directory = &mut known.directory;
    directory.put(BackendEntry { slots: 7, position: at(1_100), ..backend(3, "core", OTHER_ZONE) });
    directory.put(BackendEntry {
        phase: BackendPhase::Draining,
        position: at(1_101),
        ..backend(4, "core", OWN_ZONE)
    });
    directory.mark_gone(5, at(1_102), start());
    directory.mark_unusable(6, at(1_103));
    directory.mark_missing(7, start() + millis(2_000));
    directory.put(BackendEntry { position: at(1_104), ..backend(5, "photos", OWN_ZONE) });

    let is_ready = |entry: &&BackendEntry| entry.phase == BackendPhase::Ready;
    for (service, zone) in [("core", OWN_ZONE), ("core", OTHER_ZONE), ("photos", OWN_ZONE)] {
        let of_zone = |entry: &&BackendEntry| entry.service == service && entry.zone == zone;
        let entries = directory.iter().filter(is_ready).filter(of_zone);
        let kept = directory.ready().of_service(service).find(|(name, _)| *name == zone);
        let slots: u32 = entries.map(|entry| entry.slots).sum();
        assert_eq!(kept.map(|(_, backends)| backends.slots()), Some(slots.into()), "{service}");
    }
    assert_eq!(directory.ready().len(), directory.iter().filter(is_ready).count());
}
