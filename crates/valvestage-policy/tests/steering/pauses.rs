//! Balancers that stand still for less time than counts as a pause.

use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    BackendDirectory, BackendNews, EntryOptions, EntryPolicy, SteeringOptions, StoreReply,
};

use crate::fixtures::{HOME, address, backend, data, flow, millis, opening, routes, start};

/// The one backend server.
const SERVER: u64 = 1;

/// Requests that are answered first, so that the usual time is known.
const ANSWERED: u16 = 20;

/// Requests that are under way then.
const UNDER_WAY: u16 = 30;

/// The balancer under test, at the time of its last turn.
struct Balancer {
    policy: EntryPolicy,
    now: Instant,
}

impl Balancer {
    /// One that knows its backend server, and has requests under way there.
    fn with_requests_under_way() -> Self {
        let mut balancer = Self::ready();

        for port in 1..=ANSWERED {
            balancer.send_request(port);
            balancer.acknowledge(port, millis(40));
        }
        balancer.turn_after(millis(100));
        for port in ANSWERED + 1..=ANSWERED + UNDER_WAY {
            balancer.send_request(port);
        }
        balancer.turn_after(millis(100));
        balancer
    }

    fn ready() -> Self {
        let now = start();
        let options = EntryOptions {
            steering: SteeringOptions { zone: HOME.to_owned(), ..Default::default() },
            peer_address: address(1, 7_400),
            seeds: Vec::new(),
            is_first_start: false,
            seed: 1,
        };
        let mut policy = EntryPolicy::new(options, now);
        let entry = backend(SERVER, "core", HOME);
        let news = BackendNews { instance: SERVER, revision: SERVER, entry: Some(entry) };

        // The balancer begins to follow the store within its first tenths of a second.
        policy.on_tick(now + millis(100));
        policy.on_tick(now + millis(200));
        policy.on_routes_reply(page(routes(1, &[(443, "core")])), now + millis(200));
        policy.on_backends_reply(page(news), now + millis(200));
        assert!(policy.is_ready());
        Self { policy, now: now + millis(200) }
    }

    fn turn_after(&mut self, time: Duration) {
        self.now += time;
        self.policy.on_tick(self.now);
    }

    fn send_request(&mut self, port: u16) {
        let token = BackendDirectory::token_of(SERVER);

        self.policy.on_packet(&opening(flow(port), 0), self.now);
        self.policy.on_packet(&data(flow(port), token, 1_001, 100, 500), self.now);
    }

    fn acknowledge(&mut self, port: u16, after: Duration) {
        let token = BackendDirectory::token_of(SERVER);

        self.policy.on_packet(&data(flow(port), token, 1_101, 0, 1_275), self.now + after);
    }

    fn avoided_count(&self) -> usize {
        self.policy.steering().avoided_count(self.now)
    }
}

fn page<T>(object: T) -> StoreReply<T> {
    StoreReply::Page { objects: vec![object], next_after: None, revision: 10 }
}

#[test]
fn what_was_not_read_meanwhile_is_read_before_it_is_missed() {
    let mut balancer = Balancer::with_requests_under_way();

    balancer.turn_after(millis(700));
    assert_eq!(balancer.avoided_count(), 0, "acknowledgements may wait to be read");
    for port in ANSWERED + 1..=ANSWERED + UNDER_WAY {
        balancer.acknowledge(port, millis(1));
    }
    balancer.turn_after(millis(100));
    assert_eq!(balancer.avoided_count(), 0);
}

#[test]
fn what_is_missing_still_then_counts() {
    let mut balancer = Balancer::with_requests_under_way();

    balancer.turn_after(millis(700));
    balancer.turn_after(millis(100));
    assert_eq!(balancer.avoided_count(), 1);
}
