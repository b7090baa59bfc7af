//! Tests of the control policy: leases, service ownership, and the configuration in force.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use valvestage_core::RawConfiguration;
use valvestage_core::ids::BalancerId;
use valvestage_policy::control::{
    ControlAction, ControlOptions, ControlPolicy, CoordinatorInputs, Installation, LeaseManager,
    LeaseOptions, LeaseRecord, ObjectKey, ObjectValue, OwnerCandidate, OwnerCoordinator,
    PlatformCall, PlatformReply, StateMachine,
};
use valvestage_policy::flows::RawTokenKeys;
use valvestage_policy::membership::{PeerRecord, PeerState};

fn start() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn record(id: BalancerId) -> PeerRecord {
    let address = SocketAddr::from(([192, 0, 2, 1], 9_000));

    PeerRecord {
        id,
        zone: "brest-a".to_owned(),
        data_address: address,
        peer_address: address,
        started_ms: 1,
        revision: 0,
        heartbeat_count: 0,
        state: PeerState::Joining,
        lease_epoch: 0,
        configuration: 0,
        owner_map: 0,
        token_keys: 0,
    }
}

fn keys() -> ObjectValue {
    ObjectValue::TokenKeys(RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] })
}

fn configuration(change_id: &str) -> ObjectValue {
    let raw = RawConfiguration { change_id: change_id.to_owned(), ..RawConfiguration::default() };

    ObjectValue::Configuration(raw)
}

/// Returns the calls of one state machine among the actions of a step.
fn calls(policy: &mut ControlPolicy, now: SystemTime, wanted: StateMachine) -> Vec<PlatformCall> {
    let mut actions = Vec::new();
    policy.step(now, &mut actions);

    let of_machine = actions.into_iter().filter_map(|action| match action {
        ControlAction::Call { machine, call } if machine == wanted => Some(call),
        _ => None,
    });
    of_machine.collect()
}

#[test]
fn a_restarted_balancer_does_not_serve_the_old_version_of_a_lagging_watch() {
    let mut policy = ControlPolicy::new(ControlOptions::default(), record(1), [], start());
    let mut out = Vec::new();

    // The watch shows version 5; version 9 was in force here before the restart.
    policy.on_object(ObjectKey::TokenKeys, 2, keys(), &mut out).unwrap();
    policy.on_object(ObjectKey::Configuration, 5, configuration("old"), &mut out).unwrap();
    let first_read = calls(&mut policy, start(), StateMachine::FirstRead);
    assert_eq!(first_read, [PlatformCall::Read { key: ObjectKey::Configuration }]);
    assert!(!policy.is_serving());

    // The first read of the object shows version 9.
    let reply = PlatformReply::Found { version: 9, value: configuration("new") };
    policy.on_reply(start(), StateMachine::FirstRead, reply, &mut out).unwrap();
    calls(&mut policy, start(), StateMachine::FirstRead);
    assert!(policy.is_serving());
    assert_eq!(policy.configuration().unwrap().version, 9);
}

#[test]
fn a_restarted_balancer_uses_the_objects_of_peers_when_the_platform_is_down() {
    let options = ControlOptions::default();
    let mut policy = ControlPolicy::new(options, record(1), [], start());
    let mut out = Vec::new();
    policy.on_object(ObjectKey::TokenKeys, 2, keys(), &mut out).unwrap();
    policy.on_object(ObjectKey::Configuration, 5, configuration("peers"), &mut out).unwrap();

    let mut now = start();
    while now < start() + options.join_without_platform_after {
        for _ in calls(&mut policy, now, StateMachine::FirstRead) {
            policy
                .on_reply(now, StateMachine::FirstRead, PlatformReply::Unknown, &mut out)
                .unwrap();
        }
        assert!(!policy.is_serving());
        now += Duration::from_millis(100);
    }

    calls(&mut policy, now, StateMachine::FirstRead);
    assert!(policy.is_serving());
}

