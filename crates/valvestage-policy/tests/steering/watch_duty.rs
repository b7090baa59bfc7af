//! Which balancers follow the store.

use std::time::Instant;

use valvestage_policy::steering::peer_message::WatcherSighting;
use valvestage_policy::steering::watch_duty::{DutyState, WatchDuty};

use crate::fixtures::{AWAY, HOME, address, millis, start};

fn sighting(last: u8, age_ms: u32) -> WatcherSighting {
    WatcherSighting {
        peer: address(last, 7_000),
        zone: zone_of(last).to_owned(),
        age_ms,
        is_answered: true,
    }
}

/// Odd addresses are in one zone, even ones in the other.
fn zone_of(last: u8) -> &'static str {
    if last % 2 == 1 { HOME } else { AWAY }
}

fn state(is_answering: bool, draw: f64) -> DutyState {
    DutyState {
        is_answering,
        is_failing: false,
        is_complete: true,
        has_zones: true,
        recent_peers: 7,
        draw,
    }
}

fn on_duty(last: u8, now: Instant) -> WatchDuty {
    let mut duty = starting(last, 0.0, now);

    duty.step(state(true, 0.5), now + millis(15));
    assert!(duty.is_on_duty());
    duty
}

/// One that has just started.
fn starting(last: u8, draw: f64, now: Instant) -> WatchDuty {
    WatchDuty::new(address(last, 7_000), zone_of(last).to_owned(), false, draw, now)
}

/// A balancer that has stopped following because of two others.
fn off_duty(now: Instant) -> WatchDuty {
    let mut duty = on_duty(9, now);

    duty.on_sighting(&sighting(1, 0), now);
    duty.on_sighting(&sighting(2, 0), now);
    duty.step(state(true, 0.5), now);
    assert!(!duty.is_on_duty());
    duty
}

#[test]
fn a_balancer_that_knows_of_no_other_follows_the_store() {
    let now = start();
    let mut duty = on_duty(9, now);

    duty.step(state(false, 0.5), now);
    assert!(duty.is_on_duty());
}

#[test]
fn of_too_many_the_lowest_addresses_stay() {
    let now = start();

    for (own, stays) in [(1, true), (2, true), (3, false), (4, false)] {
        let mut duty = on_duty(own, now);
        for other in 1..=4 {
            duty.on_sighting(&sighting(other, 0), now);
        }
        duty.step(state(true, 0.5), now);
        assert_eq!(duty.is_on_duty(), stays, "balancer {own}");
    }
}

#[test]
fn one_whom_the_store_does_not_answer_makes_room() {
    let now = start();
    let mut duty = on_duty(1, now);
    duty.on_sighting(&sighting(2, 0), now);
    duty.on_sighting(&sighting(3, 0), now);

    duty.step(state(false, 0.5), now);
    assert!(!duty.is_on_duty());
}

#[test]
fn another_takes_over_within_the_time_that_a_configuration_may_take() {
    let now = start();
    let mut duty = off_duty(now);

    // Both followers fall silent at once; the steps are heartbeats.
    let mut at = now;
    while !duty.is_on_duty() {
        at += millis(100);
        duty.step(state(false, 0.99), at);
    }
    assert!(at - now <= millis(3_300), "took over after {:?}", at - now);
}

#[test]
fn the_pause_is_drawn_so_that_not_all_take_over_at_once() {
    let now = start();
    let begins = |draw: f64| {
        let (mut duty, mut at) = (off_duty(now), now);
        while !duty.is_on_duty() {
            at += millis(10);
            duty.step(state(false, draw), at);
        }
        at - now
    };

    assert!(begins(0.9) > begins(0.1) + millis(300));
}

#[test]
fn one_that_hears_of_a_successor_in_its_pause_does_not_begin() {
    let now = start();
    let mut duty = off_duty(now);
    let late = now + millis(2_700);
    duty.step(state(false, 0.9), late);

    duty.on_sighting(&sighting(3, 0), late);
    duty.on_sighting(&sighting(4, 0), late);
    duty.step(state(false, 0.9), late + millis(1_000));
    assert!(!duty.is_on_duty());
}

#[test]
fn an_old_sighting_does_not_count() {
    let now = start();
    let mut duty = on_duty(9, now);

    duty.on_sighting(&sighting(1, 5_000), now);
    duty.on_sighting(&sighting(2, 5_000), now);
    duty.step(state(true, 0.5), now);
    assert!(duty.is_on_duty());
}

