//! Fault plans are a function of the seed, fit into the run and cover all kinds.

use std::time::Duration;

use valvestage_soak::FaultKind;
use valvestage_soak::fault_plan::plan;

const LENGTH: Duration = Duration::from_secs(60);

#[test]
fn the_same_seed_gives_the_same_faults() {
    for seed in 0..50 {
        assert_eq!(plan(seed, LENGTH, &FaultKind::ALL), plan(seed, LENGTH, &FaultKind::ALL));
    }
}

#[test]
fn faults_end_within_the_run_and_are_ordered() {
    for seed in 0..50 {
        let faults = plan(seed, LENGTH, &FaultKind::ALL);

        assert!(faults.iter().all(|fault| fault.at + fault.lasts < LENGTH));
        assert!(faults.is_sorted_by_key(|fault| fault.at));
    }
}

#[test]
fn every_kind_occurs_and_some_faults_overlap() {
    let faults: Vec<_> = (0..50).map(|seed| plan(seed, LENGTH, &FaultKind::ALL)).collect();

    for kind in FaultKind::ALL {
        assert!(faults.iter().flatten().any(|fault| fault.kind == kind), "{kind:?}");
    }
    let overlaps = |faults: &Vec<valvestage_soak::fault_plan::PlannedFault>| {
        faults.windows(2).any(|pair| pair[1].at < pair[0].at + pair[0].lasts)
    };
    assert!(faults.iter().any(overlaps));
}
