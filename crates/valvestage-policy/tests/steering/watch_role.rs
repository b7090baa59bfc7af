//! The choice of the balancers that follow the store.

use std::time::Instant;

use valvestage_policy::steering::peers::peer_message::WatcherSighting;
use valvestage_policy::steering::store::watch_role::{RoleInputs, WatchRole};

use crate::fixtures::{OTHER_ZONE, OWN_ZONE, address, millis, start};

fn sighting(last: u8, age_ms: u32) -> WatcherSighting {
    WatcherSighting {
        peer: address(last, 7_000),
        zone: zone_of(last).to_owned(),
        age_ms,
        is_answered: true,
        page_ms: None,
    }
}

/// Returns the zone of an address: odd addresses are in one zone, even ones in the other.
fn zone_of(last: u8) -> &'static str {
    if last % 2 == 1 { OWN_ZONE } else { OTHER_ZONE }
}

fn inputs(is_answering: bool, draw: f64) -> RoleInputs {
    RoleInputs {
        is_answering,
        is_failing: false,
        is_complete: true,
        hears_other_zones: true,
        page_time: None,
        has_complete_peer: false,
        is_receiving_answer: false,
        recent_peers: 7,
        draw,
    }
}

fn watching(last: u8, now: Instant) -> WatchRole {
    let mut role = starting(last, 0.0, now);

    role.step(inputs(true, 0.5), now + millis(15));
    assert!(role.is_watching());
    role
}

/// Creates the role of a balancer that has just started.
fn starting(last: u8, draw: f64, now: Instant) -> WatchRole {
    WatchRole::new(address(last, 7_000), zone_of(last).to_owned(), false, draw, now)
}

/// Creates the role of a balancer that has stopped following the store because two others do.
fn stopped(now: Instant) -> WatchRole {
    let mut role = watching(9, now);

    role.on_sighting(&sighting(1, 0), now);
    role.on_sighting(&sighting(2, 0), now);
    role.step(inputs(true, 0.5), now);
    assert!(!role.is_watching());
    role
}

#[test]
fn a_balancer_that_knows_of_no_other_follows_the_store() {
    let now = start();
    let mut role = watching(9, now);

    role.step(inputs(false, 0.5), now);
    assert!(role.is_watching());
}

#[test]
fn of_too_many_the_lowest_addresses_stay() {
    let now = start();

    for (own, stays) in [(1, true), (2, true), (3, false), (4, false)] {
        let mut role = watching(own, now);
        for other in 1..=4 {
            role.on_sighting(&sighting(other, 0), now);
        }
        role.step(inputs(true, 0.5), now);
        assert_eq!(role.is_watching(), stays, "balancer {own}");
    }
}

#[test]
fn a_follower_that_the_store_does_not_answer_stops() {
    let now = start();
    let mut role = watching(1, now);
    role.on_sighting(&sighting(2, 0), now);
    role.on_sighting(&sighting(3, 0), now);

    role.step(inputs(false, 0.5), now);
    assert!(!role.is_watching());
}

#[test]
fn another_takes_over_within_the_time_that_a_configuration_may_take() {
    let now = start();
    let mut role = stopped(now);

    // Both followers fail at once. The balancer takes a step every 100 ms.
    let mut at = now;
    while !role.is_watching() {
        at += millis(100);
        role.step(inputs(false, 0.99), at);
    }
    assert!(at - now <= millis(3_300), "took over after {:?}", at - now);
}

#[test]
fn the_pause_is_random_so_that_not_all_take_over_at_once() {
    let now = start();
    let begins = |draw: f64| {
        let (mut role, mut at) = (stopped(now), now);
        while !role.is_watching() {
            at += millis(10);
            role.step(inputs(false, draw), at);
        }
        at - now
    };

    assert!(begins(0.9) > begins(0.1) + millis(300));
}

#[test]
fn one_that_hears_of_a_successor_in_its_pause_does_not_begin() {
    let now = start();
    let mut role = stopped(now);
    let late = now + millis(2_700);
    role.step(inputs(false, 0.9), late);

    role.on_sighting(&sighting(3, 0), late);
    role.on_sighting(&sighting(4, 0), late);
    role.step(inputs(false, 0.9), late + millis(1_000));
    assert!(!role.is_watching());
}

