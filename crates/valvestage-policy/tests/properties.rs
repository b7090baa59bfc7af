//! Property tests of single components, with generated inputs.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use quickcheck::{Gen, QuickCheck, TestResult};
use valvestage_core::{RequestClass, Segment};
use valvestage_policy::flows::{FlowToken, RawTokenKeys, TokenKeys, TokenVerdict};
use valvestage_policy::membership::LiveView;
use valvestage_policy::requests::{AttemptRecord, RetryBudget, WaitEntry, WaitQueue};

/// Returns a generator with a fixed seed, so that every run has the same inputs.
fn seeded(size: usize) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(size, 42))
}

fn start() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn view(members: &[u8]) -> LiveView {
    LiveView::new(members.iter().map(|id| (u32::from(*id), format!("zone-{}", id % 3))))
}

#[test]
fn the_home_is_a_member_and_the_next_home_is_the_home_once_it_is_gone() {
    fn holds(members: Vec<u8>, key: u64) -> TestResult {
        let whole = view(&members);
        let Some(home) = whole.home(key) else {
            return TestResult::from_bool(members.is_empty());
        };
        let left: Vec<u8> = members.iter().copied().filter(|id| u32::from(*id) != home).collect();

        let next_is_right = whole.next_home(key) == view(&left).home(key);
        TestResult::from_bool(whole.contains(home) && next_is_right)
    }

    seeded(100).tests(3_000).quickcheck(holds as fn(Vec<u8>, u64) -> TestResult);
}

#[test]
fn losing_a_balancer_moves_only_few_of_the_other_flows() {
    let whole = LiveView::new((1..=8).map(|id| (id, format!("zone-{}", id % 3))));
    let left = LiveView::new((2..=8).map(|id| (id, format!("zone-{}", id % 3))));

    let others = (0..10_000u64).filter(|key| whole.home(*key) != Some(1));
    let moved = others.filter(|key| whole.home(*key) != left.home(*key)).count();

    // Only flows of balancers in the same zone may move, because the weight of the zone has fallen.
    // The bound leaves room above the actual number.
    assert!(moved < 1_500, "{moved} of 10,000 moved");
}

#[test]
fn segments_in_any_order_and_repeated_make_the_whole_answer_once() {
    fn holds(order: Vec<u8>, count: u8) -> TestResult {
        let count = u16::from(count % 12) + 1;
        let mut record = AttemptRecord::new(1, 1, 1, start());
        let mut seen = std::collections::BTreeSet::new();

        for index in order.into_iter().map(|drawn| u16::from(drawn) % count) {
            seen.insert(index);
            let place = Segment { index, count };
            let whole = record.add_segment(place, index);
            if seen.len() == usize::from(count) {
                return TestResult::from_bool(whole == Some((0..count).collect()));
            }
            if whole.is_some() {
                return TestResult::failed();
            }
        }
        TestResult::discard()
    }

    seeded(200).tests(500).quickcheck(holds as fn(Vec<u8>, u8) -> TestResult);
}

#[test]
fn a_token_is_valid_for_its_flow_alone_and_with_no_byte_changed() {
    fn holds(key: u64, other: u64, place: usize, change: u8) -> TestResult {
        if change == 0 || key == other {
            return TestResult::discard();
        }
        let raw = RawTokenKeys { flow_hash: (1, 2), current: 5, keys: vec![(5, 3, 4)] };
        let keys = TokenKeys::new(1, raw);
        let backend = valvestage_core::Backend {
            id: 7,
            name: "backend".to_owned(),
            service: 1,
            zone: "zone".to_owned(),
            address: "192.0.2.1:1".parse().unwrap(),
            incarnation: 2,
            slots: 1,
            connections: 1,
            weight: 1,
            state: valvestage_core::BackendState::Active,
        };
        let token = keys.issue(key, &backend).unwrap();

        let mut bytes = token.to_bytes();
        bytes[place % bytes.len()] ^= change;
        let altered = FlowToken::try_from(&bytes[..]).unwrap();
        TestResult::from_bool(
            keys.check(key, &token) == TokenVerdict::Valid
                && keys.check(other, &token) == TokenVerdict::Forged
                && keys.check(key, &altered) != TokenVerdict::Valid,
        )
    }

    seeded(100).tests(3_000).quickcheck(holds as fn(u64, u64, usize, u8) -> TestResult);
}

#[test]
fn no_class_starves_while_both_wait() {
    let mut queue = WaitQueue::new(Duration::from_secs(3_600));
    for id in 0..100 {
        queue.push(RequestClass::Urgent, WaitEntry { id, enqueued_at: start() });
        queue.push(RequestClass::Bulk, WaitEntry { id: id + 1_000, enqueued_at: start() });
    }

    let first: Vec<u128> = (0..50).filter_map(|_| queue.pop()).map(|entry| entry.id).collect();
    let bulk = first.iter().filter(|id| **id >= 1_000).count();
    assert_eq!(bulk, 10);
    assert!(first[..4].iter().all(|id| *id < 1_000), "urgent first: {first:?}");
}

#[test]
fn a_bulk_request_that_has_waited_long_goes_first() {
    let extra_wait = Duration::from_millis(500);
    let mut queue = WaitQueue::new(extra_wait);
    let later = start() + extra_wait + Duration::from_millis(1);
    queue.push(RequestClass::Bulk, WaitEntry { id: 1, enqueued_at: start() });
    queue.push(RequestClass::Urgent, WaitEntry { id: 2, enqueued_at: later });

    assert_eq!(queue.pop().map(|entry| entry.id), Some(1));
}

#[test]
fn retries_never_exceed_their_budget() {
    fn holds(attempts: Vec<bool>) -> bool {
        let mut budget = RetryBudget::new(0.1, 10.0);
        let (mut firsts, mut retries) = (0.0, 0.0);

        for is_first in attempts {
            if is_first {
                budget.on_first_attempt();
                firsts += 1.0;
            } else if budget.take() {
                retries += 1.0;
            }
        }
        retries <= 10.0 + 0.1 * firsts + 1e-9
    }

    seeded(500).tests(500).quickcheck(holds as fn(Vec<bool>) -> bool);
}
