//! Refutations of suspicions. Guards against open flows that end because the signs of life of a
//! backend server are seen by other balancers only.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_policy::steering::Decision;
use valvestage_policy::steering::health::backend_health::BackendHealth;
use valvestage_policy::steering::health::refutation_queue::{MAX_QUERIED, SuspicionMessages};
use valvestage_policy::steering::packets::flow_record::{AnswerSignal, LivenessSignal};
use valvestage_policy::steering::peers::peer_message::{
    LifeReport, SuspicionQuery, SuspicionReport,
};

use crate::deployment::{Deployment, node_address};
use crate::fixtures::{
    OWN_ZONE, address, backend, flow, millis, opening, routes, start, suspicion,
};

const SERVER: u64 = 7;

const ALIVE: LivenessSignal = LivenessSignal::Alive(AnswerSignal { opening: false, since: None });

fn peer(number: u8) -> SocketAddrV4 {
    address(number, 7_000)
}

/// Lets flows miss answers since a time.
fn miss(health: &mut BackendHealth, ports: &[u16], since: Instant, now: Instant) {
    for port in ports {
        health.observe(SERVER, flow(*port), LivenessSignal::Unanswered(since), now);
    }
}

fn query_of(messages: &SuspicionMessages) -> Vec<u64> {
    let suspects = |query: &SuspicionQuery| {
        let suspects = query.suspects.iter().map(|suspicion| suspicion.instance);
        suspects.chain(query.doubted.iter().copied()).collect::<Vec<_>>()
    };

    messages.query.iter().flat_map(suspects).collect()
}

/// Returns the suspicion of another balancer, where two callers miss answers.
fn reported() -> SuspicionReport {
    suspicion(SERVER, &[flow(8), flow(9)])
}

fn life(answered_ago_ms: u32) -> LifeReport {
    LifeReport { instance: SERVER, answered_ago_ms }
}

#[test]
fn a_new_suspicion_is_asked_about_at_once_and_when_flows_would_end() {
    let (mut health, now) = (BackendHealth::default(), start());

    miss(&mut health, &[1], now, now + millis(200));
    assert_eq!(query_of(&health.take_messages(now + millis(200))), []);
    miss(&mut health, &[2], now, now + millis(210));
    assert_eq!(health.next_due(now + millis(210)), Some(now + millis(210)));
    assert_eq!(query_of(&health.take_messages(now + millis(210))), [SERVER]);
    miss(&mut health, &[3], now, now + millis(220));
    assert_eq!(query_of(&health.take_messages(now + millis(220))), [SERVER]);
    assert_eq!(health.next_due(now + millis(221)), Some(now + millis(420)));
    miss(&mut health, &[1, 2, 3], now, now + millis(600));
    assert_eq!(health.take_messages(now + millis(600)), SuspicionMessages::default());
}

#[test]
fn only_recent_signs_of_life_refute_a_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());
    health.observe(SERVER, flow(1), ALIVE, now);

    health.on_peer_suspicion(peer(2), &reported(), now + millis(999));
    let messages = health.take_messages(now + millis(999));
    assert_eq!(messages.refutations, [(peer(2), vec![life(999)])]);
    health.on_peer_suspicion(peer(3), &reported(), now + millis(1_000));
    assert_eq!(health.take_messages(now + millis(1_000)), SuspicionMessages::default());
}

/// Guards against an acknowledgement that overtakes the sign of life: to the balancer that asked it
/// would show that nobody refutes the suspicion.
#[test]
fn a_query_is_not_acknowledged_before_its_refutation() {
    let (mut health, now) = (BackendHealth::default(), start());
    health.observe(SERVER, flow(1), ALIVE, now);
    // The bytes for refutations are spent.
    for number in 100..118 {
        health.on_peer_suspicion(peer(number), &reported(), now);
    }
    assert!(health.take_messages(now).refutations.len() < 18);

    health.on_query(peer(151), 7);
    health.on_peer_suspicion(peer(151), &reported(), now);
    assert_eq!(health.take_messages(now), SuspicionMessages::default());

    let is_refuted = |messages: &SuspicionMessages| {
        messages.refutations.iter().any(|(receiver, _)| *receiver == peer(151))
    };
    let mut later = (1..10).map(|step| health.take_messages(now + millis(step * 100)));
    let told = later.find(|messages| !messages.acknowledgements.is_empty());
    let told = told.expect("the query is acknowledged");
    assert_eq!(told.acknowledgements, [(peer(151), 7)]);
    assert!(is_refuted(&told));
}