#[test]
fn an_old_sighting_does_not_count() {
    let now = start();
    let mut role = watching(9, now);

    role.on_sighting(&sighting(1, 5_000), now);
    role.on_sighting(&sighting(2, 5_000), now);
    role.step(inputs(true, 0.5), now);
    assert!(role.is_watching());
}

#[test]
fn a_balancer_that_starts_waits_for_its_peers() {
    let now = start();
    let unknowing = RoleInputs { is_complete: false, ..inputs(false, 0.5) };
    let mut role = starting(9, 0.0, now);
    role.step(unknowing, now);
    assert!(!role.is_watching());

    // No peer reports anything.
    role.step(unknowing, now + millis(15));
    assert!(role.is_watching());
}

#[test]
fn a_peer_that_was_asked_gets_time_to_answer() {
    let now = start();
    let unknowing = RoleInputs { is_complete: false, ..inputs(false, 0.5) };
    let mut role = starting(9, 0.0, now);
    role.on_pull_sent(now + millis(10));
    role.step(unknowing, now + millis(20));
    assert!(!role.is_watching());

    // The answer of the peer is lost, while others follow the store.
    role.on_sighting(&sighting(1, 0), now);
    role.on_sighting(&sighting(2, 0), now);
    role.step(unknowing, now + millis(120));
    assert!(role.is_watching());
}

#[test]
fn two_in_one_zone_are_not_enough_where_there_are_more() {
    let now = start();
    let mut role = starting(8, 0.0, now);
    role.on_sighting(&sighting(1, 0), now);
    role.on_sighting(&sighting(3, 0), now);

    role.step(inputs(true, 0.5), now + millis(50));
    assert!(role.is_watching());
    // Of the three, the second one of the same zone has to stop.
    let mut second = watching(3, now);
    second.on_sighting(&sighting(1, 0), now);
    second.on_sighting(&sighting(8, 0), now);
    second.step(inputs(true, 0.5), now);
    assert!(!second.is_watching());
}

#[test]
fn two_in_the_only_zone_that_is_heard_are_enough() {
    let now = start();
    let mut role = watching(5, now);
    role.on_sighting(&sighting(1, 0), now);
    role.on_sighting(&sighting(3, 0), now);

    role.step(RoleInputs { hears_other_zones: false, ..inputs(true, 0.5) }, now);
    assert!(!role.is_watching());
}

#[test]
fn the_end_of_a_watch_is_forwarded_at_once() {
    let now = start();
    let mut role = watching(9, now);

    assert!(role.on_sighting(&sighting(1, 0), now));
    assert!(!role.on_sighting(&sighting(1, 100), now + millis(400)));
    assert!(role.on_sighting(&sighting(1, 0), now + millis(1_500)));
}

