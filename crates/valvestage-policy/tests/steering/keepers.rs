//! Balancers keep each other up to date, with few calls to the store.

use valvestage_policy::steering::{BackendEntry, BackendPhase, Decision, EntryPolicy};

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, backend, millis, routes};

/// Creates a deployment in which every balancer knows a configuration and four backend servers.
fn settled(count: usize) -> Deployment {
    let mut deployment = Deployment::new(count);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=4 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }

    deployment.run(millis(4_000));
    assert!(deployment.nodes.iter().flatten().all(|node| node.is_ready()));
    deployment
}

fn all_have_version(deployment: &Deployment, version: u64) -> bool {
    deployment.versions().iter().all(|known| *known == version)
}

fn all_know_gone(deployment: &Deployment, instance: u64) -> bool {
    deployment.nodes.iter().flatten().all(|node| {
        let entry = node.knowledge().directory.get(instance);
        entry.is_none_or(|entry| entry.is_gone())
    })
}

#[test]
fn two_balancers_follow_the_store_and_the_others_leave_it_alone() {
    let mut deployment = settled(12);
    assert_eq!(deployment.watchers(), 2);

    let before = deployment.store.calls;
    deployment.run(millis(30_000));
    let calls = deployment.store.calls - before;
    assert!(calls <= 2 * 2 * 21, "{calls} calls in 30 s");
    assert_eq!(deployment.watchers(), 2);
}

#[test]
fn ninety_balancers_call_the_store_no_more_than_twelve() {
    let mut deployment = settled(90);

    let before = deployment.store.calls;
    deployment.run(millis(30_000));
    let calls = deployment.store.calls - before;
    assert!(calls <= 2 * 2 * 21, "{calls} calls in 30 s");
}