#[test]
fn a_balancer_that_asked_is_told_of_the_next_sign_of_life() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.on_peer_suspicion(peer(2), &reported(), now);
    assert_eq!(health.take_messages(now), SuspicionMessages::default());
    for (answered_at, told) in [(150, true), (160, false)] {
        let at = now + millis(answered_at);
        health.observe(SERVER, flow(1), ALIVE, at);
        let expected = if told { vec![(peer(2), vec![life(0)])] } else { Vec::new() };
        assert_eq!(health.take_messages(at).refutations, expected);
    }
    assert_eq!(health.lives(now + millis(200)), [life(40)]);
    assert_eq!(health.lives(now + millis(1_200)), []);
}

#[test]
fn a_reported_sign_of_life_ends_the_suspicion_and_spreads() {
    let (mut health, now) = (BackendHealth::default(), start());
    miss(&mut health, &[1, 2], now, now + millis(200));
    health.on_peer_suspicion(peer(3), &reported(), now + millis(210));

    let decision = health.on_peer_life(peer(2), life(50), now + millis(250));
    let age = millis(50);
    assert_eq!(decision, Some(Decision::Refuted { instance: SERVER, peer: peer(2), age }));
    assert!(!health.is_suspect(SERVER, now + millis(250)));
    assert_eq!(health.lives(now + millis(300)), [life(100)]);
    let messages = health.take_messages(now + millis(300));
    assert_eq!(query_of(&messages), [], "the question is withdrawn");
    assert_eq!(messages.refutations, [(peer(3), vec![life(100)])]);
    // Older signs of life say nothing new.
    assert_eq!(health.on_peer_life(peer(4), life(500), now + millis(310)), None);
    // Answers that are awaited since then still count.
    miss(&mut health, &[4, 5], now + millis(300), now + millis(500));
    assert!(health.is_suspect(SERVER, now + millis(500)));
}

/// One missing answer is no suspicion; if it were passed on as one, a single suspicion would reach
/// all balancers and be confirmed by each flow that misses an answer.
#[test]
fn a_doubt_about_what_another_balancer_suspects_is_not_reported_as_a_suspicion() {
    let (mut health, now) = (BackendHealth::default(), start());

    health.on_peer_suspicion(peer(2), &reported(), now + millis(100));
    miss(&mut health, &[1], now, now + millis(200));
    let query = health.take_messages(now + millis(200)).query.unwrap();
    assert_eq!((query.suspects, query.doubted), (vec![], vec![SERVER]));
    assert_eq!(health.suspects(now + millis(200)), []);

    let mut other = BackendHealth::default();
    other.on_question(peer(1), SERVER, now + millis(200));
    assert!(!other.is_suspect(SERVER, now + millis(200)));
}

/// Those that were told of a suspicion would go on to end flows that miss one answer.
#[test]
fn a_refuted_suspicion_is_withdrawn_where_it_was_told() {
    let (mut health, now) = (BackendHealth::default(), start());
    miss(&mut health, &[1, 2], now, now + millis(200));
    health.on_told(peer(3), &[reported()], now + millis(200));
    let mut told = BackendHealth::default();
    told.on_peer_suspicion(peer(1), &reported(), now + millis(200));
    miss(&mut told, &[3], now + millis(100), now + millis(300));

    health.on_peer_life(peer(2), life(200), now + millis(250));
    let messages = health.take_messages(now + millis(250));
    assert_eq!(messages.refutations, [(peer(3), vec![life(200)])]);
    told.on_retractions(peer(9), &[life(200)], now + millis(300));
    assert!(told.is_suspect(SERVER, now + millis(300)), "another balancer's suspicion stands");
    told.on_retractions(peer(1), &[life(200)], now + millis(300));
    assert!(!told.is_suspect(SERVER, now + millis(300)));
    assert_eq!(told.take_dead(|_| false, now + millis(500)), []);
}