#[test]
fn a_balancer_that_starts_lets_its_peers_speak_first() {
    let now = start();
    let unknowing = DutyState { is_complete: false, ..state(false, 0.5) };
    let mut duty = starting(9, 0.0, now);
    duty.step(unknowing, now);
    assert!(!duty.is_on_duty());

    // Nobody speaks.
    duty.step(unknowing, now + millis(15));
    assert!(duty.is_on_duty());
}

#[test]
fn a_peer_that_was_asked_gets_time_to_tell() {
    let now = start();
    let unknowing = DutyState { is_complete: false, ..state(false, 0.5) };
    let mut duty = starting(9, 0.0, now);
    duty.on_telling_peer(now + millis(10));
    duty.step(unknowing, now + millis(20));
    assert!(!duty.is_on_duty());

    // Its answer is lost, while others follow the store.
    duty.on_sighting(&sighting(1, 0), now);
    duty.on_sighting(&sighting(2, 0), now);
    duty.step(unknowing, now + millis(120));
    assert!(duty.is_on_duty());
}

#[test]
fn two_in_one_zone_are_not_enough_where_there_are_more() {
    let now = start();
    let mut duty = starting(8, 0.0, now);
    duty.on_sighting(&sighting(1, 0), now);
    duty.on_sighting(&sighting(3, 0), now);

    duty.step(state(true, 0.5), now + millis(50));
    assert!(duty.is_on_duty());
    // Of the three, the second one of the same zone is the one to stop.
    let mut second = on_duty(3, now);
    second.on_sighting(&sighting(1, 0), now);
    second.on_sighting(&sighting(8, 0), now);
    second.step(state(true, 0.5), now);
    assert!(!second.is_on_duty());
}

#[test]
fn two_in_the_only_zone_that_is_heard_are_enough() {
    let now = start();
    let mut duty = on_duty(5, now);
    duty.on_sighting(&sighting(1, 0), now);
    duty.on_sighting(&sighting(3, 0), now);

    duty.step(DutyState { has_zones: false, ..state(true, 0.5) }, now);
    assert!(!duty.is_on_duty());
}

#[test]
fn the_end_of_a_watch_is_passed_on_at_once() {
    let now = start();
    let mut duty = on_duty(9, now);

    assert!(duty.on_sighting(&sighting(1, 0), now));
    assert!(!duty.on_sighting(&sighting(1, 100), now + millis(400)));
    assert!(duty.on_sighting(&sighting(1, 0), now + millis(1_500)));
}

#[test]
fn when_all_start_at_once_some_read_the_store_first() {
    let now = start();
    let begins = |is_first_start: bool, draw: f64| {
        let zone = HOME.to_owned();
        let mut duty = WatchDuty::new(address(9, 7_000), zone, is_first_start, draw, now);
        let mut at = now;
        while !duty.is_on_duty() {
            at += millis(1);
            duty.step(state(false, 0.5), at);
        }
        at - now
    };

    assert!(begins(false, 0.9) > begins(false, 0.1) + millis(30));
    assert!(begins(false, 0.99) <= millis(60), "traffic is waiting");
    assert!(begins(true, 0.9) > begins(true, 0.1) + millis(500));
}

#[test]
fn a_few_try_at_a_time_while_the_store_answers_nobody() {
    let now = start();
    let trying = |last: u8| WatcherSighting { is_answered: false, ..sighting(last, 0) };
    let mut duty = starting(9, 0.0, now);
    duty.on_sighting(&trying(1), now);
    duty.on_sighting(&trying(2), now);
    duty.on_sighting(&trying(3), now);
    duty.step(state(false, 0.0), now + millis(100));
    assert!(!duty.is_on_duty());

    // They have let go.
    let later = now + millis(2_000);
    duty.step(state(false, 0.0), later);
    assert!(duty.is_on_duty());
    duty.step(state(false, 0.0), later + millis(10));
    duty.step(state(false, 0.0), later + millis(1_700));
    assert!(!duty.is_on_duty(), "it lets others try");
    duty.step(state(false, 0.0), later + millis(1_800));
    assert!(!duty.is_on_duty());
    duty.step(state(false, 0.0), later + millis(6_000));
    assert!(duty.is_on_duty(), "nobody else does");
}

#[test]
fn one_whose_calls_fail_lets_others_try_soon() {
    let now = start();
    let failing = DutyState { is_failing: true, ..state(false, 0.5) };
    let mut duty = on_duty(9, now);

    duty.step(failing, now + millis(100));
    assert!(duty.is_on_duty());
    duty.step(failing, now + millis(500));
    assert!(!duty.is_on_duty());
}
