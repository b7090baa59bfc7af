//! Which balancers follow the store.

use valvestage_policy::steering::peer_message::WatcherSighting;
use valvestage_policy::steering::watch_duty::WatchDuty;

use crate::fixtures::{address, millis, start};

fn sighting(last: u8, age_ms: u32) -> WatcherSighting {
    WatcherSighting { peer: address(last, 7_000), age_ms }
}

/// A balancer that has stopped following because of two others.
fn off_duty(now: std::time::Instant) -> WatchDuty {
    let mut duty = WatchDuty::new(address(9, 7_000));

    duty.on_sighting(sighting(1, 0), now);
    duty.on_sighting(sighting(2, 0), now);
    duty.step(true, 0.5, now);
    assert!(!duty.is_on_duty());
    duty
}

#[test]
fn a_balancer_that_knows_of_no_other_follows_the_store() {
    let (mut duty, now) = (WatchDuty::new(address(9, 7_000)), start());

    duty.step(false, 0.5, now);
    assert!(duty.is_on_duty());
}

#[test]
fn of_too_many_the_lowest_addresses_stay() {
    let now = start();

    for (own, stays) in [(1, true), (2, true), (3, false), (4, false)] {
        let mut duty = WatchDuty::new(address(own, 7_000));
        for other in 1..=4 {
            duty.on_sighting(sighting(other, 0), now);
        }
        duty.step(true, 0.5, now);
        assert_eq!(duty.is_on_duty(), stays, "balancer {own}");
    }
}

#[test]
fn one_whom_the_store_does_not_answer_makes_room() {
    let (mut duty, now) = (WatchDuty::new(address(1, 7_000)), start());
    duty.on_sighting(sighting(2, 0), now);
    duty.on_sighting(sighting(3, 0), now);

    duty.step(false, 0.5, now);
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
        duty.step(false, 0.99, at);
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
            duty.step(false, draw, at);
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
    duty.step(false, 0.9, late);

    duty.on_sighting(sighting(3, 0), late);
    duty.on_sighting(sighting(4, 0), late);
    duty.step(false, 0.9, late + millis(1_000));
    assert!(!duty.is_on_duty());
}

#[test]
fn an_old_sighting_does_not_count() {
    let (mut duty, now) = (WatchDuty::new(address(9, 7_000)), start());

    duty.on_sighting(sighting(1, 5_000), now);
    duty.on_sighting(sighting(2, 5_000), now);
    duty.step(true, 0.5, now);
    assert!(duty.is_on_duty());
}
