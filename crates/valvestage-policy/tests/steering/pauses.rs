//! Tests of balancers whose process stalls for less time than counts as a pause.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    BackendDirectory, BackendUpdate, Decision, EntryChange, EntryOptions, EntryPolicy,
    PacketVerdict, SteeringOptions, StoreReply,
};

use crate::fixtures::{
    OWN_ZONE, address, at, backend, data, flow, millis, name_of, opening, routes, start,
};

/// Backend server with requests under way.
const SERVER: u64 = 1;

/// Other backend servers of its service, which its response times are compared with.
const OTHERS: [u64; 3] = [2, 3, 4];

/// Number of requests that are answered first, so that the usual response time is known.
const ANSWERED: u16 = 20;

/// Number of requests under way after that.
const UNDER_WAY: u16 = 30;

/// Balancer under test, and the time of its last tick.
struct Balancer {
    policy: EntryPolicy,
    now: Instant,
}

impl Balancer {
    /// Returns a balancer that knows its backend server and has requests under way there.
    fn with_requests_under_way() -> Self {
        let mut balancer = Self::ready(&[SERVER]);

        for port in 1..=ANSWERED {
            balancer.send_request(port);
            balancer.acknowledge(port, millis(40));
        }
        balancer.tick_after(millis(100));
        for port in ANSWERED + 1..=ANSWERED + UNDER_WAY {
            balancer.send_request(port);
        }
        balancer.tick_after(millis(100));
        balancer
    }

    fn ready(servers: &[u64]) -> Self {
        let now = start();
        let options = EntryOptions {
            steering: SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() },
            peer_address: address(1, 7_400),
            seeds: Vec::new(),
            link_mbps: 10.0,
            evacuable_zones: None,
            is_first_start: false,
            seed: 1,
        };
        let mut policy = EntryPolicy::new(options, now);
        let updates = servers.iter().map(|instance| BackendUpdate {
            name: name_of(*instance),
            position: at(*instance),
            change: EntryChange::Written(backend(*instance, "core", OWN_ZONE)),
        });

        // The balancer starts to follow the store within its first few 100 ms.
        policy.on_tick(now + millis(100));
        policy.on_tick(now + millis(200));
        policy.on_routes_reply(page(vec![routes(1, &[(443, "core")])]), now + millis(200));
        policy.on_backends_reply(page(updates.collect()), now + millis(200));
        assert!(policy.is_ready());
        Self { policy, now: now + millis(200) }
    }

    fn tick_after(&mut self, time: Duration) {
        self.now += time;
        self.policy.on_tick(self.now);
    }

    fn send_request(&mut self, port: u16) {
        let token = BackendDirectory::token_of(SERVER);

        self.policy.on_packet(&opening(flow(port), 0), self.now);
        self.policy.on_packet(&data(flow(port), token, 1_001, 100, 500), self.now);
    }

    fn acknowledge(&mut self, port: u16, after: Duration) {
        self.acknowledge_at(SERVER, port, after);
    }

    /// Sends requests on flows that were opened through another balancer, and answers them after a
    /// time.
    fn answer_at(&mut self, instance: u64, ports: RangeInclusive<u16>, after: Duration) {
        for port in ports.clone() {
            self.send_on_open_flow(instance, port);
        }
        for port in ports {
            self.acknowledge_at(instance, port, after);
        }
    }

    fn send_on_open_flow(&mut self, instance: u64, port: u16) {
        let token = BackendDirectory::token_of(instance);

        self.policy.on_packet(&data(flow(port), token, 1_001, 100, 500), self.now);
    }

    fn acknowledge_at(&mut self, instance: u64, port: u16, after: Duration) {
        let token = BackendDirectory::token_of(instance);

        self.policy.on_packet(&data(flow(port), token, 1_101, 0, 1_275), self.now + after);
    }

    fn has_reported_slow(&mut self) -> bool {
        let decisions = self.policy.take_decisions();

        decisions.iter().any(|decision| matches!(decision, Decision::Slowed { .. }))
    }

    fn avoided_count(&self) -> usize {
        self.policy.steering().avoided_count(self.now)
    }
}

fn page<T>(objects: Vec<T>) -> StoreReply<T> {
    StoreReply::Page { objects, next_after: None, position: at(10) }
}

#[test]
fn queued_acknowledgements_are_read_before_answers_count_as_missing() {
    let mut balancer = Balancer::with_requests_under_way();

    balancer.tick_after(millis(700));
    assert_eq!(balancer.avoided_count(), 0, "acknowledgements may wait to be read");
    for port in ANSWERED + 1..=ANSWERED + UNDER_WAY {
        balancer.acknowledge(port, millis(1));
    }
    balancer.tick_after(millis(100));
    assert_eq!(balancer.avoided_count(), 0);
}

#[test]
fn answers_still_missing_after_a_stall_count() {
    let mut balancer = Balancer::with_requests_under_way();

    balancer.tick_after(millis(700));
    balancer.tick_after(millis(100));
    assert_eq!(balancer.avoided_count(), 1);
}

#[test]
fn queued_acknowledgements_make_no_backend_server_slow() {
    const USUAL: Duration = Duration::from_millis(40);
    let mut balancer = Balancer::ready(&[SERVER, OTHERS[0], OTHERS[1], OTHERS[2]]);
    balancer.answer_at(SERVER, 1..=20, USUAL);
    for other in OTHERS {
        let first = u16::try_from(other).unwrap() * 100;
        balancer.answer_at(other, first..=first + 20, USUAL);
    }
    balancer.tick_after(millis(100));
    for port in 31..=40 {
        balancer.send_on_open_flow(SERVER, port);
    }
    assert!(!balancer.has_reported_slow());

    // Only the requests that were under way during the stall seem to take that long.
    balancer.tick_after(millis(700));
    for port in 31..=40 {
        balancer.acknowledge(port, millis(1));
    }
    assert!(!balancer.has_reported_slow());

    // Response times of later requests count.
    balancer.tick_after(millis(100));
    balancer.answer_at(SERVER, 51..=80, 5 * USUAL);
    assert!(balancer.has_reported_slow());
}

#[test]
fn the_return_time_does_not_run_during_a_stall() {
    let mut balancer = Balancer::ready(&[SERVER, OTHERS[0]]);
    balancer.answer_at(SERVER, 1..=5, millis(40));
    balancer.tick_after(millis(100));
    let lapsed =
        BackendUpdate { name: name_of(SERVER), position: at(11), change: EntryChange::Deleted };
    let reply = StoreReply::Changes { objects: vec![lapsed], position: at(11) };
    balancer.policy.on_backends_reply(reply, balancer.now);

    // The store may have been unavailable during the stall: peers report that only a moment after
    // this balancer resumes.
    balancer.tick_after(millis(2_900));
    let request = data(flow(1), BackendDirectory::token_of(SERVER), 1_101, 100, 1_275);
    let verdict = balancer.policy.on_packet(&request, balancer.now);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: SERVER, .. }), "{verdict:?}");

    for _ in 0..24 {
        balancer.tick_after(millis(100));
    }
    let resets = balancer.policy.take_resets();
    assert!(resets.iter().any(|reset| reset.flow == flow(1)), "{resets:?}");
}
