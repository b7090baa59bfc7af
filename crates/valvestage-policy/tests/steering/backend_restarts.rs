//! Guards against treating a restarted backend server as the process before it. A backend server
//! that crashes and restarts under its name before its entry lapses leaves one entry in the store,
//! without a gap. But its flows are gone, and the health data of the old process says nothing about
//! the new one.

use std::time::{Duration, Instant};

use valvestage_policy::steering::peers::backend_parts::{backends_messages, entries_of};
use valvestage_policy::steering::peers::peer_message::{BackendsPull, ChangeCursor, WalkScope};
use valvestage_policy::steering::{
    BackendDirectory, BackendEnd, BackendEntry, BackendName, BackendPhase, Knowledge,
    PacketVerdict, PeerMessage, ResetReason, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{
    OWN_ZONE, at, backend, data, flow, knowledge, millis, name_of, opening, start,
};

/// The number in the name that all incarnations share, which their packets carry.
const NAME: u64 = 7;

/// Incarnations of the name, in the order of their starts.
const FIRST: u64 = NAME | 1 << 40;
const SECOND: u64 = NAME | 2 << 40;

fn incarnation(instance: u64, revision: u64) -> BackendEntry {
    let entry = backend(NAME, "core", OWN_ZONE);

    BackendEntry { instance, position: at(revision), ..entry }
}

fn directory() -> BackendDirectory {
    let mut directory = BackendDirectory::default();
    directory.put(incarnation(FIRST, 500));
    directory.complete(at(1_000));
    directory
}

#[track_caller]
fn assert_superseded(directory: &BackendDirectory, instance: u64) {
    let phase = directory.get(instance).unwrap().phase;

    assert!(matches!(phase, BackendPhase::Gone { end: BackendEnd::Superseded, .. }), "{phase:?}");
}

#[test]
fn a_new_incarnation_ends_the_one_before_it() {
    let mut directory = directory();

    let changed = directory.apply_entry(incarnation(SECOND, 1_100), start());
    assert_eq!(changed, [FIRST, SECOND]);
    assert_superseded(&directory, FIRST);
    assert_eq!(directory.take_newly_gone(), [FIRST]);
    assert_eq!(directory.live_of(name_of(NAME)), [SECOND]);
}

#[test]
fn a_new_incarnation_at_another_address_for_another_service_ends_the_one_before_it() {
    let mut directory = directory();
    directory.set_services(["core", "photos"].map(str::to_owned).into());
    let elsewhere = BackendEntry {
        address: backend(9, "core", OWN_ZONE).address,
        service: "photos".to_owned(),
        ..incarnation(SECOND, 1_100)
    };

    directory.apply_entry(elsewhere, start());
    assert_superseded(&directory, FIRST);
}

#[test]
fn a_draining_backend_server_that_restarts_is_ready() {
    let mut directory = directory();
    let draining = BackendEntry { phase: BackendPhase::Draining, ..incarnation(FIRST, 1_050) };
    directory.apply_entry(draining, start());

    directory.apply_entry(incarnation(SECOND, 1_100), start());
    assert_eq!(directory.get(SECOND).unwrap().phase, BackendPhase::Ready);
    assert!(directory.get(FIRST).unwrap().is_gone());
}

#[test]
fn an_older_incarnation_does_not_return_by_a_late_report() {
    let mut directory = directory();
    directory.apply_entry(incarnation(SECOND, 1_100), start());

    assert!(directory.apply_entry(incarnation(FIRST, 900), start()).is_empty());
    assert!(directory.apply_peer_entry(incarnation(FIRST, 1_090), start()).is_empty());
    assert_eq!(directory.live_of(name_of(NAME)), [SECOND]);
}

#[test]
fn an_older_incarnation_does_not_return_by_its_own_late_write() {
    let mut directory = directory();
    directory.apply_entry(incarnation(SECOND, 1_100), start());

    assert!(directory.apply_entry(incarnation(FIRST, 1_200), start()).is_empty());
    assert_eq!(directory.live_of(name_of(NAME)), [SECOND]);
    directory.apply_entry(incarnation(SECOND, 1_300), start());
    assert_eq!(directory.get(SECOND).unwrap().phase, BackendPhase::Ready);
}

#[test]
fn incarnations_learned_in_any_order_leave_the_last_one() {
    let mut directory = BackendDirectory::default();

    directory.apply_entry(incarnation(SECOND, 1_100), start());
    directory.apply_entry(incarnation(FIRST, 500), start());
    assert_eq!(directory.live_of(name_of(NAME)), [SECOND]);
    assert_superseded(&directory, FIRST);
}

/// A balancer that knows both incarnations sends them to one that knows neither.
#[test]
fn peers_exchange_incarnations_and_names() {
    let now = start();
    let mut sender = directory();
    sender.apply_entry(incarnation(SECOND, 1_100), now);
    sender.complete(at(1_100));

    let mut receiver = BackendDirectory::default();
    let pull = BackendsPull { after: ChangeCursor::START, scope: WalkScope::Everything };
    for message in backends_messages(&sender, pull, now) {
        let PeerMessage::Backends(part) = message else { panic!("not a part of backends") };
        for entry in entries_of(part, now) {
            receiver.apply_peer_entry(entry, now);
        }
    }
    assert_eq!(receiver.live_of(name_of(NAME)), [SECOND]);
    assert!(receiver.apply_entry(incarnation(FIRST, 1_200), now).is_empty());
    assert_eq!(receiver.live_of(name_of(NAME)), [SECOND]);
}

struct Site {
    policy: SteeringPolicy,
    known: Knowledge,
    now: Instant,
}

impl Site {
    /// Creates a balancer with an open flow on the first incarnation.
    fn with_open_flow() -> Self {
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let mut site = Self {
            policy: SteeringPolicy::new(options, 1),
            known: knowledge(&[incarnation(FIRST, 500)]),
            now: start(),
        };

        site.policy.on_packet(&site.known, &opening(flow(1), 0), site.now);
        site.now += millis(7);
        site.request(1);
        site
    }

    /// Sends a request on a flow with the token of the name, which all incarnations share.
    fn request(&mut self, port: u16) -> PacketVerdict {
        let token = BackendDirectory::token_of(NAME);

        self.policy.on_packet(&self.known, &data(flow(port), token, 1_001, 100, 501), self.now)
    }
}

/// Longer than it takes until a start is known.
const START_KNOWN_AFTER: Duration = Duration::from_millis(5_500);

#[test]
fn callers_of_an_ended_incarnation_are_reset_at_once() {
    let mut site = Site::with_open_flow();

    for _ in 0..6 {
        site.now += START_KNOWN_AFTER / 6;
        site.known.confirm(Some(site.now));
    }
    site.known.directory.apply_entry(incarnation(SECOND, 1_100), site.now);
    site.policy.reset_ended_flows(&mut site.known, site.now);
    let reset_flows: Vec<_> = site.policy.take_resets().iter().map(|reset| reset.flow).collect();
    assert_eq!(reset_flows, [flow(1)]);
}

/// The flow may have been opened at the new process before its start was known here, so a reset
/// could end a live flow.
#[test]
fn the_most_recent_flows_of_an_ended_incarnation_are_not_reset() {
    let mut site = Site::with_open_flow();

    site.now += millis(500);
    site.known.directory.apply_entry(incarnation(SECOND, 1_100), site.now);
    site.policy.reset_ended_flows(&mut site.known, site.now);
    assert!(site.policy.take_resets().is_empty());
    let verdict = site.request(1);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: SECOND, .. }), "{verdict:?}");
}