#[test]
fn an_older_version_is_never_put_in_force() {
    let mut policy = ControlPolicy::new(ControlOptions::default(), record(1), [], start());
    let mut out = Vec::new();

    for (version, is_newer) in [(7, true), (3, false), (7, false), (8, true)] {
        let value = configuration(&version.to_string());
        let taken = policy.on_object(ObjectKey::Configuration, version, value, &mut out).unwrap();
        assert_eq!(taken, is_newer, "version {version}");
    }
    let installed = out.iter().filter_map(|action| match action {
        ControlAction::Install(Installation::Configuration(known)) => Some(known.version),
        _ => None,
    });
    assert_eq!(installed.collect::<Vec<_>>(), [7, 8]);
}

fn lease_write(call: &PlatformCall) -> (Option<u64>, LeaseRecord) {
    match call {
        PlatformCall::Write { expected, value: ObjectValue::Lease(record), .. } => {
            (*expected, record.clone())
        }
        other => panic!("not a write of a lease: {other:?}"),
    }
}

/// Returns a state machine that holds a lease, written as version 1, and the lease record.
fn lease_holder(options: LeaseOptions) -> (LeaseManager, LeaseRecord) {
    let mut manager = LeaseManager::new(1, options, start());

    manager.next_call(start()).unwrap();
    manager.on_reply(start(), &PlatformReply::Missing);
    let (_, record) = lease_write(&manager.next_call(start()).unwrap());
    manager.on_reply(start(), &PlatformReply::Written { version: 1 });
    (manager, record)
}

#[test]
fn a_lease_counts_only_once_its_write_is_confirmed() {
    let options = LeaseOptions::default();
    let mut manager = LeaseManager::new(1, options, start());
    manager.next_call(start()).unwrap();
    manager.on_reply(start(), &PlatformReply::Missing);
    let (_, record) = lease_write(&manager.next_call(start()).unwrap());
    assert_eq!(manager.grant(start()), None);

    // The answer is lost; the next read shows that the write took effect.
    manager.on_reply(start(), &PlatformReply::Unknown);
    assert_eq!(manager.grant(start()), None);
    let later = start() + Duration::from_millis(300);
    assert!(matches!(manager.next_call(later), Some(PlatformCall::Read { .. })));
    let found = PlatformReply::Found { version: 4, value: ObjectValue::Lease(record) };
    manager.on_reply(later, &found);

    // The lease runs from before the write was sent.
    let fence = start() + options.length - options.clock_bound;
    assert_eq!(manager.grant(later).unwrap().fence, fence);
    assert_eq!(manager.grant(fence), None);
}

#[test]
fn a_lease_that_was_closed_is_not_renewed_and_the_next_one_has_another_epoch() {
    let options = LeaseOptions::default();
    let (mut manager, record) = lease_holder(options);
    let now = start() + options.length;
    assert_eq!(manager.grant(now), None);

    // The renewal conflicts because another balancer closed the lease.
    manager.next_call(now).unwrap();
    manager.on_reply(now, &PlatformReply::Conflict);
    manager.next_call(now).unwrap();
    let closed = LeaseRecord { closed: true, ..record.clone() };
    let found = PlatformReply::Found { version: 2, value: ObjectValue::Lease(closed) };
    manager.on_reply(now, &found);

    let (expected, next) = lease_write(&manager.next_call(now).unwrap());
    assert_eq!(expected, Some(2));
    assert!(next.epoch > record.epoch);
}

#[test]
fn a_new_process_waits_until_the_lease_of_the_former_one_is_over() {
    let options = LeaseOptions::default();
    let (_, record) = lease_holder(options);
    let mut restarted = LeaseManager::new(1, options, start());
    restarted.next_call(start()).unwrap();
    let found = PlatformReply::Found { version: 1, value: ObjectValue::Lease(record) };
    restarted.on_reply(start(), &found);

    // The former process may only be paused and still rely on its lease.
    assert_eq!(restarted.next_call(start()), None);
    assert_eq!(restarted.next_call(start() + options.length), None);
    let over = start() + options.length + options.clock_bound * 3;
    assert!(restarted.next_call(over).is_some());
}

