//! When a backend server seems dead.

use valvestage_policy::steering::backend_health::BackendHealth;
use valvestage_policy::steering::flow_record::FlowSign;

use crate::fixtures::{flow, millis, start};

const SERVER: u64 = 7;

#[test]
fn one_flow_without_an_answer_is_no_evidence() {
    let (mut health, now) = (BackendHealth::default(), start());

    for copy in 1..4 {
        let at = now + millis(200 * copy);
        assert!(!health.observe(SERVER, flow(1), FlowSign::Unanswered(now), at));
    }
    assert!(!health.is_suspect(SERVER, now + millis(600)));
}

#[test]
fn two_flows_without_an_answer_are() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.observe(SERVER, flow(1), FlowSign::Unanswered(now), now + millis(200));
    assert!(health.observe(SERVER, flow(2), FlowSign::Unanswered(now), now + millis(210)));
    assert!(health.is_suspect(SERVER, now + millis(220)));
    assert_eq!(health.suspects(now + millis(220)), [SERVER]);
}

#[test]
fn an_answer_to_any_flow_since_then_outweighs_them() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.observe(SERVER, flow(3), FlowSign::Alive, now + millis(100));
    health.observe(SERVER, flow(1), FlowSign::Unanswered(now), now + millis(200));
    health.observe(SERVER, flow(2), FlowSign::Unanswered(now), now + millis(210));
    assert!(!health.is_suspect(SERVER, now + millis(220)));
}

#[test]
fn an_answer_ends_the_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());
    health.observe(SERVER, flow(1), FlowSign::Unanswered(now), now + millis(200));
    health.observe(SERVER, flow(2), FlowSign::Unanswered(now), now + millis(210));

    health.observe(SERVER, flow(3), FlowSign::Alive, now + millis(300));
    assert!(!health.is_suspect(SERVER, now + millis(301)));
}

#[test]
fn a_suspicion_ends_by_itself_so_that_a_returned_server_is_tried() {
    let (mut health, now) = (BackendHealth::default(), start());
    health.observe(SERVER, flow(1), FlowSign::Unanswered(now), now + millis(200));
    health.observe(SERVER, flow(2), FlowSign::Unanswered(now), now + millis(210));

    assert!(!health.is_suspect(SERVER, now + millis(10_000)));
}

#[test]
fn the_word_of_another_balancer_counts_for_a_while() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.on_told(SERVER, now);
    assert!(health.is_suspect(SERVER, now + millis(100)));
    assert!(!health.is_suspect(SERVER, now + millis(2_000)));
    // It is not passed on: what is told goes no further than one balancer.
    assert!(health.suspects(now + millis(100)).is_empty());
}

#[test]
fn a_sign_of_life_seen_here_goes_before_the_word_of_another() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.observe(SERVER, flow(1), FlowSign::Alive, now);
    health.on_told(SERVER, now + millis(100));
    assert!(!health.is_suspect(SERVER, now + millis(101)));
}
