//! What balancers tell each other when there is much to tell.
//!
//! Seen: a configuration that had grown to 4,245 addresses was in force at the balancers that follow the store, and
//! for seven seconds nowhere else; callers were served by the one before. Drains and ends of backend servers were
//! not known either. How it came about: a balancer with a link of 10 Mbit/s answered with 118 datagrams at once, and
//! the queue of its link took the first 64 KB. The rest was lost, the same parts each time, and with them what stood
//! behind them: the changes of backend servers. What was there counted for nothing in the next answer. Cause: an
//! answer without a bound for what is sent at once, and without a way to ask for the rest. Proved by log lines that tell
//! the parts which came (101 to 106 of 118, always the first ones), and by these tests.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use valvestage_policy::steering::{BackendEntry, BackendPhase, EntryPolicy, RouteMap};

use crate::deployment::Deployment;
use crate::fixtures::{HOME, backend, millis, routes, target};
use crate::links::{LinkLimits, SLOW_LINK};

/// A service's name as long as those in operation.
const SERVICE: &str = "streams";

/// The longest that a new configuration may take until it is in force everywhere.
const BOUND_MS: u64 = 3_000;

/// Half of those that restart together are ready within this time: half of the two seconds over which service after a restart is
/// measured.
const HALF_READY_WITHIN: Duration = Duration::from_secs(1);

/// A configuration of so many addresses.
fn large_routes(version: u64, addresses: u16) -> RouteMap {
    let address = |number: u16| {
        let [high, low] = number.to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(198, 18, high, low), 443)
    };
    let routes: HashMap<_, _> =
        (0..addresses).map(|number| (address(number), vec![target(SERVICE, 1)])).collect();

    RouteMap { version, routes, idle_timeout_ms: 15_000, ..Default::default() }
}

/// One of many backend servers, each at an address of its own.
fn one_of_many(instance: u64) -> BackendEntry {
    let [.., high, low] = instance.to_be_bytes();
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 8_080);

    BackendEntry { address, ..backend(instance, SERVICE, HOME) }
}

/// Balancers with such links in three availability zones, which know a configuration and four backend servers.
fn settled(count: usize, limits: LinkLimits) -> Deployment {
    let mut deployment = Deployment::over_links(count, 3, Some(limits));
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    for instance in 1..=4 {
        deployment.store.put_backend(backend(instance, "core", HOME));
    }

    deployment.run(millis(6_000));
    assert!(deployment.nodes.iter().flatten().all(EntryPolicy::is_ready));
    deployment
}

fn all_have(deployment: &Deployment, version: u64) -> bool {
    deployment.versions().iter().all(|known| *known == version)
}

#[test]
fn a_large_configuration_is_everywhere_in_time_over_slow_links() {
    let mut deployment = settled(24, SLOW_LINK);

    deployment.store.put_routes(large_routes(8, 4_245));
    let took = deployment.run_until(|now| all_have(now, 8));
    assert!(took <= millis(BOUND_MS), "{took:?}");
}

#[test]
fn a_deployment_of_ninety_has_a_large_configuration_in_time_over_slow_links() {
    let mut deployment = settled(90, SLOW_LINK);

    deployment.store.put_routes(large_routes(8, 4_245));
    let took = deployment.run_until(|now| all_have(now, 8));
    assert!(took <= millis(BOUND_MS), "{took:?}");
}

/// Of the 4 s after which balancers are held to bounds again whose connections fell silent, 2.2 s may go by until others notice that
/// nobody is answered, and 0.85 s until one of them has read the configuration over a slow link.
const LEFT_TO_TELL_MS: u64 = 950;

/// Few have it at the same moment and tell the others, who ask them all at once: whoever has some of it goes on first, so that
/// it is whole somewhere soon, and can be had there. Where all had the same turns, all were done at the same late moment.
#[test]
fn ninety_are_told_of_a_large_configuration_before_their_time_is_over() {
    let mut deployment = settled(90, SLOW_LINK);

    deployment.store.put_routes(large_routes(8, 5_500));
    deployment.run_until(|now| now.versions().contains(&8));
    let took = deployment.run_until(|now| all_have(now, 8));
    assert!(took <= millis(LEFT_TO_TELL_MS), "{took:?}");
}

