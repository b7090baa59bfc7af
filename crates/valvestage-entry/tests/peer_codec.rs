//! Encoding of messages between balancers. No datagram, however malformed, may make a balancer
//! panic.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use valvestage_core::StorePosition;
use valvestage_entry::peer_codec::{MAX_DATAGRAM_BYTES, decode, encode};
use valvestage_policy::steering::health::backend_observer::BackendObserver;
use valvestage_policy::steering::health::fleet_pace::MAX_PACE_REPORTS;
use valvestage_policy::steering::health::flow_request::EndedRequest;
use valvestage_policy::steering::health::outcome_count::OutcomeCount;
use valvestage_policy::steering::health::refutation_queue::MAX_QUERIED;
use valvestage_policy::steering::load::fleet_load::MAX_LOAD_BYTES;
use valvestage_policy::steering::packets::flow_record::{AnswerSignal, LivenessSignal};
use valvestage_policy::steering::packets::flow_tracker::FlowObservation;
use valvestage_policy::steering::peers::backend_parts::backends_messages;
use valvestage_policy::steering::peers::peer_message::{
    AvoidanceReport, BackendChange, BackendRecord, BackendsPart, BackendsPull, BalancerReport,
    ChangeCursor, ChunksPull, ClassLoadReport, HealthReport, LifeReport, MAX_MESSAGE_BYTES,
    MessagePart, OutcomeReport, PaceReport, PeerHeartbeat, RecordedPhase, RoutesIndex, RoutesPull,
    ServiceDemand, ServiceLoadReport, SuspicionQuery, SuspicionRefutation, SuspicionReport,
    WalkScope, WatcherSighting,
};
use valvestage_policy::steering::peers::report_budget::{REPORT_BYTES, fit_report};
use valvestage_policy::steering::peers::route_chunk::{ChunkEntry, RouteChunk};
use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendName, BackendPhase, EntryOptions, EntryPolicy,
    EvacuationReport, FlowAddresses, Knowledge, PeerMessage, RequestClass, RequestKind,
    SteeringOptions,
};

/// Returns a position in the first era of the store.
fn store_position(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

/// Property test runner with a fixed seed, so that every run generates the same cases.
fn seeded() -> QuickCheck {
    QuickCheck::new().tests(3_000).rng(Gen::from_size_and_seed(300, 42))
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_000)
}

fn policy(now: Instant) -> EntryPolicy {
    let options = EntryOptions {
        steering: SteeringOptions { zone: "zone-a".to_owned(), ..Default::default() },
        peer_address: address(1),
        seeds: vec![address(2)],
        link_mbps: 10.0,
        evacuable_zones: None,
        is_first_start: false,
        seed: 1,
    };

    EntryPolicy::new(options, now)
}

/// A class of requests with the largest values.
const CLASS: RequestClass = RequestClass {
    priority: u8::MAX,
    kind: RequestKind::Download,
    target_latency_ms: u32::MAX,
    timeout_ms: u32::MAX,
};

/// Sample messages, which are also the starting point for damaged datagrams.
fn messages() -> Vec<PeerMessage> {
    let record = BackendRecord {
        service: 0,
        zone: 7,
        address: address(9),
        slots: 2,
        cold_for_ms: u32::MAX,
        phase: RecordedPhase::Ready,
    };
    let lapsed = RecordedPhase::Lapsed { ago_ms: u32::MAX };
    let gone = BackendRecord { phase: lapsed, ..record.clone() };
    let changes = [record, gone];
    let name = BackendName { digest: u32::MAX, number: u64::MAX };
    let changes = changes.map(|record| BackendChange {
        name,
        incarnation_digest: 0xff_ffff,
        born: Some(u64::MAX),
        position: store_position(u64::MAX),
        listed_at: Some(store_position(u64::MAX)),
        record,
    });
    let part = MessagePart { index: 0, count: 1 };
    let entry = ChunkEntry {
        regions: None,
        address: address(8),
        targets: vec![(0, 1), (9, u32::MAX)],
        class: Some(7),
    };
    let chunk = RouteChunk {
        cold_rates: Vec::new(),
        connection_limits: vec![(0, u32::MAX), (9, 1)],
        classes: vec![CLASS],
        names: vec!["core".to_owned()],
        entries: vec![entry],
    };

    vec![
        PeerMessage::RoutesPull(RoutesPull { version: 3 }),
        PeerMessage::RoutesIndex(RoutesIndex {
            part,
            version: u64::MAX,
            idle_timeout_ms: u64::MAX,
            digests: vec![chunk.digest()],
        }),
        PeerMessage::ChunksPull(ChunksPull { digests: vec![[u8::MAX; 8]; 16] }),
        PeerMessage::RoutesChunk(chunk),
        PeerMessage::BackendsPull(BackendsPull {
            after: ChangeCursor::after(store_position(u64::MAX)),
            scope: WalkScope::Changes,
        }),
        PeerMessage::Backends(BackendsPart {
            part,
            scope: WalkScope::Everything,
            after: ChangeCursor::after(store_position(u64::MAX)),
            covers_until: Some(ChangeCursor::after(store_position(u64::MAX))),
            complete_until: store_position(u64::MAX),
            changed_at: store_position(u64::MAX),
            names: vec!["core".to_owned()],
            changes: changes.to_vec(),
        }),
        PeerMessage::SuspicionQuery(SuspicionQuery {
            number: u16::MAX,
            suspects: vec![suspicion(u64::MAX); MAX_QUERIED],
            doubted: vec![u64::MAX; MAX_QUERIED],
        }),
        PeerMessage::Refutation(SuspicionRefutation {
            acknowledged: Some(u16::MAX),
            alive: lives(MAX_QUERIED),
        }),
    ]
}