#[test]
fn when_all_start_at_once_some_read_the_store_first() {
    let now = start();
    let begins = |is_first_start: bool, draw: f64| {
        let zone = OWN_ZONE.to_owned();
        let mut role = WatchRole::new(address(9, 7_000), zone, is_first_start, draw, now);
        let mut at = now;
        while !role.is_watching() {
            at += millis(1);
            role.step(inputs(false, 0.5), at);
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
    let mut role = starting(9, 0.0, now);
    role.on_sighting(&trying(1), now);
    role.on_sighting(&trying(2), now);
    role.on_sighting(&trying(3), now);
    role.step(inputs(false, 0.0), now + millis(100));
    assert!(!role.is_watching());

    // The sightings of the others have expired.
    let later = now + millis(2_000);
    role.step(inputs(false, 0.0), later);
    assert!(role.is_watching());
    role.step(inputs(false, 0.0), later + millis(10));
    role.step(inputs(false, 0.0), later + millis(1_700));
    assert!(!role.is_watching(), "it lets others try");
    role.step(inputs(false, 0.0), later + millis(1_800));
    assert!(!role.is_watching());
    role.step(inputs(false, 0.0), later + millis(6_000));
    assert!(role.is_watching(), "no other balancer tries");
}

#[test]
fn one_whose_calls_fail_lets_others_try_soon() {
    let now = start();
    let failing = RoleInputs { is_failing: true, ..inputs(false, 0.5) };
    let mut role = watching(9, now);

    role.step(failing, now + millis(100));
    assert!(role.is_watching());
    role.step(failing, now + millis(500));
    assert!(!role.is_watching());
}

#[test]
fn followers_that_stay_are_announced_first() {
    let now = start();
    let mut role = stopped(now);

    // Many balancers of one zone have lower addresses than the first one of the other zone.
    for other in [1, 3, 5, 7, 11, 13, 24] {
        role.on_sighting(&sighting(other, 0), now + millis(1));
    }
    role.on_sighting(&WatcherSighting { age_ms: 5_000, ..sighting(2, 0) }, now);
    let later = now + millis(2_205);
    role.on_sighting(&sighting(24, 0), later);
    for other in [1, 3, 5, 7, 11, 13] {
        role.on_sighting(&sighting(other, 0), later);
    }
    role.step(inputs(true, 0.5), later);
    let announced: Vec<_> =
        role.sightings(None, None, later).iter().map(|follower| follower.peer).collect();
    assert!(announced.contains(&address(1, 7_000)), "{announced:?}");
    assert!(announced.contains(&address(24, 7_000)), "{announced:?}");
}

/// Returns the sighting of a balancer that reads a long list, and whose last page took `page_ms`.
fn reader(last: u8, page_ms: u16) -> WatcherSighting {
    WatcherSighting { page_ms: Some(page_ms), ..sighting(last, 0) }
}

/// Returns the state of a balancer that knows nothing yet, and that reads a long list if the time
/// of its last page is given.
fn without_knowledge(page_ms: Option<u64>) -> RoleInputs {
    RoleInputs { is_complete: false, page_time: page_ms.map(millis), ..inputs(true, 0.0) }
}

/// Guards against all balancers of a large fleet reading the list of backend servers together: when
/// they start at once, the list takes longer than the pause before each of them begins to read it.
/// They then share the store's link, and the first one completes seconds later.
#[test]
fn a_long_list_is_left_to_four_that_read_it_faster() {
    let now = Instant::now();
    let mut role = watching(100, now);

    for last in 2..=4 {
        role.on_sighting(&reader(last, 6), now);
    }
    role.step(without_knowledge(Some(60)), now);
    assert!(role.is_watching());
    role.on_sighting(&reader(5, 6), now);
    role.step(without_knowledge(Some(60)), now);
    assert!(!role.is_watching());
    role.step(without_knowledge(None), now + millis(700));
    assert!(!role.is_watching());
}

#[test]
fn the_fastest_reader_goes_on_whatever_its_address_is() {
    let now = Instant::now();
    let mut role = watching(100, now);

    for last in 2..=9 {
        role.on_sighting(&reader(last, 60), now);
    }
    role.step(without_knowledge(Some(6)), now);
    assert!(role.is_watching());
}

#[test]
fn readers_that_fall_silent_are_waited_for_no_longer() {
    let now = Instant::now();
    let mut role = watching(100, now);
    for last in 2..=5 {
        role.on_sighting(&reader(last, 6), now);
    }
    role.step(without_knowledge(Some(60)), now);
    assert!(!role.is_watching());

    let later = now + millis(2_300);
    role.step(without_knowledge(None), later);
    role.step(without_knowledge(None), later + millis(600));
    assert!(role.is_watching());
}

/// Where a peer has complete knowledge there is no reason to wait for readers: either the peer
/// answers, or this balancer reads the store.
#[test]
fn readers_are_not_waited_for_if_a_peer_has_complete_knowledge() {
    let now = Instant::now();
    let mut role = watching(100, now);
    for last in 2..=9 {
        role.on_sighting(&reader(last, 6), now);
    }

    role.step(RoleInputs { has_complete_peer: true, ..without_knowledge(Some(60)) }, now);
    assert!(role.is_watching());
    role.step(RoleInputs { is_receiving_answer: true, ..without_knowledge(Some(60)) }, now);
    assert!(!role.is_watching());
}
