//! Deterministic simulation of a whole deployment: many balancers in one process, driven by a seed.
//!
//! Each seed draws a deployment and a series of overlapping faults, and runs them in simulated time
//! against the real policy code through its public interface, without sockets, threads or sleeps.
//! Oracles check what callers, backend servers and the store observe. This command runs one seed
//! again:
//!
//! ```text
//! VALVESTAGE_SEEDS=17 cargo test -p valvestage-policy --test simulation by_hand -- --ignored --nocapture
//! ```
//!
//! | module | contents |
//! |---|---|
//! | `site` | size and topology of a deployment |
//! | `events` | simulated time and the event queue |
//! | `fault` | fault kinds, and the fault plan of a seed |
//! | `flow_faults` | fault plans of the series with resting flows |
//! | `foreign_entry` | entries that another writer leaves with a broken field |
//! | `store` | fake of the platform's store |
//! | `balancers`, `links` | balancers, and the network links between them |
//! | `router` | the routers' choice of a balancer for each packet |
//! | `backends`, `callers` | the two ends of flows |
//! | `oracles` | the promises that are checked, and their bounds |
//! | `mutation` | deliberate defects that show that each oracle can fail |
//! | `seeds` | regression seeds, grouped by the failure they showed |
//! | `trace` | what is printed while one seed runs |
//! | `flow_series` | tests of the series with resting flows |
//! | `world` | the simulation itself: handles one event after the other |

mod backends;
mod balancers;
mod callers;
mod events;
mod fault;
mod flow_faults;
mod flow_series;
mod foreign_entry;
#[path = "../steering/links.rs"]
mod links;
mod mutation;
mod oracles;
mod router;
mod seeds;
mod site;
mod store;
mod trace;
mod world;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use fault::{
    BACKEND_RESTART_SEEDS, CUT_SEEDS, FaultPlan, GROWTH_SEEDS, RESTORE_SEEDS, ZONE_FAULT_SEEDS,
};
use mutation::Mutation;
use oracles::{Oracle, Violation};
use world::World;

/// Number of seeds that each test of a series runs.
const SEEDS_PER_SERIES: u64 = 2_000;

/// Seeds that failed before, each with the cause of its failure.
const KNOWN_SEEDS: &[(u64, &str)] = &[
    (455, "entries lapsed in a partition, and the store failed before they could be written again"),
    (887, "as seed 455, with a store that does not answer"),
    (955, "as seed 455, with a rolling restart"),
    (1484, "as seed 455, after the store had answered for 74 ms"),
    (3627, "a peer's report of the same revision restored a missing entry"),
    (6268, "as seed 3627"),
    (8914, "as seed 3627"),
    (6528, "a peer's report of an older revision than the one read restored a missing entry"),
    (3943, "a balancer that receives no messages was queried again at each of its heartbeats"),
    (6706, "as seed 3943"),
    (10611, "as seed 3943"),
    (11258, "as seed 3943"),
    (
        1_000_057,
        "a restart under the same name, for a service without an address, was taken for another writer's entry",
    ),
    (1_001_326, "a restart that became known after an outage ended flows of the new process"),
    (1_003_965, "as seed 1001326"),
    (1_003_987, "as seed 1001326"),
    (1_004_374, "as seed 1001326"),
    (1_004_692, "as seed 1001326"),
    (1_006_076, "as seed 1001326"),
    (1_005_796, "fault of the simulation: two processes at one address"),
    (1_006_241, "as seed 1005796"),
    (1_013_264, "an incarnation whose entry had lapsed was taken for one with a successor"),
    (
        1_014_749,
        "an end that some balancers concluded from a configuration did not reach the others",
    ),
    (
        1_014_960,
        "flows opened before a restart was known had a token that no balancer knew after all of them restarted",
    ),
    (1_015_120, "as seed 1014960"),
    (
        2_001_313,
        "three flows missed answers in a partition, and a retransmission arrived just after it",
    ),
    (2_001_430, "as seed 2001313"),
    (2_001_601, "as seed 2001313"),
    (2_006_296, "as seed 2001313"),
    (2_008_897, "as seed 2001313"),
    (2_009_463, "as seed 2001313"),
    (2_002_123, "callers of an ended backend server got their resets in another order on each run"),
    (
        2_008_842,
        "fault of the simulation: a late refusal of an opening packet ended a flow that was open",
    ),
    (2_005_915, "as seed 2008842"),
    (
        1_016_567,
        "allowed: a balancer that starts while an entry is unusable cannot know the backend server's address",
    ),
    (
        6_800_046,
        "callers were reported that had missed answers on the link of the balancer that reported them",
    ),
    (6_800_058, "as seed 6800046"),
    (6_800_665, "the check of the link came after the loss of a retransmission had ended"),
    (6_801_127, "as seed 6800665"),
    (
        6_803_929,
        "after a stall a refutation was taken for older than it was, and the link was checked meanwhile",
    ),
    (6_811_925, "a balancer that heard no other one concluded as if there were none"),
];

