//! Guards against ignoring changes after the store is restored from a backup that is some seconds
//! old. The store is in its next era then, and assigns revisions again that balancers already know,
//! now to other changes.
//!
//! If knowledge is compared by bare revisions, balancers that know all changes up to revision 26
//! ignore a drain at revision 23, so requests still reach a backend server 3.0 s after the store
//! has accepted that it drains. Followers that continue from revision 26 are refused, and list the
//! store again and again, with 70 calls a second each, until it has reached that revision.

use std::time::Duration;

use valvestage_policy::steering::{BackendEntry, BackendPhase};

use crate::deployment::Deployment;
use crate::fixtures::{OTHER_ZONE, OWN_ZONE, backend, millis, routes};

/// Time within which all balancers have to know a drain, and to have a new configuration in force.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// How long the store is unavailable before it is restored.
const AWAY_FOR: Duration = Duration::from_millis(2_600);

/// The newest configuration version that balancers know.
const VERSION: u64 = 30;

fn draining(instance: u64) -> BackendEntry {
    BackendEntry { phase: BackendPhase::Draining, ..backend(instance, "core", OWN_ZONE) }
}

/// Creates balancers that know six backend servers, and after those four configurations.
fn settled(count: usize) -> Deployment {
    let mut deployment = Deployment::across_zones(count, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=6 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }
    deployment.run(millis(4_000));
    assert!(deployment.nodes.iter().flatten().all(|node| node.is_ready()));

    for version in VERSION - 3..=VERSION {
        deployment.store.put_routes(routes(version, &[(443, "core")]));
        deployment.run(millis(500));
    }
    deployment
}

/// Makes the store unavailable, and then restores it without its last changes.
fn restore(deployment: &mut Deployment, lost_changes: u64) {
    deployment.store_down = true;
    deployment.run(AWAY_FOR);
    deployment.store.restore(lost_changes);
    deployment.store_down = false;
}

fn phase_of(deployment: &Deployment, node: usize, instance: u64) -> Option<BackendPhase> {
    let entry = deployment.node(node).knowledge().directory.get(instance);

    entry.map(|entry| entry.phase)
}

fn is_draining_everywhere(deployment: &Deployment, instance: u64) -> bool {
    let is_draining = |node| phase_of(deployment, node, instance) == Some(BackendPhase::Draining);

    (0..deployment.nodes.len()).all(is_draining)
}

#[test]
fn a_drain_is_known_everywhere_though_its_revision_was_given_out_before() {
    let mut deployment = settled(8);

    restore(&mut deployment, 4);
    deployment.run(millis(4_200));
    deployment.store.put_backend(draining(2));
    let took = deployment.run_until(|now| is_draining_everywhere(now, 2));
    assert!(took <= KNOWN_WITHIN, "{took:?}");
}

#[test]
fn a_restored_store_is_called_no_more_often_than_after_another_outage() {
    for count in [8, 90] {
        let calls_after = |lost_changes: Option<u64>| {
            let mut deployment = settled(count);
            deployment.store_down = true;
            deployment.run(AWAY_FOR);
            if let Some(lost_changes) = lost_changes {
                deployment.store.restore(lost_changes);
            }
            deployment.store_down = false;
            let before = deployment.store.calls;
            deployment.run(millis(5_000));
            deployment.store.calls - before
        };

        let (ordinary, restored) = (calls_after(None), calls_after(Some(4)));
        // One more list of each kind for each of the two followers.
        assert!(
            restored <= ordinary + 4,
            "{count} balancers: {restored} calls, {ordinary} after another outage"
        );
    }
}

#[test]
fn a_backup_does_not_make_a_draining_backend_server_ready() {
    let mut deployment = settled(8);
    deployment.store.put_backend(draining(2));
    deployment.run_until(|now| is_draining_everywhere(now, 2));

    // The backup shows the backend server as ready, and only later does the backend server write
    // again that it drains.
    restore(&mut deployment, 1);
    for _ in 0..150 {
        deployment.run(millis(10));
        assert!(is_draining_everywhere(&deployment, 2));
    }
    deployment.store.put_backend(draining(2));
    deployment.run(millis(5_000));
    assert!(is_draining_everywhere(&deployment, 2));
}

#[test]
fn a_backup_does_not_bring_back_a_backend_server_that_has_left() {
    let mut deployment = settled(8);
    deployment.store.put_backend(draining(2));
    deployment.run(millis(2_000));
    deployment.store.delete_backend(2);
    deployment.run(millis(2_000));

    // The backup shows the backend server as ready until its entry lapses.
    restore(&mut deployment, 2);
    for _ in 0..230 {
        deployment.run(millis(10));
        for node in 0..8 {
            let phase = phase_of(&deployment, node, 2);
            assert!(matches!(phase, Some(BackendPhase::Gone { .. })), "balancer {node}: {phase:?}");
        }
    }
    deployment.store.delete_backend(2);
    deployment.run(millis(5_000));
    assert!(
        (0..8)
            .all(|node| matches!(phase_of(&deployment, node, 2), Some(BackendPhase::Gone { .. })))
    );
}