/// Returns the largest possible report of a suspicion of a backend server.
fn suspicion(instance: u64) -> SuspicionReport {
    SuspicionReport { instance, callers: vec![u8::MAX; 3] }
}

/// Returns the largest possible signs of life of some backend servers.
fn lives(count: usize) -> Vec<LifeReport> {
    vec![LifeReport { instance: u64::MAX, answered_ago_ms: u32::MAX }; count]
}

#[test]
fn a_message_is_decoded_as_it_was_encoded() {
    for message in messages() {
        let datagram = encode(&message).unwrap();
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(decode(&datagram), Some(message));
    }
}

/// Bytes per heartbeat: the 4,000 bytes of control traffic that a VM may send per second, divided
/// by the ten heartbeats sent in a second with updates.
const HEARTBEAT_BUDGET: usize = 4_000 / 10;

/// Bytes of a heartbeat without a health report, including the headers of its datagram: 1.4 KB per
/// second for about ten heartbeats.
const HEARTBEAT_BASE_BYTES: usize = 140;

/// Sign of life.
const ANSWER: AnswerSignal = AnswerSignal { opening: false, since: None };

/// Returns the health report of a balancer that suspects forty backend servers, all of whose
/// requests fail, while forty others of the service answer that others suspect.
fn report_with_many_failures(now: Instant) -> HealthReport {
    // The numbers of backend servers have ten hexadecimal digits.
    const FIRST: u64 = 0xff_0000_0000;
    let mut knowledge = Knowledge::default();
    let mut observer = BackendObserver::new(1).with_shared_pace();
    let later = now + Duration::from_millis(200);

    for number in 0..80 {
        let instance = FIRST + number;
        let is_bad = number >= 40;
        knowledge.directory.put(entry(instance));
        for last in 0..20 {
            let flow = FlowAddresses { caller: address(last), service: address(9) };
            let signal = if is_bad {
                LivenessSignal::Unanswered(now)
            } else {
                LivenessSignal::Alive(ANSWER)
            };
            let answer_bytes = if is_bad { 0 } else { 775 };
            let ended = Some(EndedRequest { answer_bytes });
            let observation = FlowObservation { signal, ended, began: None };
            observer.observe(&knowledge, instance, flow, observation, later);
        }
    }
    // The others have begun to answer slowly.
    let usual = Duration::from_millis(15);
    for _ in 0..32 {
        observe_answer(&mut observer, &knowledge, FIRST, usual, later);
    }
    for number in 0..40 {
        for _ in 0..2 {
            observe_answer(&mut observer, &knowledge, FIRST + number, usual * 7, later);
        }
    }
    let suspects: Vec<_> = (FIRST..FIRST + 40).map(suspicion).collect();
    observer.on_suspicions(address(3), &suspects, later);
    observer.report(later)
}

/// Lets the observer see forty further backend servers answer, and then take seven times as long.
fn observe_slow_ones(observer: &mut BackendObserver, knowledge: &mut Knowledge, now: Instant) {
    const FIRST: u64 = 0xff_0000_0080;
    let usual = Duration::from_millis(15);

    for factor in [1, 7, 7] {
        for instance in FIRST..FIRST + 40 {
            knowledge.directory.put(entry(instance));
            observe_answer(observer, knowledge, instance, usual * factor, now);
        }
    }
}