#[test]
fn ninety_have_a_large_configuration_in_time_after_calls_fell_silent() {
    for later in [100, 500, 900] {
        let mut deployment = settled(90, SLOW_LINK);
        deployment.configuration_time = millis(800);
        deployment.run(millis(3_000));

        let silent_at = deployment.now;
        deployment.silence_connections();
        deployment.run(millis(later));
        deployment.store.put_routes(large_routes(8, 5_500));
        deployment.run_until(|now| all_have(now, 8));
        let took = deployment.now - silent_at;
        assert!(took <= millis(4_000), "written {later} ms later: {took:?}");
    }
}

#[test]
fn a_configuration_as_large_as_the_store_takes_is_everywhere_in_time() {
    let mut deployment = settled(24, SLOW_LINK);

    // 1 MiB at the 120 bytes of the shortest route.
    deployment.store.put_routes(large_routes(8, 8_700));
    let took = deployment.run_until(|now| all_have(now, 8));
    assert!(took <= millis(BOUND_MS), "{took:?}");
}

#[test]
fn a_drain_is_known_in_time_while_a_large_configuration_is_told() {
    let mut deployment = settled(24, SLOW_LINK);
    deployment.store.put_routes(large_routes(8, 4_245));
    deployment.run(millis(50));

    let mut leaving = backend(2, "core", HOME);
    leaving.phase = BackendPhase::Draining;
    deployment.store.put_backend(leaving);
    let took = deployment.run_until(|now| {
        let mut nodes = now.nodes.iter().flatten();
        nodes.all(|node| {
            let entry = node.knowledge().directory.get(2);
            entry.is_some_and(|entry| entry.phase == BackendPhase::Draining)
        })
    });
    assert!(took <= millis(BOUND_MS), "{took:?}");
}

#[test]
fn lost_datagrams_cost_themselves_and_not_the_whole_answer() {
    let lossy = LinkLimits { loss: 0.05, ..SLOW_LINK };
    let mut deployment = settled(24, lossy);

    deployment.store.put_routes(large_routes(8, 4_245));
    let took = deployment.run_until(|now| all_have(now, 8));
    assert!(took <= millis(BOUND_MS), "{took:?}");
}

#[test]
fn large_configurations_in_quick_succession_hold_each_other_up_no_longer_than_one() {
    let mut deployment = settled(24, SLOW_LINK);

    for version in 8..20 {
        deployment.store.put_routes(large_routes(version, 4_000 + u16::try_from(version).unwrap()));
        deployment.run(millis(330));
    }
    let took = deployment.run_until(|now| all_have(now, 19));
    assert!(took <= millis(BOUND_MS), "{took:?}");
}

#[test]
fn a_balancer_that_starts_over_slow_links_learns_of_many_backend_servers_in_time() {
    let mut deployment = settled(6, SLOW_LINK);
    // Those of the size to design for, and as many that were there before them.
    for instance in 5..=5_400 {
        deployment.store.put_backend(one_of_many(instance));
    }
    deployment.run(millis(10_000));

    // It cannot read the store itself.
    deployment.cut_from_store = vec![5];
    deployment.start(5);
    let took = deployment.run_until(|now| now.node(5).is_ready());
    assert!(took <= millis(BOUND_MS), "{took:?}");
    assert_eq!(deployment.node(5).knowledge().directory.iter().count(), 5_400);
}

/// Pattern: many balancers ask few others for all backend servers at once. If all had the same turns all would be done at the same late
/// moment, and none could tell others before.
#[test]
fn a_herd_that_asks_few_for_many_backend_servers_is_ready_soon() {
    const BALANCERS: usize = 40;
    let mut deployment = Deployment::over_links(BALANCERS, 3, Some(SLOW_LINK));
    deployment.store.put_routes(routes(3, &[(443, SERVICE)]));
    for instance in 1..=3_000 {
        deployment.store.put_backend(one_of_many(instance));
    }
    deployment.run(millis(6_000));
    assert!(deployment.nodes.iter().flatten().all(EntryPolicy::is_ready));

    deployment.store_down = true;
    for node in 3..BALANCERS {
        deployment.start(node);
    }
    let count_ready =
        |now: &Deployment| now.nodes.iter().flatten().filter(|node| node.is_ready()).count();
    let half = deployment.run_until(|now| count_ready(now) >= BALANCERS / 2);
    assert!(half <= HALF_READY_WITHIN, "{half:?}");
    let all = half + deployment.run_until(|now| count_ready(now) == BALANCERS);
    assert!(all <= millis(BOUND_MS), "{all:?}");
}
