//! Guards against balancers that all give up reading a large configuration over slow links.
//!
//! Reading a configuration near the store's size limit takes longer than one attempt of a balancer
//! whose earlier calls failed. Ninety balancers tried in turn and none kept following: one
//! availability zone had no follower for 10 s, all balancers of the others followed in its place,
//! and each of their answers was forwarded by every balancer, five times the usual number of
//! messages. After an outage two followers called the store 53 times in 5 s.

use std::time::Duration;

use valvestage_policy::steering::EntryPolicy;

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, backend, millis, routes};

/// Time to read a configuration of 5,500 addresses, some 1 MB, over 10 Mbit/s.
const READ_TIME: Duration = Duration::from_millis(800);

/// A configuration has to be in force within this time.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Calls of two followers in 5 s, with a watch of at least 0.75 s for each of two kinds of objects,
/// and the calls of one balancer that starts or stops following the store.
const MAX_CALLS: usize = 32;

/// Messages of one balancer in 5 s: four heartbeats every 400 ms, and twice as many for those that
/// the store answers.
const MAX_MESSAGES_EACH: usize = 110;

fn settled(count: usize) -> Deployment {
    let mut deployment = Deployment::across_zones(count, 3);
    deployment.configuration_time = READ_TIME;
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));

    deployment.run(millis(8_000));
    assert!(deployment.nodes.iter().flatten().all(EntryPolicy::is_ready));
    deployment
}

/// Returns a deployment after an outage of the store that lasted until all balancers had tried to
/// read it without success.
fn after_an_outage(count: usize) -> Deployment {
    let mut deployment = settled(count);

    deployment.store_down = true;
    deployment.run(millis(12_000));
    deployment.store_down = false;
    deployment.run(millis(4_000));
    deployment
}

#[test]
fn few_follow_the_store_soon_after_an_outage() {
    for count in [6, 12, 30] {
        let mut deployment = after_an_outage(count);

        let before = deployment.store.calls;
        deployment.run(millis(5_000));
        let calls = deployment.store.calls - before;
        assert!(calls <= MAX_CALLS, "{count} balancers: {calls} calls");
        assert_eq!(deployment.watchers(), 2, "{count} balancers");
    }
}

#[test]
fn messages_are_few_soon_after_an_outage() {
    let mut deployment = after_an_outage(30);

    let before = deployment.messages;
    deployment.run(millis(5_000));
    let messages = deployment.messages - before;
    assert!(messages <= 30 * MAX_MESSAGES_EACH, "{messages} messages");
}

#[test]
fn few_calls_are_made_while_the_store_refuses() {
    let mut deployment = settled(30);
    deployment.store_down = true;
    deployment.run(millis(5_000));

    let before = deployment.store.calls;
    deployment.run(millis(10_000));
    let calls = deployment.store.calls - before;
    assert!(calls <= 220, "{calls} calls in 10 s");
}

/// All balancers have just started, and the connections of their list calls fall silent.
#[test]
fn balancers_without_knowledge_do_not_all_back_off_at_once() {
    let mut deployment = settled(5);
    for node in 0..5 {
        deployment.start(node);
    }
    deployment.run(millis(300));
    deployment.silence_connections();

    // Calls on silent connections end within 1.8 s, and reading takes 0.8 s.
    let took = deployment.run_until(|now| now.nodes.iter().flatten().all(EntryPolicy::is_ready));
    assert!(took <= millis(2_600) + IN_FORCE / 4, "{took:?}");
}