#[test]
fn a_configuration_is_everywhere_within_a_moment() {
    let mut deployment = settled(30);

    deployment.store.put_routes(routes(8, &[(443, "core"), (80, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(500), "{took:?}");
}

#[test]
fn a_drain_is_everywhere_within_a_moment() {
    let mut deployment = settled(30);

    let mut draining = backend(2, "core", OWN_ZONE);
    draining.phase = BackendPhase::Draining;
    deployment.store.put_backend(draining);
    let took = deployment.run_until(|now| {
        now.nodes
            .iter()
            .flatten()
            .all(|node| node.knowledge().directory.get(2).unwrap().phase == BackendPhase::Draining)
    });
    assert!(took <= millis(500), "{took:?}");
}

#[test]
fn a_configuration_comes_in_time_when_both_followers_die() {
    let mut deployment = settled(12);
    let followers: Vec<_> =
        (0..12).filter(|node| deployment.node(*node).keeper().is_watching()).collect();

    for node in followers {
        deployment.stop(node);
    }
    deployment.store.put_routes(routes(8, &[(443, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(3_500), "{took:?}");
}

#[test]
fn a_configuration_comes_in_time_when_both_followers_lose_the_store() {
    let mut deployment = settled(12);
    deployment.disconnected_from_store =
        (0..12).filter(|node| deployment.node(*node).keeper().is_watching()).collect();

    deployment.store.put_routes(routes(8, &[(443, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(4_500), "{took:?}");
}

#[test]
fn a_balancer_that_starts_while_the_store_is_away_learns_from_its_peers() {
    let mut deployment = settled(8);
    deployment.store_down = true;
    deployment.run(millis(1_000));

    deployment.start(6);
    let took = deployment.run_until(|now| now.node(6).is_ready());
    assert!(took <= millis(600), "{took:?}");
    assert_eq!(deployment.node(6).knowledge().directory.iter().count(), 4);
}

#[test]
fn a_balancer_that_the_store_refuses_stays_up_to_date() {
    let mut deployment = settled(8);
    deployment.disconnected_from_store = vec![5];

    deployment.start(5);
    deployment.store.put_routes(routes(8, &[(443, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(1_500), "{took:?}");
}

#[test]
fn entries_that_lapse_while_the_store_is_away_and_return_are_never_gone() {
    let mut deployment = settled(8);
    deployment.store_down = true;
    deployment.run(millis(4_000));

    // Three entries lapse during the outage. The store answers again, and 1.5 s later two of them
    // return.
    for instance in 1..=3 {
        deployment.store.delete_backend(instance);
    }
    deployment.store_down = false;
    for _ in 0..1_500 {
        deployment.run(millis(1));
        for node in deployment.nodes.iter().flatten() {
            let entry = node.knowledge().directory.get(1).unwrap();
            assert!(!entry.is_gone());
        }
    }
    for instance in 1..=2 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }
    deployment.run(millis(4_000));
    for node in deployment.nodes.iter().flatten() {
        assert!(!node.knowledge().directory.get(1).unwrap().is_gone());
        assert!(!node.knowledge().directory.get(2).unwrap().is_gone());
    }
    assert!(all_know_gone(&deployment, 3), "entry 3 did not return and should be gone");
}

#[test]
fn an_entry_that_lapses_just_after_the_return_of_the_store_may_return() {
    let mut deployment = settled(8);
    deployment.store_down = true;
    deployment.run(millis(4_000));
    deployment.store_down = false;
    deployment.run(millis(1_500));

    deployment.store.delete_backend(1);
    deployment.run(millis(700));
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    for _ in 0..3_000 {
        deployment.run(millis(1));
        for node in deployment.nodes.iter().flatten() {
            assert!(!node.knowledge().directory.get(1).unwrap().is_gone());
        }
    }
}

/// Lets the entry of a live backend server lapse in a store outage that ends now.
fn lapse_in_an_outage(deployment: &mut Deployment) {
    deployment.store_down = true;
    deployment.run(millis(4_000));
    deployment.store.delete_backend(1);
    deployment.store_down = false;
}

#[test]
fn an_entry_that_is_missing_when_the_store_goes_away_again_may_return() {
    let mut deployment = settled(8);
    lapse_in_an_outage(&mut deployment);
    deployment.run(millis(500));

    // The backend server could not write its entry while the store answered, and the next outage is
    // longer than the time within which entries return.
    deployment.store_down = true;
    for _ in 0..5_000 {
        deployment.run(millis(1));
        assert_not_gone(&deployment, 1);
    }
    deployment.store_down = false;
    for _ in 0..1_500 {
        deployment.run(millis(1));
        assert_not_gone(&deployment, 1);
    }
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    for _ in 0..4_000 {
        deployment.run(millis(1));
        assert_not_gone(&deployment, 1);
    }
}

#[test]
fn an_isolated_balancer_keeps_missing_entries() {
    let mut deployment = settled(8);
    lapse_in_an_outage(&mut deployment);
    deployment.run(millis(1_500));

    // All balancers know that the entry is missing. One of them is isolated while the entry
    // returns.
    let isolated = 5;
    deployment.disconnected_from_store = vec![isolated];
    deployment.disconnected_from_peers = vec![isolated];
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    for _ in 0..6_000 {
        deployment.run(millis(1));
        assert_not_gone(&deployment, 1);
    }
    deployment.disconnected_from_store.clear();
    deployment.disconnected_from_peers.clear();
    deployment.run(millis(4_000));
    assert_not_gone(&deployment, 1);
}

#[test]
fn an_entry_whose_return_is_not_in_the_watches_yet_is_not_gone() {
    let mut deployment = settled(8);
    lapse_in_an_outage(&mut deployment);
    deployment.store.watched_until = Some(deployment.store.revision);
    deployment.run(millis(1_500));

    // The entry returns in time, and watches show it much later.
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    for _ in 0..6_000 {
        deployment.run(millis(1));
        assert_not_gone(&deployment, 1);
    }
    let calls = deployment.store.calls;
    deployment.run(millis(10_000));
    assert!(deployment.store.calls - calls <= 2 * 2 * 8, "the store is listed again and again");
}

fn assert_not_gone(deployment: &Deployment, instance: u64) {
    for node in deployment.nodes.iter().flatten() {
        assert!(!node.knowledge().directory.get(instance).unwrap().is_gone());
    }
}

#[test]
fn history_that_the_store_forgets_is_read_anew() {
    let mut deployment = settled(8);
    deployment.disconnected_from_store = (0..8).collect();
    deployment.run(millis(100));

    deployment.store.delete_backend(4);
    deployment.store.put_routes(routes(8, &[(443, "core")]));
    deployment.store.forgotten = deployment.store.revision;
    deployment.disconnected_from_store.clear();
    deployment.run(millis(5_000));
    assert!(all_have_version(&deployment, 8));
    assert!(all_know_gone(&deployment, 4));
}

#[test]
fn a_balancer_that_was_isolated_brings_no_gone_entry_back() {
    // When its messages arrive again, and when it last called the store, depends on the length of
    // the partition.
    for step in 0..8 {
        check_nothing_returns_after(70_000 + step * 300);
    }
}

fn check_nothing_returns_after(partition_ms: u64) {
    let mut deployment = settled(8);
    deployment.disconnected_from_store = vec![3];
    deployment.disconnected_from_peers = vec![3];
    deployment.run(millis(1_000));
    deployment.store.delete_backend(4);
    deployment.store.put_routes(routes(8, &[(443, "core")]));
    // Long enough for the others to forget the backend server.
    deployment.run(millis(partition_ms));

    deployment.disconnected_from_store.clear();
    deployment.disconnected_from_peers.clear();
    // An entry that may have lapsed has 3.1 s from the last failed call to return. A heartbeat
    // comes 0.4 s later.
    for _ in 0..350 {
        deployment.run(millis(10));
        let others = deployment.nodes.iter().flatten().enumerate().filter(|(node, _)| *node != 3);
        for (_, node) in others {
            assert_eq!(node.knowledge().routes.version, 8);
            let entry = node.knowledge().directory.get(4);
            assert!(entry.is_none_or(|entry| entry.is_gone()));
        }
    }
    assert!(all_have_version(&deployment, 8));
    assert!(all_know_gone(&deployment, 4));
}

#[test]
fn messages_per_balancer_do_not_grow_with_the_deployment() {
    let rate = |count: usize| {
        let mut deployment = settled(count);
        let before = deployment.messages;
        deployment.run(millis(10_000));
        (deployment.messages - before) / count
    };

    let (small, large) = (rate(12), rate(90));
    assert!(large <= small + small / 4, "{small} and {large} messages in 10 s");
}

#[test]
fn a_balancer_that_starts_learns_which_backend_servers_are_gone() {
    let mut deployment = settled(8);
    deployment.store.delete_backend(4);
    deployment.run(millis(3_000));

    // Packets of the flows of backend server 4 still arrive, and their callers should be sent
    // resets at once.
    deployment.start(6);
    let took = deployment.run_until(|now| {
        now.node(6).knowledge().directory.get(4).is_some_and(BackendEntry::is_gone)
    });
    assert!(took <= millis(600), "{took:?}");
}

#[test]
fn a_balancer_that_starts_among_others_does_not_call_the_store() {
    let mut deployment = settled(8);
    deployment.disconnected_from_store = (0..7).collect();
    deployment.run(millis(10));

    let before = deployment.store.calls;
    deployment.start(7);
    deployment.run_until(|now| now.node(7).is_ready());
    assert_eq!(deployment.store.calls, before);
}

#[test]
fn few_balancers_call_the_store_during_its_outage() {
    let mut deployment = settled(90);
    deployment.store_down = true;

    let before = deployment.store.calls;
    deployment.run(millis(10_000));
    let calls = deployment.store.calls - before;
    assert!(calls <= 250, "{calls} calls in 10 s");

    deployment.store_down = false;
    deployment.store.put_routes(routes(8, &[(443, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(2_500), "{took:?}");
}

#[test]
fn a_store_that_answers_only_some_balancers_is_enough() {
    let mut deployment = settled(30);
    deployment.disconnected_from_store = (0..25).collect();

    deployment.store.put_routes(routes(8, &[(443, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(12_000), "{took:?}");
}

#[test]
fn balancers_without_any_configuration_yet_do_not_all_call_the_store() {
    let mut deployment = Deployment::new(90);
    deployment.run(millis(4_000));

    let calls = deployment.store.calls;
    assert!(calls <= 150, "{calls} calls in 4 s");
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    let took = deployment.run_until(|now| all_have_version(now, 3));
    assert!(took <= millis(1_000), "{took:?}");
}

#[test]
fn a_balancer_that_was_paused_asks_at_once() {
    let mut deployment = settled(30);
    let follows = |now: &Deployment, node: usize| now.node(node).keeper().is_watching();
    let node = (0..30).rev().find(|node| !follows(&deployment, *node)).unwrap();
    deployment.paused = vec![node];
    deployment.run(millis(5_000));
    deployment.store.put_routes(routes(8, &[(443, "core")]));
    deployment.run(millis(2_000));

    deployment.paused.clear();
    let took = deployment.run_until(|now| all_have_version(now, 8));
    assert!(took <= millis(120), "{took:?}");
    let decisions = deployment.nodes[node].as_mut().unwrap().take_decisions();
    assert!(decisions.iter().any(|decision| matches!(decision, Decision::Paused { .. })));
}

#[test]
fn messages_stay_few_while_entries_are_missing() {
    let mut deployment = settled(30);
    deployment.store_down = true;
    deployment.run(millis(4_000));
    for instance in 1..=3 {
        deployment.store.delete_backend(instance);
    }
    deployment.store_down = false;

    // One returns while the others are missing: each balancer knows a change, and none knows all.
    let before = deployment.messages;
    deployment.run(millis(1_000));
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    deployment.run(millis(4_000));
    let rate = (deployment.messages - before) / 30 / 5;
    assert!(rate <= 40, "{rate} messages a second from each balancer");
}

#[test]
fn balancers_that_start_together_before_many_backend_servers_are_ready_soon() {
    let mut deployment = Deployment::new(60);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=1_500 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }
    deployment.run(millis(3_000));
    for node in 0..60 {
        deployment.start(node);
    }

    let before = deployment.messages;
    let took = deployment.run_until(|now| now.nodes.iter().flatten().all(EntryPolicy::is_ready));
    assert!(took <= millis(400), "{took:?}");
    // All that is known takes some 50 datagrams.
    let each = (deployment.messages - before) / 60;
    assert!(each <= 120, "{each} messages from each balancer");
}

#[test]
fn balancers_that_start_together_in_several_zones_soon_leave_few_followers() {
    const COUNT: usize = 240;
    let mut deployment = Deployment::across_zones(COUNT, 3);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=1_500 {
        deployment.store.put_backend(backend(instance, "core", OWN_ZONE));
    }
    deployment.run(millis(6_000));
    for node in 0..COUNT {
        deployment.start(node);
    }
    deployment.run(millis(5_000));

    let before = deployment.store.calls;
    deployment.run(millis(5_000));
    let calls = deployment.store.calls - before;
    assert!(deployment.watchers() <= 4, "{} followers", deployment.watchers());
    // Two followers, each with a watch of 1.5 s for either kind of object, and one balancer that
    // starts or stops following.
    assert!(calls <= 30, "{calls} calls in 5 s");
}

#[test]
fn a_balancer_that_starts_after_an_outage_does_not_make_lapsed_entries_gone() {
    let mut deployment = settled(8);
    deployment.store_down = true;
    deployment.run(millis(4_000));
    deployment.store.delete_backend(1);
    deployment.store.delete_backend(2);
    deployment.store_down = false;

    // Balancer 6 reads the list without the lapsed entries, and the others learn from it that there
    // is a newer state.
    deployment.disconnected_from_peers = vec![6];
    deployment.start(6);
    deployment.run_until(|now| now.node(6).is_ready());
    deployment.disconnected_from_peers.clear();
    for _ in 0..1_000 {
        deployment.run(millis(1));
        let others = deployment.nodes.iter().flatten().enumerate().filter(|(node, _)| *node != 6);
        for (_, node) in others {
            assert!(!node.knowledge().directory.get(1).unwrap().is_gone());
        }
    }
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));
    deployment.run(millis(6_000));
    assert!(all_know_gone(&deployment, 2), "entry 2 did not return and should be gone");
    for node in deployment.nodes.iter().flatten() {
        assert!(!node.knowledge().directory.get(1).unwrap().is_gone());
    }
}

/// Guards against waiting for a balancer behind a link that carries one way only. A follower that
/// receives nothing still announces its knowledge and answers no requests. Balancers that request
/// from it at each of its heartbeats get a configuration 3 s late.
#[test]
fn a_follower_that_receives_nothing_does_not_delay_a_new_configuration() {
    for step in 0..20 {
        for follower in 0..2 {
            let mut deployment = settled(4);
            let follows = |node: &usize| deployment.node(*node).keeper().is_watching();
            deployment.disconnected_inbound =
                (0..4).filter(follows).skip(follower).take(1).collect();
            deployment.run(millis(step * 20));

            deployment.store.put_routes(routes(8, &[(443, "core")]));
            let took = deployment.run_until(|now| all_have_version(now, 8));
            assert!(took <= millis(1_200), "{took:?} after {step} steps");
        }
    }
}
