//! Detection of backend servers that seem dead.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_policy::steering::health::backend_health::BackendHealth;
use valvestage_policy::steering::packets::flow_record::{AnswerSignal, LivenessSignal};
use valvestage_policy::steering::peers::peer_message::LifeReport;

use crate::fixtures::{address, flow, millis, start, suspicion};

const SERVER: u64 = 7;

/// An answer to a request.
const ALIVE: LivenessSignal = LivenessSignal::Alive(AnswerSignal { opening: false, since: None });

fn peer() -> SocketAddrV4 {
    address(9, 7_000)
}

/// Reports whether the flows of the backend server end at a tick.
fn is_dead(health: &mut BackendHealth, now: Instant) -> bool {
    health.take_dead(|_| false, now);

    health.is_considered_dead(SERVER, false, now)
}

#[test]
fn one_flow_without_an_answer_is_no_evidence() {
    let (mut health, now) = (BackendHealth::default(), start());

    for retransmission in 1..4 {
        let at = now + millis(200 * retransmission);
        assert!(health.observe(SERVER, flow(1), LivenessSignal::Unanswered(now), at).is_none());
    }
    assert!(!health.is_suspect(SERVER, now + millis(600)));
}

#[test]
fn two_flows_without_an_answer_raise_a_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.observe(SERVER, flow(1), LivenessSignal::Unanswered(now), now + millis(200));
    assert!(
        health
            .observe(SERVER, flow(2), LivenessSignal::Unanswered(now), now + millis(210))
            .is_some()
    );
    assert!(health.is_suspect(SERVER, now + millis(220)));
    assert_eq!(health.suspects(now + millis(220)), [SERVER]);
}

#[test]
fn an_answer_to_any_flow_since_then_prevents_a_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.observe(SERVER, flow(3), ALIVE, now + millis(100));
    health.observe(SERVER, flow(1), LivenessSignal::Unanswered(now), now + millis(200));
    health.observe(SERVER, flow(2), LivenessSignal::Unanswered(now), now + millis(210));
    assert!(!health.is_suspect(SERVER, now + millis(220)));
}

#[test]
fn the_latest_suspects_come_first_also_when_older_ones_miss_more_answers() {
    let (mut health, now) = (BackendHealth::default(), start());
    for instance in 1..=20 {
        for port in [1, 2] {
            let at = now + millis(200 + 10 * instance);
            health.observe(instance, flow(port), LivenessSignal::Unanswered(now), at);
        }
    }
    let latest: Vec<_> = (1..=20).rev().collect();
    assert_eq!(health.suspects(now + millis(500)), latest);

    health.observe(1, flow(3), LivenessSignal::Unanswered(now), now + millis(600));
    assert_eq!(health.suspects(now + millis(700)), latest);
}

#[test]
fn an_answer_ends_the_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());
    health.observe(SERVER, flow(1), LivenessSignal::Unanswered(now), now + millis(200));
    health.observe(SERVER, flow(2), LivenessSignal::Unanswered(now), now + millis(210));

    health.observe(SERVER, flow(3), ALIVE, now + millis(300));
    assert!(!health.is_suspect(SERVER, now + millis(301)));
}

#[test]
fn a_suspicion_ends_by_itself_so_that_a_returned_server_is_tried() {
    let (mut health, now) = (BackendHealth::default(), start());
    health.observe(SERVER, flow(1), LivenessSignal::Unanswered(now), now + millis(200));
    health.observe(SERVER, flow(2), LivenessSignal::Unanswered(now), now + millis(210));

    assert!(!health.is_suspect(SERVER, now + millis(10_000)));
}

#[test]
fn a_suspicion_reported_by_another_balancer_counts_for_a_while() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.on_peer_suspicion(peer(), &suspicion(SERVER, &[flow(8), flow(9)]), now);
    assert!(health.is_suspect(SERVER, now + millis(100)));
    assert!(!health.is_suspect(SERVER, now + millis(2_000)));
    // It is not passed on: reports of other balancers are never repeated to further ones.
    assert!(health.suspects(now + millis(100)).is_empty());
}

#[test]
fn a_sign_of_life_seen_here_overrides_reports_of_others() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.observe(SERVER, flow(1), ALIVE, now);
    health.on_peer_suspicion(peer(), &suspicion(SERVER, &[flow(8), flow(9)]), now + millis(100));
    assert!(!health.is_suspect(SERVER, now + millis(101)));
}

#[test]
fn flows_are_ended_only_when_more_of_them_miss_an_answer() {
    let (mut health, now) = (BackendHealth::default(), start());

    for port in 1..=2 {
        health.observe(SERVER, flow(port), LivenessSignal::Unanswered(now), now + millis(200));
    }
    assert!(!is_dead(&mut health, now + millis(401)));
    health.observe(SERVER, flow(3), LivenessSignal::Unanswered(now), now + millis(402));
    assert!(!is_dead(&mut health, now + millis(601)), "others have 200 ms to refute it");
    assert!(is_dead(&mut health, now + millis(602)));
    health.observe(SERVER, flow(4), ALIVE, now + millis(604));
    assert!(!is_dead(&mut health, now + millis(605)));
}

#[test]
fn fewer_flows_are_enough_when_another_balancer_reports_the_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.on_peer_suspicion(peer(), &suspicion(SERVER, &[flow(8), flow(9)]), now + millis(190));
    assert!(
        !is_dead(&mut health, now + millis(399)),
        "a report of another balancer alone ends no flow"
    );
    health.observe(SERVER, flow(1), LivenessSignal::Unanswered(now), now + millis(400));
    assert!(!is_dead(&mut health, now + millis(599)), "others have 200 ms to refute it");
    assert!(is_dead(&mut health, now + millis(600)));
}

/// A refutation is read with the tick that comes first after a pause of the process.
#[test]
fn a_backend_server_is_considered_dead_only_when_the_messages_were_read() {
    let (mut health, now) = (BackendHealth::default(), start());
    for port in 1..=3 {
        health.observe(SERVER, flow(port), LivenessSignal::Unanswered(now), now + millis(200));
    }

    let later = now + millis(500);
    health.observe(SERVER, flow(4), LivenessSignal::Unanswered(now + millis(1)), later);
    assert!(!health.is_considered_dead(SERVER, false, later));
    let alive = LifeReport { instance: SERVER, answered_ago_ms: 250 };
    assert!(health.on_peer_life(peer(), alive, later).is_some());
    assert!(!is_dead(&mut health, later + millis(300)));
}

#[test]
fn silence_on_opening_packets_counts_only_where_the_entry_is_missing() {
    let (mut health, now) = (BackendHealth::default(), start());
    for port in 1..=4 {
        health.observe(SERVER, flow(port), LivenessSignal::Unopened(now), now + millis(200));
    }

    let later = now + millis(500);
    assert!(health.is_suspect(SERVER, later));
    assert_eq!(health.take_dead(|_| false, later), []);
    assert!(!health.is_considered_dead(SERVER, false, later));
    assert_eq!(health.take_dead(|_| true, later), [SERVER]);
    assert!(health.is_considered_dead(SERVER, true, later));
}

#[test]
fn packets_read_together_show_nothing() {
    let (mut health, now) = (BackendHealth::default(), start());

    for port in 1..=5 {
        health.observe(SERVER, flow(port), LivenessSignal::Unanswered(now), now + millis(2));
    }
    assert!(!health.is_suspect(SERVER, now + millis(3)));
}
