//! Pattern: many balancers start at once and cannot know of each other yet, since those that the settings name come
//! last. Each reads everything from the store: priced calls, and more of them than the store takes in a second at the
//! size to design for.

use valvestage_policy::steering::{DropReason, PacketVerdict, ResetReason};

use crate::deployment::Deployment;
use crate::fixtures::{HOME, backend, flow, millis, opening, routes};

/// A store with a configuration and four backend servers, and balancers that have not started.
fn stopped(count: usize) -> Deployment {
    let mut deployment = Deployment::new(count);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=4 {
        deployment.store.put_backend(backend(instance, "core", HOME));
    }

    (0..count).for_each(|node| deployment.stop(node));
    deployment
}

fn are_ready(deployment: &Deployment) -> bool {
    deployment.nodes.iter().flatten().all(|node| node.is_ready())
}

#[test]
fn balancers_that_know_nobody_read_what_may_be_cached() {
    let mut deployment = stopped(30);

    // Those that the settings name come last.
    (3..30).for_each(|node| deployment.start(node));
    deployment.run_until(are_ready);
    assert!(deployment.store.cached_calls >= 2 * 20, "{}", deployment.store.cached_calls);
    // One watch of each kind at most.
    assert!(deployment.store.calls <= 2 * 27, "{} calls", deployment.store.calls);
}

#[test]
fn what_was_out_of_date_is_in_force_a_moment_later() {
    let mut deployment = stopped(6);
    deployment.store.fill_cache();
    deployment.store.put_routes(routes(8, &[(443, "core"), (80, "photos")]));
    deployment.store.delete_backend(2);
    deployment.store.put_backend(backend(5, "core", HOME));

    (3..6).for_each(|node| deployment.start(node));
    deployment.run_until(are_ready);
    let is_present = |now: &Deployment| {
        now.nodes.iter().flatten().all(|node| {
            let known = node.knowledge();
            let directory = &known.directory;
            known.routes.version == 8
                && directory.get(5).is_some()
                && directory.get(2).is_none_or(|entry| entry.is_gone())
        })
    };
    let took = deployment.run_until(is_present);
    assert!(took <= millis(20), "{took:?}");
}

#[test]
fn nothing_is_refused_for_what_may_be_out_of_date() {
    let mut deployment = stopped(4);
    deployment.store.fill_cache();

    deployment.start(3);
    deployment.run_until(are_ready);
    // The store has it by now, and the balancer may not have heard.
    let mut packet = opening(flow(1), 0);
    packet.flow.service.set_port(80);
    let verdict = deployment.on_packet(3, &packet);
    assert_eq!(verdict, PacketVerdict::Drop(DropReason::NoRoute));

    deployment.run(millis(2_000));
    let verdict = deployment.on_packet(3, &packet);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoRoute));
}

#[test]
fn after_a_failure_nothing_cached_is_read() {
    let mut deployment = stopped(4);
    deployment.store.fill_cache();
    deployment.store_down = true;
    deployment.start(3);
    deployment.run(millis(1_000));
    let before = deployment.store.cached_calls;

    deployment.store.put_routes(routes(8, &[(443, "core")]));
    deployment.store_down = false;
    deployment.run_until(are_ready);
    assert_eq!(deployment.store.cached_calls, before);
    assert_eq!(deployment.versions(), [8]);
}

#[test]
fn one_that_follows_again_reads_nothing_cached() {
    let mut deployment = stopped(4);
    (0..4).for_each(|node| deployment.start(node));
    deployment.run_until(are_ready);
    let before = deployment.store.cached_calls;

    // All followers go, and others take over.
    for node in 0..3 {
        deployment.stop(node);
        deployment.run(millis(5_000));
    }
    assert_eq!(deployment.watchers(), 1);
    assert_eq!(deployment.store.cached_calls, before);
}
