//! Guards against watches that hang on dead connections.
//!
//! Open connections become silent for good, without a reset, while new ones work. A watch without
//! changes is silent as well, so only its own deadline reveals that the connection is dead.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, backend, millis, routes};

/// Time within which a configuration has to be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// Time after which a backend server that is leaving gets no new flows.
const AVOIDED_WITHIN: Duration = Duration::from_secs(3);

fn ready_deployment(count: usize, zones: usize) -> Deployment {
    let mut deployment = Deployment::across_zones(count, zones);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(1, "core", OWN_ZONE));

    deployment.run(millis(4_000));
    assert!(deployment.nodes.iter().flatten().all(|node| node.is_ready()));
    deployment
}

#[test]
fn a_configuration_is_in_force_in_time_whenever_connections_fall_silent() {
    let mut deployment = ready_deployment(9, 3);

    for (version, offset) in (10..).zip([0, 300, 700, 1_100, 1_490, 1_700]) {
        deployment.run(millis(6_000 + offset));
        deployment.silence_connections();
        deployment.store.put_routes(routes(version, &[(443, "core")]));
        let is_everywhere = |now: &Deployment| now.versions().iter().all(|known| *known == version);
        let took = deployment.run_until(is_everywhere);
        assert!(took <= IN_FORCE_WITHIN, "silent {offset} ms later: {took:?}");
    }
}

#[test]
fn a_leaving_backend_server_is_known_in_time_after_connections_fell_silent() {
    let mut deployment = ready_deployment(30, 3);

    deployment.silence_connections();
    deployment.store.delete_backend(1);
    let is_gone = |now: &Deployment| {
        now.nodes.iter().flatten().all(|node| {
            node.knowledge()
                .directory
                .get(1)
                .is_none_or(|entry| entry.is_gone() || entry.missing_until.is_some())
        })
    };
    let took = deployment.run_until(is_gone);
    assert!(took <= AVOIDED_WITHIN, "{took:?}");
}

#[test]
fn repeated_silence_does_not_keep_balancers_from_following() {
    let mut deployment = ready_deployment(9, 3);

    for version in 10..30 {
        deployment.run(millis(700));
        deployment.silence_connections();
        deployment.store.put_routes(routes(version, &[(443, "core")]));
    }
    let took = deployment.run_until(|now| now.versions().iter().all(|known| *known == 29));
    assert!(took <= IN_FORCE_WITHIN, "{took:?}");
}
