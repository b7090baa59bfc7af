//! Fault matrix: injects every fault at every step and checks each promise of the system.
//!
//! The tests run the production policies of the balancers in a discrete-event simulation with fakes
//! of the platform, the backend servers and the callers. The seed determines each run completely.
//!
//! `cargo test -p valvestage-policy --test fault_matrix -- --nocapture` prints the tables; with
//! `UPDATE_DOCS=1` in the environment it also writes docs/FAULT-MATRIX.md.

mod ablations;
mod backend;
mod caller;
mod cells;
mod checks;
mod fault_injection;
mod faults;
mod network;
mod node;
mod operator;
mod oracle;
mod platform;
mod report;
mod scenario;
mod steps;
mod world;

use std::sync::OnceLock;

use ablations::{Ablation, AblationRow};
use cells::{CellKind, CellResult, all_cells, run_cells};

/// Returns the results of all cells under the production policy, which run once for all tests.
fn results() -> &'static [CellResult] {
    static RESULTS: OnceLock<Vec<CellResult>> = OnceLock::new();

    RESULTS.get_or_init(|| run_cells(&all_cells(), Ablation::None))
}

/// Returns the results with each mechanism disabled in turn, which are run once for all tests.
fn ablation_rows() -> &'static [AblationRow] {
    static ROWS: OnceLock<Vec<AblationRow>> = OnceLock::new();

    ROWS.get_or_init(ablations::run_ablations)
}

fn assert_no_violation(kind: CellKind) {
    let of_kind: Vec<_> = results().iter().filter(|result| result.cell.kind == kind).collect();
    let failed: Vec<_> = of_kind.iter().filter(|result| !result.violations.is_empty()).collect();

    for result in &failed {
        println!("{}", report::describe_failure(result));
    }
    assert!(!of_kind.is_empty());
    assert!(failed.is_empty(), "{} of {} cells failed", failed.len(), of_kind.len());
}

#[test]
fn every_fault_at_every_step_keeps_every_promise() {
    assert_no_violation(CellKind::Single);
}

#[test]
fn every_pair_of_faults_keeps_every_promise() {
    assert_no_violation(CellKind::Pair);
}

#[test]
fn every_fault_twice_keeps_every_promise() {
    assert_no_violation(CellKind::Twice);
}

#[test]
fn each_mechanism_is_needed() {
    println!("{}", report::ablation_table(ablation_rows()));

    for row in ablation_rows() {
        assert!(
            !row.failed.is_empty(),
            "no cell fails without the mechanism: {}",
            row.ablation.label()
        );
    }
}

#[test]
fn the_page_is_current() {
    let page = report::page(results(), ablation_rows());
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/FAULT-MATRIX.md");

    println!("{}", report::promise_table(results()));
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(path, &page).unwrap();
    }
    let written = std::fs::read_to_string(path).unwrap();
    assert!(written == page, "docs/FAULT-MATRIX.md is not current: run with UPDATE_DOCS=1");
}

#[test]
fn a_cell_gives_the_same_verdict_each_time() {
    let cells: Vec<_> = all_cells().into_iter().step_by(40).collect();

    let first = run_cells(&cells, Ablation::None);
    let second = run_cells(&cells, Ablation::None);
    assert!(
        first
            .iter()
            .zip(&second)
            .all(|(a, b)| a.events == b.events && a.violations == b.violations)
    );
}