/// Lets the observer see an answer that arrives now and took some time.
fn observe_answer(
    observer: &mut BackendObserver,
    knowledge: &Knowledge,
    instance: u64,
    time: Duration,
    now: Instant,
) {
    let flow = FlowAddresses { caller: address(1), service: address(9) };
    let answer = AnswerSignal { opening: false, since: now.checked_sub(time) };
    let signal = LivenessSignal::Alive(answer);

    observer.observe(
        knowledge,
        instance,
        flow,
        FlowObservation { signal, ended: None, began: None },
        now,
    );
}

fn entry(instance: u64) -> BackendEntry {
    BackendEntry {
        instance,
        name: BackendName { digest: u32::MAX, number: instance },
        born: None,
        position: store_position(instance),
        service: "core".to_owned(),
        address: address(9),
        zone: "zone-a".to_owned(),
        slots: 2,
        cold_until: None,
        phase: BackendPhase::Ready,
        missing_until: None,
        listed_at: None,
    }
}

#[test]
fn a_report_of_many_failures_fits_into_the_heartbeat_budget() {
    let now = Instant::now();
    let report = report_with_many_failures(now);
    assert!(!report.suspects.is_empty() && !report.outcomes.is_empty());
    assert!(!report.avoided.is_empty() && !report.alive.is_empty());
    assert_in_budget(report);

    let mut observer = BackendObserver::new(1).with_shared_pace();
    observe_slow_ones(&mut observer, &mut Knowledge::default(), now + Duration::from_secs(1));
    let report = observer.report(now + Duration::from_secs(1));
    assert_eq!(report.paces.len(), MAX_PACE_REPORTS);
    assert_in_budget(report);
}

fn assert_in_budget(report: HealthReport) {
    // Eight services, each with a hundred requests in flight at this balancer.
    let demands = vec![ServiceDemand::new(u32::MAX, 100.0); 8];
    let mut report = BalancerReport { health: report, demands, ..BalancerReport::default() };
    fit_report(&mut report);

    let BalancerReport { health, demands, .. } = report;
    let bytes = postcard::to_stdvec(&(health, Some(demands))).unwrap().len();
    assert!(bytes + HEARTBEAT_BASE_BYTES <= HEARTBEAT_BUDGET, "{bytes} bytes");
}

/// Returns load reports with the largest numbers, as many as a heartbeat takes.
fn largest_loads() -> Vec<ServiceLoadReport> {
    let class = ClassLoadReport::new(u8::MAX, f64::MAX, f64::MAX);
    let report = ServiceLoadReport::new(
        u32::MAX,
        (f64::MAX, f64::MAX),
        (f64::MAX, f64::MAX),
        vec![class; 2],
    );
    let count = MAX_LOAD_BYTES / report.bytes();
    assert_eq!(report.bytes(), postcard::to_stdvec(&report).unwrap().len());
    assert_eq!(count * report.bytes(), MAX_LOAD_BYTES, "all bytes are used");
    vec![report; count]
}

/// Guards against a shortage in which failures, demand and load together exceed the control traffic
/// of a VM, or in which no load is left.
#[test]
fn load_beside_many_failures_fits_into_the_heartbeat_budget() {
    let mut report = BalancerReport {
        health: report_with_many_failures(Instant::now()),
        demands: vec![ServiceDemand::new(u32::MAX, 100.0); 8],
        loads: largest_loads(),
        unresolved_tokens: Vec::new(),
    };
    fit_report(&mut report);

    let BalancerReport { health, demands, loads, .. } = report;
    assert!(!health.suspects.is_empty() && !loads.is_empty());
    let bytes = postcard::to_stdvec(&(health, Some(demands), loads)).unwrap().len();
    assert!(bytes + HEARTBEAT_BASE_BYTES <= HEARTBEAT_BUDGET, "{bytes} bytes");
    assert!(bytes + 40 >= REPORT_BYTES, "{bytes} bytes: no more was cut than necessary");
}

/// A heartbeat with the largest possible health and load reports must fit into the message limit.
#[test]
fn the_largest_heartbeat_fits_into_one_datagram() {
    let count = OutcomeCount { answered: 6_000.0, poor: 6_000.0, expected: 6_000.0 };
    let instance = |number: u64| u64::MAX - number;
    let health = HealthReport {
        // Senders report at most eight suspects and signs of life together, and eight avoidances.
        suspects: (0..8).map(instance).map(suspicion).collect(),
        outcomes: (0..16).map(|number| OutcomeReport::new(instance(number), &count)).collect(),
        avoided: (0..8)
            .map(|number| AvoidanceReport { instance: instance(number), left_ms: u32::MAX })
            .collect(),
        alive: lives(8),
        ..HealthReport::default()
    };
    let paces = vec![PaceReport::new(u64::MAX, f64::MAX, f64::MIN); MAX_PACE_REPORTS];
    let mut with_paces = BalancerReport {
        health: HealthReport { paces, ..health.clone() },
        demands: vec![ServiceDemand::new(u32::MAX, f64::MAX); 8],
        loads: largest_loads(),
        unresolved_tokens: Vec::new(),
    };
    fit_report(&mut with_paces);

    for (health, loads) in [(health, largest_loads()), (with_paces.health, with_paces.loads)] {
        let datagram = encode(&PeerMessage::Heartbeat(largest_heartbeat(health, loads))).unwrap();
        assert!(datagram.len() <= MAX_MESSAGE_BYTES, "{} bytes", datagram.len());
    }
}

