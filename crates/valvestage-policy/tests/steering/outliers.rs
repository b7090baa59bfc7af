//! Avoidance of backend servers that fail more of their requests than others.

use std::time::Instant;

use valvestage_policy::steering::health::answer_norm::AnswerNorm;
use valvestage_policy::steering::health::outlier_detector::OutlierDetector;
use valvestage_policy::steering::peers::peer_message::OutcomeReport;
use valvestage_policy::steering::{
    BackendDirectory, Decision, Knowledge, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{OWN_ZONE, address, backend, data, flow, knowledge, millis, opening, start};
use crate::requests::{FixedAnswers, RequestRun};

const SERVER: u64 = 7;
const OTHERS: [u64; 3] = [8, 9, 10];

/// Observes requests at all backend servers. Only at [`SERVER`] some of them end badly. Returns the
/// time at which it was first avoided.
fn observe_some(
    detector: &mut OutlierDetector,
    is_poor: impl Fn(u64) -> bool,
    now: Instant,
) -> Option<Instant> {
    for request in 0..60 {
        let at = now + millis(50 * request);
        for other in OTHERS {
            assert!(detector.observe(other, "core", false, at).is_none());
        }
        if detector.observe(SERVER, "core", is_poor(request), at).is_some() {
            return Some(at);
        }
    }
    None
}

#[test]
fn one_that_fails_half_of_its_requests_is_avoided_and_returns() {
    let (mut detector, now) = (OutlierDetector::new(1), start());

    let at = observe_some(&mut detector, |request| request % 2 == 0, now).expect("avoided");
    assert!(detector.is_avoided(SERVER, at));
    assert!(detector.is_avoided(SERVER, at + millis(3_900)));
    assert!(
        !detector.is_avoided(SERVER, at + millis(6_000)),
        "the avoidance is still in force after 6 s"
    );
}

#[test]
fn one_that_fails_again_is_avoided_sooner_and_for_longer() {
    let (mut detector, now) = (OutlierDetector::new(1), start());
    let at = observe_some(&mut detector, |request| request % 2 == 0, now).expect("avoided");

    let back = at + millis(6_000);
    let again = detector.observe(SERVER, "core", true, back);
    assert!(
        matches!(again, Some(Decision::Avoided { .. })),
        "one poor request after the return is not enough"
    );
    assert!(detector.is_avoided(SERVER, back + millis(7_000)));
}

#[test]
fn rare_poor_requests_are_no_evidence() {
    let (mut detector, now) = (OutlierDetector::new(1), start());

    assert!(observe_some(&mut detector, |request| request % 20 == 7, now).is_none());
}

#[test]
fn a_failure_rate_common_to_all_is_no_evidence_against_one() {
    let (mut detector, now) = (OutlierDetector::new(1), start());

    for request in 0..100 {
        let at = now + millis(50 * request);
        for instance in OTHERS {
            detector.observe(instance, "core", request % 2 == 0, at);
        }
    }
    let after = now + millis(5_000);
    let avoided = OTHERS.into_iter().filter(|instance| detector.is_avoided(*instance, after));
    assert_eq!(avoided.count(), 0);
}

#[test]
fn balancers_that_see_more_poor_requests_everywhere_do_not_make_one_stand_out() {
    let (mut here, now) = (OutlierDetector::new(1), start());
    let mut there = OutlierDetector::new(2);

    // Here, one request ends badly at each backend server. There, half of all requests do at every
    // one.
    for request in 0..200_u64 {
        let at = now + millis(request);
        for instance in OTHERS {
            here.observe(instance, "core", request == 190, at);
            there.observe(instance, "core", request % 2 == 0, at);
        }
    }
    let at = now + millis(200);
    assert!(here.on_peer_counts(address(1, 7_400), &there.reports(at), at).is_empty());
}

#[test]
fn counts_of_several_balancers_add_up() {
    let (mut detectors, now) = ([OutlierDetector::new(1), OutlierDetector::new(1)], start());

    for detector in &mut detectors {
        for port in 0..4 {
            detector.observe(SERVER, "core", port < 2, now + millis(port));
            detector.observe(OTHERS[0], "core", false, now + millis(port));
        }
        assert!(!detector.is_avoided(SERVER, now + millis(10)), "avoided after two poor requests");
    }

    let [first, second] = &mut detectors;
    let decisions = second.on_peer_counts(
        address(1, 7_400),
        &first.reports(now + millis(10)),
        now + millis(20),
    );
    assert!(matches!(decisions[..], [Decision::Avoided { reporting_peers: 1, .. }]));
}

#[test]
fn a_repeated_report_counts_once() {
    let (mut detector, now) = (OutlierDetector::new(1), start());
    let report = OutcomeReport {
        instance: SERVER,
        answered_tenths: 10,
        poor_tenths: 15,
        expected_tenths: 1,
    };
    detector.observe(SERVER, "core", false, now);

    for time in 0..50 {
        let decisions = detector.on_peer_counts(address(1, 7_400), &[report], now + millis(time));
        assert!(decisions.is_empty());
    }
}

#[test]
fn counts_are_reported_only_while_in_question() {
    let (mut detector, now) = (OutlierDetector::new(1), start());
    for _ in 0..10 {
        detector.observe(SERVER, "core", false, now);
    }
    assert!(detector.reports(now).is_empty());

    let report =
        OutcomeReport { instance: SERVER, answered_tenths: 0, poor_tenths: 20, expected_tenths: 1 };
    detector.on_peer_counts(address(1, 7_400), &[report], now + millis(10));
    let reports = detector.reports(now + millis(20));
    assert_eq!(reports.len(), 1);
    assert!(reports[0].answered_tenths > 90, "ordinary answers are missing in the report");
    assert!(detector.reports(now + millis(5_000)).is_empty());
}

#[test]
fn one_that_fails_for_others_only_is_not_avoided_here() {
    let (mut detector, now) = (OutlierDetector::new(1), start());
    for _ in 0..10 {
        detector.observe(SERVER, "core", false, now);
    }

    let report = OutcomeReport {
        instance: SERVER,
        answered_tenths: 0,
        poor_tenths: 300,
        expected_tenths: 6,
    };
    assert!(detector.on_peer_counts(address(1, 7_400), &[report], now + millis(10)).is_empty());
    assert!(!detector.is_avoided(SERVER, now + millis(20)));
}

#[test]
fn reported_avoidances_are_adopted_but_not_passed_on() {
    let (mut detector, now) = (OutlierDetector::new(1), start());
    let at = observe_some(&mut detector, |request| request % 2 == 0, now).expect("avoided");
    let reported = detector.avoidances(at);
    assert_eq!(reported.len(), 1);

    let mut other = OutlierDetector::new(2);
    other.observe(SERVER, "core", false, at);
    assert_eq!(other.on_peer_avoidances(address(1, 7_400), &reported, at).len(), 1);
    assert!(other.is_avoided(SERVER, at + millis(1_000)));
    assert!(other.avoidances(at).is_empty(), "a reported avoidance was passed on");

    let mut healthy = OutlierDetector::new(3);
    for _ in 0..10 {
        healthy.observe(SERVER, "core", false, at);
    }
    assert!(
        healthy.on_peer_avoidances(address(1, 7_400), &reported, at).is_empty(),
        "avoided although it answers here"
    );
}

#[test]
fn answers_of_varied_size_are_not_short() {
    let mut norm = AnswerNorm::default();

    for step in 0..200_u64 {
        let bytes = 2_000 + u32::try_from(step * 2_654_435_761 % 7_000).unwrap();
        assert!(!norm.is_short(bytes), "{bytes}");
        norm.on_size(bytes);
    }
    assert!(norm.is_short(100));
}

#[test]
fn an_answer_of_a_fifth_is_short_where_all_are_alike() {
    let mut norm = AnswerNorm::default();

    // Two of five answers are errors already.
    for step in 0..100 {
        norm.on_size(if step % 5 < 2 { 152 } else { 775 });
    }
    assert!(norm.is_short(152));
    assert!(!norm.is_short(760));
}

#[test]
fn nothing_is_short_or_overdue_before_enough_answers() {
    let mut norm = AnswerNorm::default();

    assert!(norm.overdue_after().is_none());
    norm.on_size(80_000);
    assert!(!norm.is_short(100));
}

#[test]
fn flows_leave_a_backend_server_that_answers_with_errors() {
    let answers = FixedAnswers { usual: 775, at_bad: 152 };

    let run = RequestRun::play(SteeringPolicy::new(options(), 1), answers);
    assert!(run.at_bad_late * 5 < run.per_server_late, "{run:?}");
}

#[test]
fn flows_leave_a_backend_server_whose_callers_give_up() {
    let answers = FixedAnswers { usual: 775, at_bad: 0 };

    let run = RequestRun::play(SteeringPolicy::new(options(), 1), answers);
    assert!(run.at_bad_late * 5 < run.per_server_late, "{run:?}");
}

#[test]
fn flows_stay_where_all_answer_alike() {
    let answers = FixedAnswers { usual: 775, at_bad: 775 };

    let run = RequestRun::play(SteeringPolicy::new(options(), 1), answers);
    assert!(run.at_bad_late * 2 > run.per_server_late, "{run:?}");
}

#[test]
fn requests_under_way_during_a_pause_do_not_count() {
    let now = start();
    let known = knowledge(&[backend(1, "core", OWN_ZONE)]);
    let mut policy = SteeringPolicy::new(options(), 1);
    unanswered_after_answered(&mut policy, &known, now);
    policy.on_pause();
    policy.judge_overdue(&known, now + millis(30_000));
    assert_eq!(policy.avoided_count(now + millis(30_000)), 0);
}

#[test]
fn requests_that_wait_for_much_longer_than_usual_count() {
    let now = start();
    let known = knowledge(&[backend(1, "core", OWN_ZONE)]);
    let mut policy = SteeringPolicy::new(options(), 1);

    unanswered_after_answered(&mut policy, &known, now);
    policy.judge_overdue(&known, now + millis(300));
    assert_eq!(policy.avoided_count(now + millis(300)), 0, "avoided before requests are overdue");
    policy.judge_overdue(&known, now + millis(1_000));
    assert_eq!(policy.avoided_count(now + millis(1_000)), 1);
}

fn unanswered_after_answered(policy: &mut SteeringPolicy, known: &Knowledge, now: Instant) {
    // Enough answers to establish the usual size and time.
    for port in 1..=20 {
        answer_one(policy, known, port, now, true);
    }
    for port in 21..=50 {
        answer_one(policy, known, port, now + millis(100), false);
    }
}

fn answer_one(
    policy: &mut SteeringPolicy,
    known: &Knowledge,
    port: u16,
    now: Instant,
    is_answered: bool,
) {
    let flow = flow(port);
    let token = BackendDirectory::token_of(1);

    policy.on_packet(known, &opening(flow, 0), now);
    policy.on_packet(known, &data(flow, token, 1_001, 100, 500), now + millis(7));
    if is_answered {
        policy.on_packet(known, &data(flow, token, 1_101, 0, 1_275), now + millis(47));
    }
}

fn options() -> SteeringOptions {
    SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() }
}
