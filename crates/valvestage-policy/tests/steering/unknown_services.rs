//! Guards against ends of living backend servers that rest on entries whose services are not known.
//!
//! Another writer may leave an entry of a service that no configuration names under the name or at
//! the address of a living backend server. Before the first configuration a balancer took every
//! service for known, so that such an entry ended the backend server, and its open flows were reset.

use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendName, BackendPhase, Knowledge, PacketVerdict,
    SteeringOptions, SteeringPolicy,
};

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, at, backend, data, flow, millis, name_of, opening, routes, start};

/// The backend server that lives.
const SERVER: u64 = 1;

/// Incarnation of an entry that appears at the name or the address of [`SERVER`].
const LATER: u64 = SERVER | 1 << 40;

/// Returns an entry under the name of [`SERVER`], at its address.
fn under_its_name(service: &str) -> BackendEntry {
    BackendEntry {
        instance: LATER,
        position: at(1_100),
        service: service.to_owned(),
        ..backend(SERVER, service, OWN_ZONE)
    }
}

/// Returns an entry under another name, at the address of [`SERVER`].
fn at_its_address(service: &str) -> BackendEntry {
    let name = BackendName { digest: 1, ..name_of(SERVER) };

    BackendEntry { name, ..under_its_name(service) }
}

/// Returns the knowledge of a balancer that has read the backend servers and no configuration.
fn without_configuration() -> Knowledge {
    let mut known = Knowledge::default();

    known.confirm(Some(start()));
    known.directory.put(backend(SERVER, "core", OWN_ZONE));
    known.directory.complete(at(1_000));
    known
}

fn is_gone(known: &Knowledge) -> bool {
    known.directory.get(SERVER).is_some_and(BackendEntry::is_gone)
}

/// Guards against a reset of the flows of a living backend server by an entry of another writer that
/// is read before the first configuration.
#[test]
fn an_entry_of_an_unknown_service_before_the_first_configuration_ends_no_flow() {
    for other in [under_its_name("nobody's"), at_its_address("nobody's")] {
        let now = start();
        let mut known = without_configuration();
        known.directory.apply_entry(other.clone(), now);
        known.replace_routes(routes(1, &[(443, "core")]));
        known.directory.resolve_named_services(now);

        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let mut policy = SteeringPolicy::new(options, 1);
        let request = data(flow(1), BackendDirectory::token_of(SERVER), 1_001, 100, 501);
        let verdict = policy.on_packet(&known, &request, now);
        assert!(
            matches!(verdict, PacketVerdict::Forward { instance: SERVER, .. }),
            "{:?}: {verdict:?}",
            other.name
        );
    }
}

/// Guards against an end by such an entry at a balancer that follows the store while the answer with
/// the configuration takes long.
#[test]
fn a_balancer_whose_configuration_comes_late_ends_no_backend_server_for_an_unknown_service() {
    let mut deployment = Deployment::new(1);
    deployment.configuration_time = millis(800);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(SERVER, "core", OWN_ZONE));
    deployment.run(millis(400));
    assert!(deployment.node(0).knowledge().directory.get(SERVER).is_some());
    assert_eq!(deployment.versions(), [0]);

    let address = backend(SERVER, "core", OWN_ZONE).address;
    deployment.store.put_backend(BackendEntry { address, ..backend(9, "nobody's", OWN_ZONE) });
    deployment.run(millis(3_000));
    let directory = &deployment.node(0).knowledge().directory;
    assert!(directory.get(9).is_some());
    assert_eq!(deployment.versions(), [3]);
    assert_eq!(directory.get(SERVER).map(|entry| entry.phase), Some(BackendPhase::Ready));
}

/// Guards against new flows to the address of a backend server that has ended: its successor's entry
/// was read before the configuration that names the successor's service.
#[test]
fn a_successor_ends_the_one_before_it_once_a_configuration_names_its_service() {
    for other in [under_its_name("photos"), at_its_address("photos")] {
        for is_first in [true, false] {
            let now = start();
            let mut known = without_configuration();
            if !is_first {
                known.replace_routes(routes(1, &[(443, "core")]));
            }
            known.directory.apply_entry(other.clone(), now);
            assert_eq!(known.directory.resolve_named_services(now), []);
            assert!(!is_gone(&known));

            known.replace_routes(routes(2, &[(443, "core"), (80, "photos")]));
            assert_eq!(known.directory.resolve_named_services(now), [SERVER]);
            assert!(is_gone(&known), "{:?}, first configuration: {is_first}", other.name);
            assert_eq!(known.directory.resolve_named_services(now), []);
        }
    }
}

/// Guards against an end by an entry that another one has followed before its service was known.
#[test]
fn an_entry_that_was_followed_by_another_one_ends_nothing_later() {
    let now = start();
    let mut known = without_configuration();
    known.directory.apply_entry(under_its_name("photos"), now);
    let returned = BackendEntry { position: at(1_200), ..backend(SERVER, "core", OWN_ZONE) };
    known.directory.apply_entry(returned, now);

    known.replace_routes(routes(2, &[(443, "core"), (80, "photos")]));
    known.directory.resolve_named_services(now);
    assert_eq!(known.directory.live_of(name_of(SERVER)), [SERVER]);
    let mut policy = SteeringPolicy::new(SteeringOptions::default(), 1);
    let verdict = policy.on_packet(&known, &opening(flow(2), 0), now);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: SERVER, .. }), "{verdict:?}");
}
