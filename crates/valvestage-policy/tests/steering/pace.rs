//! Backend servers whose answers are correct, but take longer than those of the others.

use std::time::Instant;

use valvestage_policy::steering::health::backend_pace::BackendPace;
use valvestage_policy::steering::{
    BackendDirectory, Decision, Knowledge, PacketVerdict, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{OWN_ZONE, backend, data, flow, knowledge, millis, opening, start};

/// The backend server whose pace changes.
const SLOW: u64 = 1;

/// Number of backend servers, including the slow one.
const SERVERS: u64 = 5;

/// Milliseconds between two requests. Each request ends before the next one starts, so that no
/// backend server is busy when a flow is placed.
const INTERVAL: u64 = 100;

/// Milliseconds that an answer usually takes.
const USUAL: u64 = 15;

/// One balancer in front of five backend servers.
struct Site {
    policy: SteeringPolicy,
    known: Knowledge,
    now: Instant,
    caller_port: u16,
}

impl Site {
    fn new() -> Self {
        let servers: Vec<_> = (1..=SERVERS).map(|id| backend(id, "core", OWN_ZONE)).collect();
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };

        Self {
            policy: SteeringPolicy::new(options, 1),
            known: knowledge(&servers),
            now: start(),
            caller_port: 1,
        }
    }

    /// Sends requests, each on a flow of its own. Answers take `at_slow` milliseconds at the slow
    /// backend server and `at_others` at the others. Returns how many requests went to the slow
    /// one.
    fn send(&mut self, requests: u16, at_slow: u64, at_others: u64) -> u16 {
        let mut to_slow = 0;

        for _ in 0..requests {
            to_slow += u16::from(self.send_one(at_slow, at_others) == SLOW);
        }
        to_slow
    }

    fn send_one(&mut self, at_slow: u64, at_others: u64) -> u64 {
        let (now, flow) = (self.now, flow(self.caller_port));
        self.now += millis(INTERVAL);
        self.caller_port += 1;
        let verdict = self.policy.on_packet(&self.known, &opening(flow, 0), now);
        let PacketVerdict::Forward { instance, .. } = verdict else { panic!("{verdict:?}") };
        let token = BackendDirectory::token_of(instance);

        let time = if instance == SLOW { at_slow } else { at_others };
        let mut last = data(flow, token, 1_101, 0, 1_275);
        last.closing = true;
        self.policy.on_packet(&self.known, &data(flow, token, 1_001, 100, 500), now + millis(1));
        self.policy.on_packet(&self.known, &last, now + millis(1 + time));
        instance
    }
}

#[test]
fn a_slow_backend_server_gets_few_new_flows_and_its_share_again_later() {
    let mut site = Site::new();
    let even = site.send(200, USUAL, USUAL);
    assert!((20..=60).contains(&even), "{even} requests instead of an even share of 40");

    site.send(50, 5 * USUAL, USUAL);
    let slow = site.send(200, 5 * USUAL, USUAL);
    assert!(slow <= 12, "{slow} requests to the slow one; an even share is 40");

    site.send(100, USUAL, USUAL);
    let again = site.send(200, USUAL, USUAL);
    assert!(again >= 20, "{again} requests after the recovery; an even share is 40");
}

#[test]
fn a_service_that_is_slow_altogether_goes_on_as_before() {
    let mut site = Site::new();
    site.send(200, USUAL, USUAL);

    site.send(100, 5 * USUAL, 5 * USUAL);
    let share = site.send(200, 5 * USUAL, 5 * USUAL);
    assert!((20..=60).contains(&share), "{share} requests instead of an even share of 40");
}

#[test]
fn one_that_answers_sooner_than_the_others_draws_no_flows() {
    let mut site = Site::new();

    site.send(200, USUAL, USUAL);
    let share = site.send(200, 1, USUAL);
    assert!((20..=60).contains(&share), "{share} requests instead of an even share of 40");
}

/// Returns a state in which all backend servers have given this many answers at the usual pace.
fn usual_pace(answers: u64, now: Instant) -> BackendPace {
    let mut pace = BackendPace::default();

    for answer in 0..answers {
        for instance in 1..=SERVERS {
            pace.on_answer(instance, "core", 0.0, now + millis(50 * answer));
        }
    }
    pace
}

fn factor(pace: &BackendPace, now: Instant) -> f64 {
    pace.factor(SLOW, pace.median("core", now), now)
}

#[test]
fn each_change_of_pace_is_reported_once() {
    let now = start();
    let mut pace = usual_pace(5, now);
    let at = now + millis(1_000);

    let mut decisions = Vec::new();
    for (log_ratio, count) in [(5.0_f64.ln(), 30), (0.0, 120)] {
        for _ in 0..count {
            decisions.extend(pace.on_answer(SLOW, "core", log_ratio, at));
        }
    }
    assert!(
        matches!(
            decisions[..],
            [Decision::Slowed { instance: SLOW, .. }, Decision::Recovered { instance: SLOW, .. }]
        ),
        "{decisions:?}"
    );
}

#[test]
fn of_two_backend_servers_neither_is_slow() {
    let now = start();
    let mut pace = BackendPace::default();
    for _ in 0..10 {
        pace.on_answer(SLOW, "core", 5.0_f64.ln(), now);
        pace.on_answer(SLOW + 1, "core", 0.0, now);
    }

    assert!(factor(&pace, now) <= 1.0, "{}", factor(&pace, now));
}

#[test]
fn a_single_long_answer_has_little_effect() {
    let now = start();
    let mut pace = usual_pace(20, now);
    let at = now + millis(1_000);

    assert!(pace.on_answer(SLOW, "core", 10.0_f64.ln(), at).is_none());
    assert!(factor(&pace, at) < 1.3, "{}", factor(&pace, at));
}

#[test]
fn old_answers_lose_weight() {
    let now = start();
    let mut pace = usual_pace(5, now);
    for _ in 0..30 {
        pace.on_answer(SLOW, "core", 5.0_f64.ln(), now);
    }

    assert!(factor(&pace, now) > 3.0, "{}", factor(&pace, now));
    assert!(factor(&pace, now + millis(40_000)) < 1.3);
}

#[test]
fn a_slowdown_common_to_all_slows_none() {
    let now = start();
    let mut pace = BackendPace::default();
    for instance in 1..=SERVERS {
        for _ in 0..5 {
            assert!(pace.on_answer(instance, "core", 5.0_f64.ln(), now).is_none());
        }
    }

    assert!(factor(&pace, now) < 1.1, "{}", factor(&pace, now));
}
