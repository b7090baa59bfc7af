//! Guards against resets of open flows that rest on what one caller misses.
//!
//! The link of a caller loses datagrams for a second, so that several of its flows miss answers.
//! The backend server lives, and the flows of other callers at it rest. Retransmissions of one
//! caller, also if several balancers see them, are as much evidence about its own link as about the
//! backend server.

use std::time::{Duration, Instant};

use quickcheck::TestResult;
use valvestage_policy::steering::health::backend_health::BackendHealth;
use valvestage_policy::steering::packets::flow_record::LivenessSignal;
use valvestage_policy::steering::peers::peer_message::HealthReport;
use valvestage_policy::steering::seeded_draw::SeededDraw;
use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, Decision, EntryTimes, FlowAddresses, Knowledge, PacketVerdict,
    SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, address, backend, data, knowledge, millis, opening, seeded,
    service_address, start,
};

/// The backend server of all open flows.
const SERVER: u64 = 1;

/// Number of flows of the caller whose link loses datagrams.
const FLOWS: u16 = 6;

/// Callers whose flows rest.
const RESTING: [u8; 3] = [21, 22, 23];

/// Times of the retransmissions of a request, in milliseconds after it.
const RETRANSMISSIONS_MS: [u64; 3] = [200, 600, 1_400];

/// One balancer, with a backend server in its zone.
struct Site {
    policy: SteeringPolicy,
    known: Knowledge,
    now: Instant,
}

impl Site {
    fn new(zone: &str, backends: u64) -> Self {
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let entries: Vec<BackendEntry> =
            (SERVER..SERVER + backends).map(|instance| backend(instance, "core", zone)).collect();
        let policy = SteeringPolicy::new(options, 1);

        Self { policy, known: knowledge(&entries), now: start() }
    }

    /// Returns a balancer with resting flows of some callers.
    fn with_resting(zone: &str) -> Self {
        let mut site = Self::new(zone, 1);

        for caller in RESTING {
            site.open(flow_of(caller, 1));
        }
        site
    }

    fn open(&mut self, flow: FlowAddresses) {
        let token = BackendDirectory::token_of(SERVER);

        self.policy.on_packet(&self.known, &opening(flow, 0), self.now);
        self.policy.on_packet(&self.known, &data(flow, token, 1_001, 0, 501), self.now);
    }

    /// Sends the first request of a flow, or retransmits it. Returns whether the flow was reset.
    fn request(&mut self, flow: FlowAddresses) -> bool {
        let packet = data(flow, BackendDirectory::token_of(SERVER), 1_001, 100, 501);

        matches!(self.policy.on_packet(&self.known, &packet, self.now), PacketVerdict::Reset(_))
    }

    /// Lets time pass, and returns the flows that are reset meanwhile.
    fn run(&mut self, time_ms: u64) -> Vec<FlowAddresses> {
        let mut resets = Vec::new();

        for _ in 0..time_ms / 10 {
            self.now += millis(10);
            self.policy.end_silent_flows(&self.known, self.now);
            self.policy.reset_ended_flows(&mut self.known, self.now);
            resets.extend(self.policy.take_resets().iter().map(|reset| reset.flow));
        }
        resets
    }

    /// Lets the answers to some flows be lost, and returns the flows that are reset meanwhile.
    fn lose_answers(&mut self, flows: &[FlowAddresses]) -> Vec<FlowAddresses> {
        let (mut resets, mut before) = (Vec::new(), 0);
        flows.iter().for_each(|flow| assert!(!self.request(*flow)));

        for at in RETRANSMISSIONS_MS {
            resets.extend(self.run(at - before));
            before = at;
            for flow in flows {
                resets.extend(self.request(*flow).then_some(*flow));
            }
        }
        resets.extend(self.run(400));
        resets
    }

    fn report(&self) -> HealthReport {
        self.policy.report(self.now).health
    }

    fn hear(&mut self, number: u8, report: &HealthReport) {
        self.policy.on_peer_health(address(number, 7_000), report, self.now);
    }

