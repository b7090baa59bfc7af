//! One availability zone has fewer slots than its callers ask for, while other zones are idle.

use quickcheck::TestResult;
use valvestage_policy::steering::placement::zone_shares::{SPILL_FROM, ZoneLoad, ZoneShares};

use crate::fixtures::{OTHER_ZONE, OWN_ZONE, seeded};

const THIRD: &str = "zone-c";
const FAR: &str = "zone-of-another-region";

fn load(zone: &str, demand: f64, slots: f64) -> ZoneLoad {
    ZoneLoad { zone: zone.to_owned(), is_far: zone == FAR, demand, slots }
}

/// Returns the share of a zone, from a thousand evenly spaced draws.
fn share(shares: &ZoneShares, zone: &str) -> f64 {
    const DRAWS: u32 = 1_000;
    let falls_there = |draw: &u32| {
        let unit = f64::from(*draw) / f64::from(DRAWS);
        shares.draw(unit).map_or(OWN_ZONE, String::as_str) == zone
    };

    let count = (0..DRAWS).filter(falls_there).count();
    f64::from(u32::try_from(count).unwrap()) / f64::from(DRAWS)
}

fn shares(zones: &[ZoneLoad]) -> ZoneShares {
    ZoneShares::new(&OWN_ZONE.to_owned(), zones)
}

#[track_caller]
fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() < 0.01, "{found} instead of {expected}");
}

#[test]
fn all_stay_in_a_zone_that_has_room() {
    let below = SPILL_FROM * 24.0 - 0.1;

    assert!(shares(&[load(OWN_ZONE, below, 24.0), load(OTHER_ZONE, 0.0, 200.0)]).stays_home());
}

#[test]
fn excess_demand_goes_to_other_zones_in_proportion_to_their_room() {
    let zones = [load(OWN_ZONE, 20.0, 10.0), load(OTHER_ZONE, 10.0, 100.0), load(THIRD, 5.0, 50.0)];
    let shares = shares(&zones);

    // Of 20 requests 9 fit; the other zones have room for 80 and 40.
    assert_near(share(&shares, OWN_ZONE), 9.0 / 20.0);
    assert_near(share(&shares, OTHER_ZONE), 11.0 / 20.0 * 80.0 / 120.0);
    assert_near(share(&shares, THIRD), 11.0 / 20.0 * 40.0 / 120.0);
}

#[test]
fn a_zone_without_any_backend_server_sends_all_flows_elsewhere() {
    let shares = shares(&[load(OWN_ZONE, 8.0, 0.0), load(OTHER_ZONE, 2.0, 20.0)]);

    assert_near(share(&shares, OTHER_ZONE), 1.0);
}

#[test]
fn zones_of_a_full_region_are_equally_utilized() {
    let zones = [load(OWN_ZONE, 24.0, 20.0), load(OTHER_ZONE, 15.0, 20.0)];
    let shares = shares(&zones);

    // 39 requests for 40 slots: 19.5 of 24 stay.
    assert_near(share(&shares, OWN_ZONE), 19.5 / 24.0);
}

#[test]
fn equally_busy_zones_exchange_no_flows() {
    assert!(shares(&[load(OWN_ZONE, 30.0, 20.0), load(OTHER_ZONE, 30.0, 20.0)]).stays_home());
}

#[test]
fn another_region_gets_only_the_excess_of_the_own_one() {
    let room = [load(OWN_ZONE, 19.0, 10.0), load(OTHER_ZONE, 5.0, 20.0), load(FAR, 0.0, 100.0)];
    assert_near(share(&shares(&room), FAR), 0.0);

    let full = [load(OWN_ZONE, 27.0, 15.0), load(OTHER_ZONE, 27.0, 15.0), load(FAR, 0.0, 100.0)];
    assert_near(share(&shares(&full), FAR), 0.5);
    assert_near(share(&shares(&full), OTHER_ZONE), 0.0);
}

#[test]
fn a_far_zone_without_room_gets_nothing() {
    let zones = [load(OWN_ZONE, 40.0, 20.0), load(FAR, 20.0, 20.0)];

    assert!(shares(&zones).stays_home());
}

#[test]
fn a_zone_without_known_load_keeps_its_flows() {
    assert!(shares(&[]).stays_home());
    assert!(shares(&[load(OTHER_ZONE, 1.0, 20.0)]).stays_home());
    assert!(shares(&[load(OWN_ZONE, 0.0, 0.0), load(OTHER_ZONE, 0.0, 0.0)]).stays_home());
}

/// If the callers of each zone follow their shares, no zone of the region gets more demand than the
/// spill level, or than the average utilization if that is higher.
#[test]
fn shares_of_all_zones_together_overload_none() {
    fn property(mut zones: Vec<(u8, u8)>) -> TestResult {
        zones.truncate(8);
        if zones.is_empty() {
            return TestResult::discard();
        }
        let name = |number: usize| format!("zone-{number}");
        let loads: Vec<ZoneLoad> = zones
            .iter()
            .enumerate()
            .map(|(number, (demand, slots))| {
                load(&name(number), f64::from(*demand), f64::from(*slots))
            })
            .collect();
        let demand: f64 = loads.iter().map(|zone| zone.demand).sum();
        let slots: f64 = loads.iter().map(|zone| zone.slots).sum();
        let level = SPILL_FROM.max(demand / slots.max(f64::MIN_POSITIVE));

        let mut asked = vec![0.0; loads.len()];
        for from in &loads {
            let shares = ZoneShares::new(&from.zone, &loads);
            for (number, to) in loads.iter().enumerate() {
                let share = (0..1_000).filter(|draw| {
                    let unit = (f64::from(*draw) + 0.5) / 1_000.0;
                    shares.draw(unit).unwrap_or(&from.zone) == &to.zone
                });
                asked[number] += from.demand * share.count() as f64 / 1_000.0;
            }
        }
        let rounding = demand / 1_000.0 * loads.len() as f64 + 1e-6;
        let fits = |(zone, asked): (&ZoneLoad, &f64)| *asked <= level * zone.slots + rounding;
        TestResult::from_bool(slots == 0.0 || loads.iter().zip(&asked).all(fits))
    }

    seeded().quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}