/// Returns a heartbeat with some reports, in which everything else is as large as possible.
fn largest_heartbeat(health: HealthReport, loads: Vec<ServiceLoadReport>) -> PeerHeartbeat {
    let watcher = WatcherSighting {
        peer: address(4),
        zone: "a-zone-with-a-long-name".to_owned(),
        age_ms: u32::MAX,
        is_answered: true,
        page_ms: None,
    };

    PeerHeartbeat {
        zone: watcher.zone.clone(),
        wants_answer: true,
        version: u64::MAX,
        complete_until: store_position(u64::MAX),
        changed_at: store_position(u64::MAX),
        era_head: store_position(u64::MAX),
        live_digest: u64::MAX,
        age_ms: u32::MAX,
        outage_age_ms: u32::MAX,
        watchers: vec![watcher; 4],
        peers: vec![address(5); 4],
        health,
        demands: Some(vec![ServiceDemand::new(u32::MAX, f64::MAX); 8]),
        loads,
        evacuations: Some(EvacuationReport {
            as_of: store_position(u64::MAX),
            zones: vec!["a-zone-with-a-long-name".to_owned(); 7],
        }),
        unresolved_tokens: vec![u32::MAX; 8],
    }
}

#[test]
fn messages_of_another_version_are_ignored() {
    let mut datagram = encode(&messages()[0]).unwrap();
    datagram[0] += 1;

    assert_eq!(decode(&datagram), None);
    assert_eq!(decode(&[]), None);
}

#[test]
fn arbitrary_datagrams_cause_no_panic() {
    fn property(kind: usize, place: usize, byte: u8, noise: Vec<u8>) -> bool {
        let now = Instant::now();
        let mut policy = policy(now);
        let messages = messages();
        let mut damaged = encode(&messages[kind % messages.len()]).unwrap();
        let place = place % damaged.len();
        damaged[place] = byte;

        for datagram in [damaged, noise] {
            if let Some(message) = decode(&datagram) {
                policy.on_message(address(3), message, now);
                policy.on_tick(now);
            }
        }
        true
    }

    seeded().quickcheck(property as fn(usize, usize, u8, Vec<u8>) -> bool);
}

/// Guards against parts that exceed a datagram, which the link drops each time they are sent, so
/// that what they hold never arrives: entries with start times and long names are larger.
#[test]
fn changes_of_the_largest_entries_fit_into_datagrams() {
    fn property(names: Vec<String>, count: u8, born: Option<u64>) -> bool {
        let now = Instant::now();
        let mut directory = BackendDirectory::default();
        for instance in 1..=u64::from(count) * 8 {
            let name =
                |salt: u64| names.get(usize::try_from(instance + salt).unwrap() % 7).cloned();
            directory.put(BackendEntry {
                name: BackendName { digest: u32::MAX, number: u64::MAX - instance },
                instance: u64::MAX - instance,
                born,
                service: name(0).unwrap_or_default(),
                zone: name(3).unwrap_or_default(),
                slots: u32::MAX,
                cold_until: Some(now + Duration::from_secs(600)),
                ..entry(instance)
            });
        }

        let mut after = ChangeCursor::START;
        let mut seen = Vec::new();
        loop {
            let pull = BackendsPull { after, scope: WalkScope::Everything };
            let mut next = None;
            for message in backends_messages(&directory, pull, now) {
                assert!(encode(&message).unwrap().len() <= MAX_MESSAGE_BYTES);
                let PeerMessage::Backends(part) = message else { panic!("not a part of backends") };
                next = part.covers_until;
                seen.extend(part.changes.into_iter().map(|change| change.name.number));
            }
            let Some(until) = next else { break };
            after = until;
        }
        let all: Vec<_> = directory.iter().map(|entry| entry.name.number).collect();
        seen == all
    }

    // Each case encodes up to 2,040 entries.
    seeded().tests(100).quickcheck(property as fn(Vec<String>, u8, Option<u64>) -> bool);
}