    /// Opens a flow, and returns the backend server that it is placed on.
    fn place(&mut self, flow: FlowAddresses) -> u64 {
        self.policy.take_decisions();
        self.policy.on_packet(&self.known, &opening(flow, 0), self.now);
        let decisions = self.policy.take_decisions();

        let placed = decisions.iter().find_map(|decision| match decision {
            Decision::Placed(placement) => Some(placement.instance),
            _ => None,
        });
        placed.expect("the flow is placed")
    }
}

fn flow_of(caller: u8, port: u16) -> FlowAddresses {
    FlowAddresses { caller: address(caller, port), service: service_address(443) }
}

fn flows_of(caller: u8) -> Vec<FlowAddresses> {
    (1..=FLOWS).map(|port| flow_of(caller, port)).collect()
}

/// One caller's link is full for a second; all resting flows of the backend server were reset.
#[test]
fn what_one_caller_misses_ends_no_flow() {
    for zone in [OWN_ZONE, OTHER_ZONE] {
        let mut site = Site::with_resting(zone);
        let flows = flows_of(100);
        flows.iter().for_each(|flow| site.open(*flow));
        site.run(1_000);

        assert_eq!(site.lose_answers(&flows), [], "{zone}");
    }
}

/// A caller's flows reach several balancers, each of which took the other's suspicion, which came
/// from the same caller, for a confirmation.
#[test]
fn balancers_that_see_the_same_caller_do_not_confirm_each_other() {
    let mut sites = [Site::with_resting(OWN_ZONE), Site::with_resting(OWN_ZONE)];
    let flows = flows_of(100);
    for (site, half) in sites.iter_mut().zip(flows.chunks(3)) {
        half.iter().for_each(|flow| site.open(*flow));
        // Another caller has lost its datagrams, too, and both balancers have flows of it.
        site.open(flow_of(101, half[0].caller.port()));
        site.run(1_000);
        half.iter().for_each(|flow| assert!(!site.request(*flow)));
        assert!(!site.request(flow_of(101, half[0].caller.port())));
    }

    for _ in 0..3 {
        for (site, half) in sites.iter_mut().zip(flows.chunks(3)) {
            assert_eq!(site.run(200), []);
            half.iter().for_each(|flow| assert!(!site.request(*flow)));
            assert!(!site.request(flow_of(101, half[0].caller.port())));
        }
        let reports = sites.each_ref().map(Site::report);
        assert!(reports.iter().all(|report| report.suspects.len() == 1), "both suspect it");
        sites[0].hear(2, &reports[1]);
        sites[1].hear(1, &reports[0]);
    }
    for site in &mut sites {
        assert_eq!(site.run(400), []);
    }
}

/// A balancer whose callers cannot open flows at a full backend server suspects it. Together with
/// one flow that missed an answer elsewhere, this ended all flows there.
#[test]
fn a_suspicion_that_rests_on_opening_packets_confirms_nothing() {
    let mut full = Site::with_resting(OWN_ZONE);
    full.run(1_000);
    for retransmissions in 0..2 {
        for caller in [31, 32, 33] {
            full.policy.on_packet(
                &full.known,
                &opening(flow_of(caller, 1), retransmissions),
                full.now,
            );
        }
        full.run(200);
    }
    let report = full.report();
    assert_eq!(report.suspects.len(), 1);

    let mut site = Site::with_resting(OWN_ZONE);
    site.open(flow_of(100, 1));
    site.run(1_000);
    site.hear(2, &report);
    site.request(flow_of(100, 1));
    site.run(200);
    assert!(!site.request(flow_of(100, 1)));
    site.hear(2, &report);
    assert_eq!(site.run(600), []);
}

