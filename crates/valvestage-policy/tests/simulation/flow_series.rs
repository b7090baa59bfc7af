//! The series with flows that rest for up to 14 s, one test each, and their mutations.

use crate::fault::{
    BROKEN_ENTRY_SEEDS, CALLER_LOSS_SEEDS, FEW_FLOW_SEEDS, JOIN_SEEDS, LATE_PROCESSOR_SEEDS,
    NEW_ROUTE_SEEDS, RESTING_FLOW_SEEDS, STALE_SEED_SEEDS, UPLINK_LOSS_SEEDS,
};
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

/// Guards against a reset by a balancer that has just joined and does not know the newest routes.
#[test]
fn no_seed_with_callers_on_new_routes_violates_anything() {
    assert_series_holds(NEW_ROUTE_SEEDS);
}

/// Guards against taking an entry that another writer left with a broken field for the end of the
/// backend server, or for another process.
#[test]
fn no_seed_with_a_broken_field_in_an_entry_violates_anything() {
    assert_series_holds(BROKEN_ENTRY_SEEDS);
}

/// Guards against taking what waits while a balancer gets no processor time for silence.
#[test]
fn no_seed_with_processor_time_that_comes_late_violates_anything() {
    assert_series_holds(LATE_PROCESSOR_SEEDS);
}

/// Guards against decisions of a balancer that reaches nobody when it starts.
#[test]
fn no_seed_with_joins_after_the_seeds_have_left_violates_anything() {
    assert_series_holds(JOIN_SEEDS);
}

/// Guards against taking the silence of a service that gets few requests for a fault.
#[test]
fn no_seed_with_few_flows_violates_anything() {
    assert_series_holds(FEW_FLOW_SEEDS);
}

/// Guards against balancers that join and are never heard by the others.
#[test]
fn no_seed_with_seeds_that_stay_stale_violates_anything() {
    assert_series_holds(STALE_SEED_SEEDS);
}

/// Guards against taking what the own link of a balancer loses for the silence of backend servers.
#[test]
fn no_seed_with_losses_of_what_balancers_send_violates_anything() {
    assert_series_holds(UPLINK_LOSS_SEEDS);
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
