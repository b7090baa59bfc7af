//! Guards against resets of open flows whose backend server serves, but is full or slow.
//!
//! A full backend server is silent to new flows, and a slow one answers after the caller has
//! retransmitted. With a hundred balancers each sees about one answer in a hundred, so that every
//! sign of life may be seen elsewhere.

use std::time::Instant;

use valvestage_policy::steering::peers::peer_message::{HealthReport, LifeReport};
use valvestage_policy::steering::{
    BackendDirectory, Knowledge, PacketVerdict, ResetReason, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, address, backend, data, flow, knowledge, millis, opening, start,
    suspicion,
};

/// The only backend server of these tests.
const SERVER: u64 = 1;

/// Port of a caller whose flow is open and idle.
const IDLE: u16 = 90;

/// One of the balancers, all of which know the same.
struct Balancer {
    policy: SteeringPolicy,
    known: Knowledge,
    start: Instant,
    now: Instant,
}

impl Balancer {
    /// Returns a balancer with open flows, the last one [`IDLE`], on a backend server of a zone.
    fn with_flows_to(zone: &str, ports: &[u16]) -> Self {
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let now = start();
        let mut balancer = Self {
            policy: SteeringPolicy::new(options, 1),
            known: knowledge(&[backend(SERVER, "core", zone)]),
            start: now,
            now,
        };

        for port in ports.iter().chain([&IDLE]) {
            balancer.policy.on_packet(&balancer.known, &opening(flow(*port), 0), now);
            balancer.send(*port, 1_001, 0, 501);
        }
        // Long enough for the answers to the opening packets to count no more.
        balancer.start += millis(1_000);
        balancer.at(10);
        balancer
    }

    fn with_flows(ports: &[u16]) -> Self {
        Self::with_flows_to(OWN_ZONE, ports)
    }

    fn at(&mut self, time_ms: u64) {
        self.now = self.start + millis(time_ms);
    }

    fn send(&mut self, port: u16, sequence: u32, length: u32, ack: u32) -> PacketVerdict {
        let token = BackendDirectory::token_of(SERVER);

        self.policy.on_packet(
            &self.known,
            &data(flow(port), token, sequence, length, ack),
            self.now,
        )
    }

    /// Sends the first request of some flows, or retransmits it.
    fn request(&mut self, ports: &[u16]) -> Vec<PacketVerdict> {
        ports.iter().map(|port| self.send(*port, 1_001, 100, 501)).collect()
    }

    /// Sends the opening packets of further flows, which stay unanswered, and retransmits them.
    fn miss_openings(&mut self, ports: &[u16]) {
        for transmission in 0..2 {
            for port in ports {
                let packet = opening(flow(*port), transmission);
                self.policy.on_packet(&self.known, &packet, self.now);
            }
            self.now += millis(200);
        }
    }

    /// Ticks until a time, and returns the callers' ports of the flows that were reset.
    fn resets_until(&mut self, time_ms: u64) -> Vec<u16> {
        let mut ports = Vec::new();

        while self.now < self.start + millis(time_ms) {
            self.now += millis(10);
            self.policy.end_silent_flows(&self.known, self.now);
            self.policy.reset_ended_flows(&mut self.known, self.now);
            ports.extend(self.policy.take_resets().iter().map(|reset| reset.flow.caller.port()));
        }
        ports.sort_unstable();
        ports
    }

    fn hear(&mut self, report: &HealthReport) {
        self.policy.on_peer_health(address(7, 7_000), report, self.now);
    }

    fn hear_suspicion(&mut self) {
        let suspects = vec![suspicion(SERVER, &[flow(81), flow(82)])];

        self.hear(&HealthReport { suspects, ..Default::default() });
    }

    fn hear_life(&mut self, answered_ago_ms: u32) {
        let alive = vec![LifeReport { instance: SERVER, answered_ago_ms }];

        self.hear(&HealthReport { alive, ..Default::default() });
    }

    fn is_forwarded(&mut self, port: u16) -> bool {
        matches!(self.request(&[port])[..], [PacketVerdict::Forward { .. }])
    }
}

#[test]
fn silence_on_opening_packets_ends_no_open_flow() {
    let mut balancer = Balancer::with_flows(&[1]);

    balancer.miss_openings(&[11, 12, 13, 14]);
    assert_eq!(balancer.policy.suspects(balancer.now), [SERVER], "new flows leave it");
    assert!(balancer.is_forwarded(1));
    assert_eq!(balancer.resets_until(2_000), []);
}