#[test]
fn a_refuted_conclusion_does_not_stand_for_later_requests() {
    let (mut health, now) = (BackendHealth::default(), start());
    miss(&mut health, &[1, 2, 3], now, now + millis(200));
    assert_eq!(health.take_dead(|_| false, now + millis(400)), [SERVER]);
    assert!(health.is_considered_dead(SERVER, false, now + millis(400)));

    health.on_peer_life(peer(2), life(0), now + millis(410));
    miss(&mut health, &[4, 5, 6], now + millis(420), now + millis(620));
    assert!(!health.is_considered_dead(SERVER, false, now + millis(620)));
    assert_eq!(health.take_dead(|_| false, now + millis(819)), []);
    assert_eq!(health.take_dead(|_| false, now + millis(820)), [SERVER]);
}

#[test]
fn an_answer_to_one_flow_does_not_refute_a_suspicion_of_later_requests() {
    let (mut health, now) = (BackendHealth::default(), start());
    miss(&mut health, &[1, 2, 3], now, now + millis(200));

    assert_eq!(health.on_peer_life(peer(2), life(260), now + millis(250)), None);
    assert!(health.is_suspect(SERVER, now + millis(250)));
    assert_eq!(health.take_dead(|_| false, now + millis(400)), [SERVER]);
}

#[test]
fn queries_about_many_suspects_are_limited() {
    let (mut health, now) = (BackendHealth::default(), start());
    let mut bytes = 0;

    for instance in 0..60 {
        for port in 1..=3 {
            let signal = LivenessSignal::Unanswered(now);
            health.observe(instance, flow(port), signal, now + millis(200));
        }
    }
    for tick in 0..20 {
        let messages = health.take_messages(now + millis(200 + 100 * tick));
        assert!(query_of(&messages).len() <= MAX_QUERIED);
        bytes += messages.bytes();
    }
    assert!((1..3_000).contains(&bytes), "{bytes} bytes in two seconds");
}

/// Nine balancers; one suspects a backend server that another one has just heard.
#[test]
fn balancers_refute_the_suspicion_of_another_one_within_200_ms() {
    let mut deployment = Deployment::new(9);
    deployment.store.put_routes(routes(3, &[(443, "core")]));
    deployment.store.put_backend(backend(SERVER, "core", OWN_ZONE));
    deployment.run(millis(4_000));

    for port in 1..=2 {
        let packet = opening(flow(port), 0);
        deployment.nodes[0].as_mut().unwrap().on_packet(&packet, deployment.now);
    }
    deployment.run(millis(200));
    let answered = [opening(flow(9), 0), crate::fixtures::data(flow(9), 0, 1_001, 0, 501)];
    for packet in answered {
        deployment.nodes[5].as_mut().unwrap().on_packet(&packet, deployment.now);
    }
    for port in 1..=2 {
        let packet = opening(flow(port), 1);
        deployment.nodes[0].as_mut().unwrap().on_packet(&packet, deployment.now);
    }
    let suspects =
        |deployment: &Deployment| deployment.node(0).steering().suspects(deployment.now).len();
    assert_eq!(suspects(&deployment), 1);
    deployment.run(millis(10));
    assert_eq!(suspects(&deployment), 0);
    let decisions = deployment.nodes[0].as_mut().unwrap().take_decisions();
    let refuted = decisions.iter().find_map(|decision| match decision {
        Decision::Refuted { peer, age, .. } => Some((*peer, *age)),
        _ => None,
    });
    let (by, age) = refuted.expect("no line about the refutation");
    assert_eq!(by, node_address(5));
    assert!(age <= millis(10), "{age:?}");
}

/// Messages come from any sender, with any content.
#[test]
fn a_query_about_unknown_backend_servers_is_harmless() {
    let mut deployment = Deployment::new(2);
    let query = SuspicionQuery {
        number: u16::MAX,
        suspects: vec![SuspicionReport { instance: u64::MAX, callers: vec![9; 500] }; 500],
        doubted: vec![u64::MAX - 1; 500],
    };

    let now = deployment.now;
    let policy = deployment.nodes[0].as_mut().unwrap();
    policy.on_message(
        peer(9),
        valvestage_policy::steering::PeerMessage::SuspicionQuery(query),
        now,
    );
    deployment.run(millis(2_000));
    assert!(deployment.nodes[0].as_mut().unwrap().steering().suspects(deployment.now).is_empty());
}