/// Guards against a rule so strict that a dead backend server is not noticed where each balancer
/// sees few callers.
#[test]
fn balancers_that_see_different_callers_confirm_each_other() {
    let [mut first, mut second] = [Site::with_resting(OWN_ZONE), Site::with_resting(OWN_ZONE)];
    let callers = [flow_of(100, 1), flow_of(101, 1), flow_of(102, 1)];
    callers[..2].iter().for_each(|flow| first.open(*flow));
    second.open(callers[2]);
    for (site, callers) in [(&mut first, &callers[..2]), (&mut second, &callers[2..])] {
        site.run(1_000);
        callers.iter().for_each(|flow| assert!(!site.request(*flow)));
        assert_eq!(site.run(200), []);
        callers.iter().for_each(|flow| assert!(!site.request(*flow)));
    }

    second.hear(1, &first.report());
    assert_eq!(second.run(190), [], "others have 200 ms to refute it");
    let mut resets = second.run(110);
    resets.sort_unstable();
    let mut expected: Vec<_> = RESTING.map(|caller| flow_of(caller, 1)).into();
    expected.push(callers[2]);
    expected.sort_unstable();
    assert_eq!(resets, expected);
}

/// Guards against callers that a new caller's report adds without time to refute it.
#[test]
fn a_caller_that_is_reported_later_leaves_others_time_to_refute() {
    let mut site = Site::with_resting(OWN_ZONE);
    let mut other = Site::with_resting(OWN_ZONE);
    let callers = [flow_of(101, 1), flow_of(102, 1), flow_of(103, 1)];
    site.open(flow_of(101, 1));
    callers.iter().for_each(|flow| other.open(*flow));
    for policy in [&mut site, &mut other] {
        policy.run(1_000);
    }
    callers.iter().for_each(|flow| assert!(!other.request(*flow)));
    other.run(200);
    callers[..2].iter().for_each(|flow| assert!(!other.request(*flow)));
    site.request(flow_of(101, 1));
    site.run(200);
    site.request(flow_of(101, 1));
    site.hear(2, &other.report());
    assert_eq!(site.run(400), [], "both know two callers");

    other.run(100);
    assert!(!other.request(callers[2]));
    site.hear(2, &other.report());
    assert_eq!(site.run(190), [], "others have 200 ms to refute it");
    assert_ne!(site.run(110), []);
}

/// The fault may be at the caller's own link, so the flows of others are placed as before.
#[test]
fn a_backend_server_that_one_caller_does_not_reach_gets_no_new_flows_of_it() {
    let mut site = Site::new(OWN_ZONE, 4);
    let ports = 1..=24;
    let lost: Vec<_> =
        ports.clone().filter(|port| site.place(flow_of(100, *port)) == SERVER).collect();
    assert!(lost.len() >= 2);

    site.run(200);
    for port in &lost {
        site.policy.on_packet(&site.known, &opening(flow_of(100, *port), 1), site.now);
    }
    let placed: Vec<_> = (101..=140).map(|port| site.place(flow_of(100, port))).collect();
    assert!(!placed.contains(&SERVER), "{placed:?}");
    let placed: Vec<_> = (101..=140).map(|port| site.place(flow_of(50, port))).collect();
    assert!(placed.contains(&SERVER), "{placed:?}");
    assert_eq!(site.policy.suspects(site.now), []);
}

/// Two callers in any order and number of flows, each of which may be seen by another balancer.
#[test]
fn what_two_callers_miss_ends_no_flow() {
    fn holds(packets: Vec<(bool, u8, u8)>) -> TestResult {
        let mut sites = [Site::with_resting(OWN_ZONE), Site::with_resting(OWN_ZONE)];
        let flows: Vec<_> = [100, 101].into_iter().flat_map(flows_of).collect();
        for site in &mut sites {
            flows.iter().for_each(|flow| site.open(*flow));
            site.run(1_000);
        }

        for (is_second, flow, wait) in packets {
            let place = usize::from(is_second);
            let flow = flows[usize::from(flow) % flows.len()];
            if sites[place].request(flow) {
                return TestResult::error("the flow of a packet is reset");
            }
            let report = sites[place].report();
            sites[1 - place].hear(u8::from(is_second), &report);
            let wait = u64::from(wait % 40) * 10;
            let resets: Vec<_> = sites.iter_mut().flat_map(|site| site.run(wait)).collect();
            if !resets.is_empty() {
                return TestResult::error(format!("reset: {resets:?}"));
            }
        }
        TestResult::passed()
    }

    seeded().tests(60).quickcheck(holds as fn(Vec<(bool, u8, u8)>) -> TestResult);
}