/// Only the process knows whether it holds the flow, and resets it if it does not.
#[test]
fn the_token_of_an_ended_incarnation_leads_to_its_successor() {
    let mut site = Site::with_open_flow();

    site.known.directory.apply_entry(incarnation(SECOND, 1_100), site.now);
    let verdict = site.request(2);
    assert!(
        matches!(verdict, PacketVerdict::Forward { instance: SECOND, number: NAME, .. }),
        "{verdict:?}"
    );
}

/// A balancer that started after the restart knows only the new incarnation, while callers hold the
/// token of the name.
#[test]
fn the_token_leads_to_the_successor_where_the_ended_incarnation_is_unknown() {
    let mut site = Site::with_open_flow();
    site.known = knowledge(&[incarnation(SECOND, 500)]);

    let verdict = site.request(2);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: SECOND, .. }), "{verdict:?}");
}

#[test]
fn the_token_never_leads_to_a_successor_of_another_service() {
    let mut site = Site::with_open_flow();
    let second = BackendEntry { service: "photos".to_owned(), ..incarnation(SECOND, 1_100) };

    site.known.directory.apply_entry(second, site.now);
    assert_eq!(site.request(2), PacketVerdict::Reset(ResetReason::BackendGone));
}

#[test]
fn packets_carry_the_number_in_the_name() {
    let mut site = Site::with_open_flow();

    site.known.directory.apply_entry(incarnation(SECOND, 1_100), site.now);
    let verdict = site.policy.on_packet(&site.known, &opening(flow(3), 0), site.now);
    assert!(
        matches!(verdict, PacketVerdict::Forward { instance: SECOND, number: NAME, .. }),
        "{verdict:?}"
    );
}