/// Runs one seed; returns its violations.
fn run_seed(seed: u64, mutation: Option<Mutation>) -> Vec<Violation> {
    World::new(seed, FaultPlan::draw(seed), mutation).run()
}

/// Returns a smaller fault plan of a failing seed: removes each fault without which a promise is
/// still violated.
fn shrink(seed: u64) -> FaultPlan {
    let mut plan = FaultPlan::draw(seed);
    let mut place = 0;

    while place < plan.faults.len() {
        let mut less = plan.clone();
        less.faults.remove(place);
        if World::new(seed, less.clone(), None).run().is_empty() {
            place += 1;
        } else {
            plan = less;
        }
    }
    plan
}

/// Runs `count` seeds from `first` on, on all processors; returns those that violate a promise.
fn run_seeds(first: u64, count: u64) -> Vec<(u64, Vec<Violation>)> {
    let next = AtomicU64::new(first);
    let workers = thread::available_parallelism().map_or(1, usize::from);

    let mut failed: Vec<_> = thread::scope(|scope| {
        let work = || {
            let mut failed = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return failed;
                }
                let violations = run_seed(seed, None);
                if !violations.is_empty() {
                    failed.push((seed, violations));
                }
            }
        };
        let workers: Vec<_> = (0..workers).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("the seed thread does not panic"))
            .collect()
    });
    failed.sort_by_key(|(seed, _)| *seed);
    failed
}

fn report(failed: &[(u64, Vec<Violation>)]) {
    for oracle in Oracle::ALL {
        let violates = |violations: &[Violation]| violations.iter().any(|v| v.oracle == oracle);
        let seeds = failed.iter().filter(|(_, violations)| violates(violations)).count();
        if seeds > 0 {
            println!("{oracle:?}: {seeds} seeds");
        }
    }
    for (seed, violations) in failed.iter().take(8) {
        println!("seed {seed}: {} violations, the first {:?}", violations.len(), violations[0]);
        println!("  smallest plan that fails: {:?}", shrink(*seed));
    }
}

#[test]
fn no_seed_violates_anything() {
    let failed = run_seeds(0, SEEDS_PER_SERIES);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_PER_SERIES} seeds violate a promise", failed.len());
}

#[test]
fn no_seed_with_backend_restarts_violates_anything() {
    let failed = run_seeds(BACKEND_RESTART_SEEDS, SEEDS_PER_SERIES);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_PER_SERIES} seeds violate a promise", failed.len());
}

#[test]
fn no_seed_with_evacuations_and_cold_returns_violates_anything() {
    let failed = run_seeds(ZONE_FAULT_SEEDS, SEEDS_PER_SERIES);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_PER_SERIES} seeds violate a promise", failed.len());
}

#[test]
fn no_seed_with_cuts_only_violates_anything() {
    let failed = run_seeds(CUT_SEEDS, SEEDS_PER_SERIES);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_PER_SERIES} seeds violate a promise", failed.len());
}

#[test]
fn no_seed_with_a_large_growth_violates_anything() {
    let failed = run_seeds(GROWTH_SEEDS, SEEDS_PER_SERIES);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_PER_SERIES} seeds violate a promise", failed.len());
}

#[test]
fn no_seed_with_a_restored_store_violates_anything() {
    let failed = run_seeds(RESTORE_SEEDS, SEEDS_PER_SERIES);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_PER_SERIES} seeds violate a promise", failed.len());
}

#[test]
fn seeds_that_ever_failed_hold() {
    for (seed, cause) in KNOWN_SEEDS {
        let violations = run_seed(*seed, None);
        assert!(violations.is_empty(), "seed {seed}, {cause}: {:?}", violations[0]);
    }
}

/// While the store does not answer, a flow moves from a paused balancer to one that has seen no
/// traffic of its backend server, whose entry lapsed in a partition. The flow then moves back to
/// the paused balancer, which resumes after the time in which the entry may be written again.
#[test]
fn a_flow_that_moves_while_the_store_is_silent_stays() {
    let violations = run_seed(11_828, None);

    assert!(violations.is_empty(), "{:?}", violations[0]);
}

/// A balancer starts 0.7 s before the entries of a partitioned zone lapse, and receives a flow to
/// that zone just after the partition.
#[test]
fn a_cut_and_a_restart_of_all_end_no_flow_that_was_answered() {
    let violations = run_seed(1_008_481, None);

    assert!(violations.is_empty(), "{:?}", violations[0]);
}

