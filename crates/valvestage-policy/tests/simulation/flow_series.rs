//! The series with flows that rest for up to 14 s, one test each, and their mutations.

use crate::fault::{CALLER_LOSS_SEEDS, RESTING_FLOW_SEEDS};
use crate::mutation::Mutation;
use crate::{report, run_seed, run_seeds};

/// Number of seeds that each test runs.
const SEEDS_EACH: u64 = 100;

/// Number of seeds of a series among which one has to show a mutation.
const MUTATION_SEEDS: u64 = 60;

fn assert_series_holds(first: u64) {
    let failed = run_seeds(first, SEEDS_EACH);

    report(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS_EACH} seeds violate a promise", failed.len());
}

/// Guards against resets of flows that have rested for seconds. Oracles that ask for a recent
/// answer do not judge these.
#[test]
fn no_seed_with_resting_flows_violates_anything() {
    assert_series_holds(RESTING_FLOW_SEEDS);
}

/// Guards against taking the missing answers of one caller for the end of its backend server, which
/// would reset the resting flows of all others there.
#[test]
fn no_seed_with_loss_on_the_link_of_one_caller_violates_anything() {
    assert_series_holds(CALLER_LOSS_SEEDS);
}

/// A mutation has to turn a seed red that holds without it.
#[test]
fn each_mutation_of_the_flow_series_is_detected() {
    for (mutation, oracle, first) in Mutation::OF_FLOW_SERIES {
        let is_violated = |seed: u64, mutation: Option<Mutation>| {
            let violations = run_seed(seed, mutation);
            violations.iter().any(|violation| violation.oracle == oracle)
        };
        let is_detected = |seed: u64| !is_violated(seed, None) && is_violated(seed, Some(mutation));

        let found = (first..first + MUTATION_SEEDS).any(is_detected);
        assert!(found, "no seed from {first} on shows the mutation {mutation:?}");
    }
}