#[test]
fn suspicion_of_an_ended_incarnation_does_not_pass_to_the_next() {
    let mut site = Site::with_open_flow();
    // Three flows get no answers.
    site.now += millis(10);
    for port in 10..13 {
        site.policy.on_packet(&site.known, &opening(flow(port), 0), site.now);
    }
    site.now += millis(200);
    for port in 10..13 {
        site.policy.on_packet(&site.known, &opening(flow(port), 1), site.now);
    }
    assert_eq!(site.policy.suspects(site.now), [FIRST]);

    site.known.directory.apply_entry(incarnation(SECOND, 1_100), site.now);
    assert!(!site.policy.suspects(site.now).contains(&SECOND));
    let verdict = site.policy.on_packet(&site.known, &opening(flow(20), 0), site.now);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: SECOND, .. }), "{verdict:?}");
}

#[test]
fn a_name_that_ends_in_the_same_digits_is_another_backend_server() {
    let mut directory = directory();
    let mut other = incarnation(SECOND, 1_100);
    other.name = BackendName { digest: 1, ..other.name };
    other.address = backend(9, "core", OWN_ZONE).address;

    directory.apply_entry(other, start());
    assert_eq!(directory.get(FIRST).unwrap().phase, BackendPhase::Ready);
    assert_eq!(directory.get(SECOND).unwrap().phase, BackendPhase::Ready);
}

/// Creates an entry of a service that the configuration, which names only `core` and `photos`, does
/// not name.
fn of_unknown_service(revision: u64) -> BackendEntry {
    BackendEntry { service: "nobody's".to_owned(), ..incarnation(SECOND, revision) }
}

#[test]
fn an_entry_of_an_unknown_service_ends_no_flow_at_its_address() {
    let mut site = Site::with_open_flow();
    let mut other = of_unknown_service(1_100);
    other.name = BackendName { digest: 1, ..other.name };

    site.known.directory.apply_entry(other, site.now);
    assert!(matches!(site.request(1), PacketVerdict::Forward { instance: FIRST, .. }));
    assert_eq!(site.known.directory.get(FIRST).unwrap().phase, BackendPhase::Ready);
}

#[test]
fn an_entry_of_an_unknown_service_ends_no_flow_under_its_name_but_stops_new_ones() {
    let mut site = Site::with_open_flow();

    site.known.directory.apply_entry(of_unknown_service(1_100), site.now);
    assert!(matches!(site.request(1), PacketVerdict::Forward { instance: FIRST, .. }));
    let verdict = site.policy.on_packet(&site.known, &opening(flow(5), 0), site.now);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoBackend));

    site.known.directory.apply_entry(incarnation(FIRST, 1_200), site.now);
    let verdict = site.policy.on_packet(&site.known, &opening(flow(6), 0), site.now);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: FIRST, .. }), "{verdict:?}");
}

#[test]
fn a_backend_server_with_an_unusable_entry_keeps_its_flows_and_gets_no_new_ones() {
    let mut site = Site::with_open_flow();

    assert!(site.known.directory.mark_unusable(FIRST, at(1_100)));
    assert!(matches!(site.request(1), PacketVerdict::Forward { instance: FIRST, .. }));
    let verdict = site.policy.on_packet(&site.known, &opening(flow(5), 0), site.now);
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::NoBackend));
    assert!(!site.known.directory.mark_unusable(FIRST, at(1_050)), "the known state is newer");
}

/// Guards against ordering incarnations by an unusable entry. Such an entry does not say which
/// incarnation wrote it last, so its position orders nothing.
#[test]
fn a_start_before_the_entry_became_unusable_is_newer_than_the_known_incarnation() {
    let mut directory = directory();
    directory.mark_gone(FIRST, at(1_050), start());
    directory.mark_unusable(FIRST, at(1_200));

    directory.apply_entry(incarnation(SECOND, 1_100), start());
    assert_superseded(&directory, FIRST);
    assert_eq!(directory.live_of(name_of(NAME)), [SECOND]);
}

#[test]
fn an_older_incarnation_is_not_newer_than_one_whose_entry_became_unusable() {
    let mut directory = directory();
    directory.mark_unusable(FIRST, at(1_200));

    directory.apply_entry(incarnation(SECOND, 400), start());
    assert_eq!(directory.live_of(name_of(NAME)), [FIRST]);
}

/// The store was read while the entry was unusable, and a peer reports the incarnation that it
/// belongs to.
#[test]
fn an_incarnation_that_an_unusable_entry_may_belong_to_is_not_obsolete() {
    let mut directory = directory();
    directory.mark_unusable(FIRST, at(1_200));
    directory.complete(at(1_300));
    let peer_entry = BackendEntry { phase: BackendPhase::Unusable, ..incarnation(SECOND, 1_200) };

    assert!(!directory.is_obsolete(&peer_entry, start()));
    directory.apply_peer_entry(peer_entry, start());
    assert_eq!(directory.live_of(name_of(NAME)), [SECOND]);
    assert!(directory.is_obsolete(&incarnation(SECOND + (1 << 40), 450), start()));
}
