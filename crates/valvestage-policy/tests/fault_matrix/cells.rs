//! Cells of the matrix: each combines faults, the step at which they are injected, and a seed.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::ablations::Ablation;
use crate::faults::Fault;
use crate::oracle::{Promise, Violation};
use crate::scenario::run_cell;
use crate::steps::Step;

/// Number of seeds with which each cell of one fault runs.
const SINGLE_FAULT_SEEDS: u64 = 2;

/// How many faults a cell injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CellKind {
    /// One fault.
    Single,
    /// Two different faults, the second 300 to 900 ms after the first.
    Pair,
    /// The same fault twice, the second time 500 ms after the first has ended.
    Twice,
}

/// One simulation run of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    pub kind: CellKind,
    pub step: Step,
    pub first: Fault,
    pub second: Fault,
    pub seed: u64,
    /// Whether the cell is a pair that is also run with each mechanism disabled in turn.
    pub is_ablation_case: bool,
}

/// What a run of a cell showed.
#[derive(Debug, Clone)]
pub struct CellResult {
    pub cell: Cell,
    /// Whether the step was reached, so that the fault was injected.
    pub is_reached: bool,
    pub violations: Vec<Violation>,
    /// Promises that the run checked, with the number of checks.
    pub checked: Vec<(Promise, u64)>,
    /// Number of simulation events.
    pub events: u64,
    /// Lines with the time and the text of each event worth reporting.
    pub event_log: Vec<String>,
    /// Flows that echo the token: opened, broken.
    pub echoing: (u64, u64),
    /// Flows that don't echo the token: opened, broken.
    pub not_echoing: (u64, u64),
}

/// Steps at which pairs and repeated faults are injected: a running request, a drain and the
/// handover of a planned stop are where a fault can do the most harm.
const PAIR_STEPS: [Step; 3] = [Step::RequestRunning, Step::DrainInForce, Step::StopOffered];

pub fn all_cells() -> Vec<Cell> {
    let mut cells = Vec::new();

    for first in Fault::ALL {
        for step in Step::ALL {
            for seed in 0..SINGLE_FAULT_SEEDS {
                let second = Fault::None;
                cells.push(Cell {
                    kind: CellKind::Single,
                    step,
                    first,
                    second,
                    seed,
                    is_ablation_case: false,
                });
            }
        }
    }

    let real_faults = &Fault::ALL[1..];
    for (index, first) in real_faults.iter().enumerate() {
        for second in &real_faults[index + 1..] {
            for step in PAIR_STEPS {
                let is_ablation_case =
                    (*first, *second) == (Fault::BalancerKilled, Fault::WatchLags);
                let cell = Cell {
                    kind: CellKind::Pair,
                    step,
                    first: *first,
                    second: *second,
                    seed: 7,
                    is_ablation_case,
                };
                cells.push(cell);
            }
        }
    }

    for first in real_faults {
        for step in PAIR_STEPS {
            let cell = Cell {
                kind: CellKind::Twice,
                step,
                first: *first,
                second: *first,
                seed: 11,
                is_ablation_case: false,
            };
            cells.push(cell);
        }
    }
    cells
}

/// Runs cells on all processors and returns the results in the order of the cells.
pub fn run_cells(cells: &[Cell], ablation: Ablation) -> Vec<CellResult> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<CellResult>>> = cells.iter().map(|_| Mutex::new(None)).collect();
    let threads = thread::available_parallelism().map_or(4, usize::from);

    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(cell) = cells.get(index) else {
                        return;
                    };
                    *results[index].lock().unwrap() = Some(run_cell(*cell, ablation));
                }
            });
        }
    });
    results.into_iter().map(|result| result.into_inner().unwrap().unwrap()).collect()
}