#[test]
fn a_backend_server_that_a_backup_lacks_is_used_until_it_is_gone() {
    let mut deployment = settled(8);
    deployment.store.put_backend(backend(7, "core", OTHER_ZONE));
    deployment.run(millis(2_000));

    restore(&mut deployment, 1);
    for _ in 0..150 {
        deployment.run(millis(10));
        assert!((0..8).all(|node| phase_of(&deployment, node, 7) == Some(BackendPhase::Ready)));
    }
    deployment.store.put_backend(backend(7, "core", OTHER_ZONE));
    deployment.run(millis(6_000));
    for node in 0..8 {
        let entry = deployment.node(node).knowledge().directory.get(7);
        assert!(entry.is_some_and(
            |entry| entry.phase == BackendPhase::Ready && entry.missing_until.is_none()
        ));
    }

    // The same, but the backend server has ended.
    restore(&mut deployment, 1);
    deployment.run(millis(6_000));
    assert!(
        (0..8)
            .all(|node| matches!(phase_of(&deployment, node, 7), Some(BackendPhase::Gone { .. })))
    );
}

#[test]
fn a_configuration_that_the_store_has_lost_stays_in_force_and_a_newer_one_comes_in_time() {
    let mut deployment = settled(8);

    restore(&mut deployment, 4);
    for _ in 0..400 {
        deployment.run(millis(10));
        assert!(deployment.versions().iter().all(|version| *version == VERSION));
    }
    deployment.store.put_routes(routes(VERSION + 1, &[(443, "core")]));
    let is_in_force = |now: &Deployment| now.versions().iter().all(|known| *known == VERSION + 1);
    let took = deployment.run_until(is_in_force);
    assert!(took <= KNOWN_WITHIN, "{took:?}");
}

/// The open watches begin again only when the store has given out more revisions than it had lost.
#[test]
fn a_restored_store_that_has_passed_its_former_revision_is_listed_again() {
    let mut deployment = settled(8);
    deployment.silence_connections();

    deployment.store.restore(4);
    deployment.store.put_backend(draining(2));
    for version in VERSION + 1..=VERSION + 6 {
        deployment.store.put_routes(routes(version, &[(443, "core")]));
    }
    let took = deployment.run_until(|now| is_draining_everywhere(now, 2));
    assert!(took <= KNOWN_WITHIN, "{took:?}");
}

/// Each restore loses changes of the era before.
#[test]
fn a_store_that_is_restored_twice_is_followed_in_its_last_era() {
    let mut deployment = settled(8);

    restore(&mut deployment, 4);
    deployment.run(millis(300));
    deployment.store.put_routes(routes(VERSION, &[(443, "core")]));
    deployment.run(millis(300));
    restore(&mut deployment, 2);
    deployment.run(millis(4_200));
    deployment.store.put_backend(draining(2));
    let took = deployment.run_until(|now| is_draining_everywhere(now, 2));
    assert!(took <= KNOWN_WITHIN, "{took:?}");
}

/// The balancer starts isolated from its peers, and knows only the new era. The others know the
/// former era as well.
#[test]
fn a_balancer_that_starts_in_the_new_era_agrees_with_the_others() {
    let mut deployment = settled(8);
    deployment.store.put_backend(draining(2));
    deployment.run(millis(1_000));

    deployment.stop(5);
    restore(&mut deployment, 1);
    deployment.disconnected_from_peers = vec![5];
    deployment.start(5);
    deployment.run(millis(1_000));
    deployment.disconnected_from_peers.clear();
    deployment.run(millis(5_000));
    assert!(is_draining_everywhere(&deployment, 2));
}

/// The balancer learns of the new era 5 s later, and its knowledge of the former era must not
/// overwrite anything.
#[test]
fn a_balancer_that_was_paused_during_a_restore_brings_nothing_back() {
    let mut deployment = settled(8);
    deployment.store.put_backend(backend(7, "core", OTHER_ZONE));
    deployment.run(millis(1_000));

    deployment.paused = vec![5];
    restore(&mut deployment, 1);
    deployment.store.put_backend(draining(2));
    deployment.run(millis(5_000));
    deployment.paused.clear();
    deployment.run(millis(5_000));
    assert!(is_draining_everywhere(&deployment, 2));
    assert!(
        (0..8)
            .all(|node| matches!(phase_of(&deployment, node, 7), Some(BackendPhase::Gone { .. })))
    );
}

#[test]
fn an_evacuation_that_a_backup_lacks_stays_until_the_operator_can_write_it_again() {
    let mut deployment = Deployment::across_zones(8, 3);
    deployment.has_evacuations = true;
    for node in 0..8 {
        deployment.start(node);
    }
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    deployment.run(millis(4_000));
    deployment.store.evacuate(OWN_ZONE, true);
    deployment.run(millis(2_000));

    restore(&mut deployment, 1);
    for _ in 0..200 {
        deployment.run(millis(10));
        let holds =
            |node: usize| deployment.node(node).knowledge().evacuated.blocks_new_flows(OWN_ZONE);
        assert!((0..8).all(holds));
    }
    deployment.store.evacuate(OWN_ZONE, true);
    deployment.run(millis(6_000));
    assert!(
        (0..8).all(|node| deployment.node(node).knowledge().evacuated.zones().contains(OWN_ZONE))
    );

    // The evacuation was lifted, which the backup lacks until the operator lifts it again.
    deployment.store.evacuate(OWN_ZONE, false);
    deployment.run(millis(6_000));
    restore(&mut deployment, 1);
    deployment.run(millis(2_000));
    deployment.store.evacuate(OWN_ZONE, false);
    deployment.run(millis(6_000));
    assert!(
        (0..8).all(|node| !deployment.node(node).knowledge().evacuated.blocks_new_flows(OWN_ZONE))
    );
}