/// All open store calls stop answering, and 0.2 s later the configuration grows to the largest size
/// that the store accepts.
#[test]
fn a_configuration_that_grows_twice_is_in_force_in_time_after_calls_fell_silent() {
    let violations = run_seed(1_013_943, None);

    assert!(violations.is_empty(), "{:?}", violations[0]);
}

/// Guards against a reset that follows from a lapsed entry. After two partitions a balancer has a
/// record of a flow that another balancer serves, and learns 30 ms before the end of the second
/// partition that the backend server's entry has lapsed. Taking the lapse for an end, it reset the
/// flow, which had been answered 626 ms before: the trace shows a `Reset` by balancer 2, while
/// every packet since 13 s had gone through balancer 1.
#[test]
fn a_flow_that_moves_after_two_cuts_stays() {
    let violations = run_seed(2_004_775, None);

    assert!(violations.is_empty(), "{:?}", violations[0]);
}

/// The second copy of a packet arrives 0.1 s after the end of a partition that lost the first copy.
#[test]
fn a_second_copy_just_after_a_cut_ends_no_flow() {
    let violations = run_seed(2_008_948, None);

    assert!(violations.is_empty(), "{:?}", violations[0]);
}

/// An entry lapses in a partition. A balancer learns of the lapse after the partition, and from
/// then on none of its messages arrive. Its requests are not answered, so it never learns that the
/// entry was written again. It ended flows when the return time had passed by its own clock. The
/// trace shows `BackendChanged` with the phase ready at all other balancers, and three seconds
/// later at this one a `Reset` of a flow that had been answered 536 ms before.
#[test]
fn a_flow_that_moves_between_two_outages_stays() {
    let violations = run_seed(2_009_812, None);

    assert!(violations.is_empty(), "{:?}", violations[0]);
}

#[test]
fn a_seed_is_played_the_same_way_each_time() {
    let mutation = Some(Mutation::DropOpenFlows);

    assert_eq!(run_seed(3, mutation), run_seed(3, mutation));
    for seed in [2_002_123, 2_004_775] {
        let all: Vec<_> = (0..8).map(|_| run_seed(seed, None)).collect();
        assert!(all.iter().all(|one| *one == all[0]), "seed {seed}: {all:?}");
    }
}

#[test]
fn each_oracle_fails_where_its_promise_is_broken() {
    for (mutation, oracle) in Mutation::ALL {
        let seeds = (0..60)
            .chain(BACKEND_RESTART_SEEDS..BACKEND_RESTART_SEEDS + 60)
            .chain(ZONE_FAULT_SEEDS..ZONE_FAULT_SEEDS + 60);
        let found = seeds.into_iter().any(|seed| {
            run_seed(seed, Some(mutation)).iter().any(|violation| violation.oracle == oracle)
        });
        assert!(found, "no seed with the mutation {mutation:?} violates {oracle:?}");
    }
}

#[test]
fn every_oracle_has_a_mutation() {
    for oracle in Oracle::ALL {
        let of_flow_series = Mutation::OF_FLOW_SERIES.map(|(_, seen_as, _)| seen_as);
        let mut seen_as =
            Mutation::ALL.map(|(_, seen_as)| seen_as).into_iter().chain(of_flow_series);
        assert!(seen_as.any(|seen_as| seen_as == oracle), "{oracle:?}");
    }
}

/// Runs the seeds that `VALVESTAGE_SEEDS` names: `FIRST..END`, or one seed.
#[test]
#[ignore = "by hand"]
fn by_hand() {
    let text = std::env::var("VALVESTAGE_SEEDS").expect("VALVESTAGE_SEEDS is set");
    let (first, end) = text.split_once("..").unwrap_or((&text, ""));
    let first: u64 = first.parse().expect("VALVESTAGE_SEEDS holds numbers");
    let end: u64 = if end.is_empty() {
        first + 1
    } else {
        end.parse().expect("VALVESTAGE_SEEDS holds numbers")
    };

    let failed = run_seeds(first, end - first);
    report(&failed);
    println!("{} of {} seeds violate a promise", failed.len(), end - first);
    assert!(failed.is_empty());
}

/// Runs one seed and prints what `VALVESTAGE_TRACE` selects. A failing seed runs with the smaller
/// fault plan that still makes it fail.
#[test]
#[ignore = "by hand"]
fn traced() {
    let text = std::env::var("VALVESTAGE_SEEDS").expect("VALVESTAGE_SEEDS is set");
    let seed: u64 = text.parse().expect("VALVESTAGE_SEEDS holds numbers");
    let plan = if run_seed(seed, None).is_empty() { FaultPlan::draw(seed) } else { shrink(seed) };

    println!("traced: {seed} with {plan:?}");
    let world = World::new(seed, plan, None);
    println!("{}", world.describe());
    println!("{:?}", world.run());
}