#[test]
fn balancers_that_both_suspect_a_full_backend_server_do_not_confirm_each_other() {
    let mut balancers = [1, 2].map(|port| Balancer::with_flows(&[port]));

    for balancer in &mut balancers {
        balancer.miss_openings(&[11, 12]);
    }
    let reports = balancers.each_ref().map(|balancer| balancer.policy.report(balancer.now).health);
    assert!(reports.iter().all(|report| report.suspects == [suspicion(SERVER, &[])]));
    balancers[0].hear(&reports[1]);
    balancers[1].hear(&reports[0]);
    for (balancer, port) in balancers.iter_mut().zip([1, 2]) {
        assert!(balancer.is_forwarded(port));
        assert_eq!(balancer.resets_until(1_000), []);
    }
}

#[test]
fn a_sign_of_life_seen_elsewhere_keeps_the_flows_of_a_slow_backend_server() {
    for answered_after in [300, 500, 800] {
        let mut balancer = Balancer::with_flows(&[1, 2, 3]);
        balancer.request(&[1, 2, 3]);

        balancer.at(210);
        let verdicts = balancer.request(&[1, 2, 3]);
        assert!(verdicts.iter().all(|verdict| matches!(verdict, PacketVerdict::Forward { .. })));
        assert_eq!(balancer.resets_until(300), []);
        balancer.hear_life(50);
        assert_eq!(balancer.policy.suspects(balancer.now), []);
        assert_eq!(balancer.resets_until(10 + answered_after), []);
        // The answers come at last, and the next requests go on.
        for port in 1..=3 {
            balancer.send(port, 1_101, 0, 901);
        }
        assert_eq!(balancer.resets_until(1_500), []);
    }
}

#[test]
fn a_sign_of_life_refutes_the_suspicion_of_another_balancer() {
    let mut balancer = Balancer::with_flows(&[1]);
    balancer.request(&[1]);

    balancer.at(200);
    balancer.hear_suspicion();
    balancer.hear_life(20);
    balancer.at(210);
    assert!(balancer.is_forwarded(1));
    assert_eq!(balancer.resets_until(2_000), []);
}

#[test]
fn a_dead_backend_server_is_noticed_200_ms_later_than_without_refutations() {
    let mut balancer = Balancer::with_flows(&[1, 2, 3]);
    balancer.request(&[1, 2, 3]);

    balancer.at(210);
    balancer.request(&[1, 2, 3]);
    assert_eq!(balancer.policy.suspects(balancer.now), [SERVER], "new flows leave it at once");
    assert!(balancer.resets_until(420).contains(&IDLE));
    let verdicts = balancer.request(&[2]);
    assert!(!matches!(verdicts[..], [PacketVerdict::Forward { .. }]), "{verdicts:?}");
}

/// Refutations are lost, or there are none.
#[test]
fn a_suspicion_of_another_balancer_stands_without_a_refutation() {
    let mut balancer = Balancer::with_flows(&[1]);
    balancer.request(&[1]);

    balancer.at(200);
    balancer.hear_suspicion();
    balancer.at(210);
    balancer.request(&[1]);
    assert!(balancer.resets_until(420).contains(&IDLE));
}

/// A balancer may see the last answer of a backend server just before it dies.
#[test]
fn a_sign_of_life_from_before_the_requests_keeps_no_flow() {
    let mut balancer = Balancer::with_flows(&[1, 2, 3]);
    balancer.request(&[1, 2, 3]);

    balancer.at(210);
    balancer.request(&[1, 2, 3]);
    balancer.at(250);
    balancer.hear_life(260);
    assert!(balancer.resets_until(420).contains(&IDLE));
}

/// A partition separates the zones: nobody on this side sees answers, and the flows go on through
/// balancers on the other side.
#[test]
fn flows_to_a_zone_that_is_cut_off_end_only_after_a_failed_probe() {
    let mut balancer = Balancer::with_flows_to(OTHER_ZONE, &[1, 2, 3]);
    balancer.request(&[1, 2, 3]);

    balancer.at(210);
    balancer.request(&[1, 2, 3]);
    assert_eq!(balancer.resets_until(600), []);
    balancer.at(610);
    assert_eq!(balancer.request(&[3]), [PacketVerdict::Reset(ResetReason::BackendSilent)]);
}