#[test]
fn a_lapsed_lease_is_closed_before_its_services_are_reassigned() {
    let bound = Duration::from_millis(250);
    let mut coordinator = OwnerCoordinator::new(2, bound, start());
    let one = OwnerCandidate { id: 1, lease: 100 };
    let two = OwnerCandidate { id: 2, lease: 200 };
    let with = |candidates| CoordinatorInputs { services: vec![7], candidates, live: 1 };

    // The first owner is balancer 1; its claim table covers all time.
    let inputs = with(vec![one]);
    coordinator.next_call(start(), &inputs).unwrap();
    coordinator.on_reply(start(), PlatformReply::Missing);
    coordinator.next_call(start(), &inputs).unwrap();
    let map = coordinator.on_reply(start(), PlatformReply::Written { version: 1 }).unwrap();
    assert_eq!(map.owner(7).unwrap().covers_from_ms, 0);

    // Balancer 1 is not live any more, but its lease has not lapsed: nothing is changed.
    let inputs = with(vec![two]);
    let lease = LeaseRecord { holder: 1, epoch: 100, expires_ms: 1_800_000_006_000, closed: false };
    let value = || ObjectValue::Lease(lease.clone());
    coordinator.next_call(start(), &inputs).unwrap();
    coordinator.on_reply(start(), PlatformReply::Found { version: 5, value: value() });
    assert_eq!(coordinator.next_call(start(), &inputs), None);

    // The lease has lapsed: it is closed under the version read, then the map is written.
    let now = start() + Duration::from_secs(7);
    coordinator.next_call(now, &inputs).unwrap();
    coordinator.on_reply(now, PlatformReply::Found { version: 5, value: value() });
    let (expected, closed) = lease_write(&coordinator.next_call(now, &inputs).unwrap());
    assert_eq!((expected, closed.closed), (Some(5), true));
    coordinator.on_reply(now, PlatformReply::Written { version: 6 });
    coordinator.next_call(now, &inputs).unwrap();
    let map = coordinator.on_reply(now, PlatformReply::Written { version: 7 }).unwrap();
    let entry = map.owner(7).unwrap();
    assert_eq!((entry.owner, entry.lease), (2, 200));
    assert!(entry.covers_from() > now);
}

#[test]
fn a_lease_renewed_meanwhile_keeps_its_services() {
    let mut coordinator = OwnerCoordinator::new(2, Duration::from_millis(250), start());
    let one = OwnerCandidate { id: 1, lease: 100 };
    let two = OwnerCandidate { id: 2, lease: 200 };
    let with = |candidates| CoordinatorInputs { services: vec![7], candidates, live: 1 };
    coordinator.next_call(start(), &with(vec![one])).unwrap();
    coordinator.on_reply(start(), PlatformReply::Missing);
    coordinator.next_call(start(), &with(vec![one])).unwrap();
    coordinator.on_reply(start(), PlatformReply::Written { version: 1 });

    // The lease is read as lapsed, and renewed before the write that closes it arrives.
    let now = start() + Duration::from_secs(7);
    let lease = LeaseRecord { holder: 1, epoch: 100, expires_ms: 1_800_000_006_000, closed: false };
    let found = PlatformReply::Found { version: 5, value: ObjectValue::Lease(lease) };
    coordinator.next_call(now, &with(vec![two])).unwrap();
    coordinator.on_reply(now, found);
    coordinator.next_call(now, &with(vec![two])).unwrap();
    assert_eq!(coordinator.on_reply(now, PlatformReply::Conflict), None);

    // The map is read again.
    let later = now + Duration::from_secs(1);
    let next = coordinator.next_call(later, &with(vec![two]));
    assert_eq!(next, Some(PlatformCall::Read { key: ObjectKey::OwnerMap }));
}