/// Balancers of a zone, to which a service has one backend server that has died.
struct Zone {
    balancers: [BackendHealth; 3],
    draw: SeededDraw,
    now: Instant,
    /// Unanswered requests: the flow, its balancer, when it was sent, copies sent.
    requests: Vec<(FlowAddresses, usize, Instant, usize)>,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let draw = SeededDraw::new(seed);

        Self { balancers: Default::default(), draw, now: start(), requests: Vec::new() }
    }

    /// Returns the time from the end of the backend server until a balancer considers it dead, given
    /// the number of callers and their requests a second; `None` if that takes over five seconds.
    fn time_to_notice(&mut self, callers: u8, rate: f64) -> Option<Duration> {
        let died = self.now;

        for step in 1..=500 {
            self.now += millis(10);
            if self.draw.unit() < rate / 100.0 {
                self.arrive(callers, step);
            }
            self.retransmit();
            self.exchange(step % 40 == 0);
            for balancer in &mut self.balancers {
                if !balancer.take_dead(|_| false, self.now).is_empty() {
                    return Some(self.now - died);
                }
            }
        }
        None
    }

    fn arrive(&mut self, callers: u8, port: u16) {
        let caller = u8::try_from(self.draw.below(callers.into())).unwrap();
        let balancer = self.draw.below(self.balancers.len());

        self.requests.push((flow_of(caller, port), balancer, self.now, 0));
    }

    fn retransmit(&mut self) {
        for (flow, balancer, sent, copies) in &mut self.requests {
            let due = RETRANSMISSIONS_MS.get(*copies).map(|wait| *sent + millis(*wait));
            if due.is_some_and(|due| due <= self.now) {
                *copies += 1;
                let signal = LivenessSignal::Unanswered(*sent);
                self.balancers[*balancer].observe(SERVER, *flow, signal, self.now);
            }
        }
    }

    /// Delivers queries to the other balancers, and what heartbeats say if they are due.
    fn exchange(&mut self, has_heartbeat: bool) {
        for sender in 0..self.balancers.len() {
            let query = self.balancers[sender].take_messages(self.now).query;
            let mut suspicions = query.map(|query| query.suspects).unwrap_or_default();
            if has_heartbeat {
                suspicions.extend(self.balancers[sender].suspicions(1, self.now));
            }
            let peer = address(u8::try_from(sender).unwrap(), 7_000);
            for receiver in (0..self.balancers.len()).filter(|receiver| *receiver != sender) {
                for suspicion in &suspicions {
                    self.balancers[receiver].on_peer_suspicion(peer, suspicion, self.now);
                }
            }
        }
    }
}

/// Returns the times of two hundred seeds, in order; those that found nothing come last.
fn times_to_notice(callers: u8, rate: f64) -> Vec<Option<Duration>> {
    let time = |seed| Zone::new(seed).time_to_notice(callers, rate);
    let mut times: Vec<_> = (1..=200).map(time).collect();

    times.sort_unstable_by_key(|time| time.unwrap_or(Duration::MAX));
    times
}

/// Prints the figures of the design note.
#[test]
#[ignore = "by hand: prints figures"]
fn table_of_times_to_notice() {
    for callers in [2, 3, 10, 40] {
        for rate in [1.0, 3.0, 10.0, 30.0] {
            let times = times_to_notice(callers, rate);
            let noticed = times.iter().flatten().count();
            println!(
                "{callers} callers, {rate} a second: {noticed} of 200, half by {:?}, nine tenths by {:?}",
                times[100], times[180]
            );
        }
    }
}

/// Guards against a rule so strict that a dead backend server with usual traffic is noticed no
/// sooner than by its entry.
#[test]
fn a_dead_backend_server_with_ten_callers_is_noticed_before_its_entry_lapses() {
    let lapse = EntryTimes::default().shortest_lapse();

    let times = times_to_notice(10, 10.0);
    assert!(times.iter().all(|time| time.is_some_and(|time| time < lapse)), "{:?}", times.last());
}
