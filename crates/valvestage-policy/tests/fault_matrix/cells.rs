//! The cells: which faults strike at which step, and with which seed.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::faults::Fault;
use crate::oracle::{Promise, Violation};
use crate::scenario::run_cell;
use crate::steps::Step;
use crate::switches::Switch;

/// Seeds of each single.
const SEEDS: u64 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// One fault.
    Single,
    /// Two faults, the second shortly after the first.
    Pair,
    /// The same fault again, shortly after the first has ended.
    Twice,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    pub part: Part,
    pub step: Step,
    pub first: Fault,
    pub second: Fault,
    pub seed: u64,
    /// A pair that shows what one mechanism is for.
    pub is_made_for_switch: bool,
}

#[derive(Debug, Clone)]
pub struct CellResult {
    pub cell: Cell,
    /// Whether the step came and the fault struck.
    pub is_reached: bool,
    pub violations: Vec<Violation>,
    /// Promises put to the test, with the number of checks.
    pub checked: Vec<(Promise, u64)>,
    pub events: u64,
    pub story: Vec<String>,
    /// Flows that echo the token and flows that don't: opened, broken.
    pub echoing: (u64, u64),
    pub silent: (u64, u64),
}

/// Steps at which pairs and repeats strike: the ones with the most at stake.
const PAIR_STEPS: [Step; 3] = [Step::RequestRunning, Step::DrainInForce, Step::StopOffered];

pub fn all_cells() -> Vec<Cell> {
    let mut cells = Vec::new();

    for first in Fault::ALL {
        for step in Step::ALL {
            for seed in 0..SEEDS {
                let second = Fault::Nothing;
                cells.push(Cell {
                    part: Part::Single,
                    step,
                    first,
                    second,
                    seed,
                    is_made_for_switch: false,
                });
            }
        }
    }

    let real = &Fault::ALL[1..];
    for (index, first) in real.iter().enumerate() {
        for second in &real[index + 1..] {
            for step in PAIR_STEPS {
                let is_made_for_switch =
                    (*first, *second) == (Fault::BalancerKilled, Fault::WatchLags);
                let cell = Cell {
                    part: Part::Pair,
                    step,
                    first: *first,
                    second: *second,
                    seed: 7,
                    is_made_for_switch,
                };
                cells.push(cell);
            }
        }
    }

    for first in real {
        for step in PAIR_STEPS {
            let cell = Cell {
                part: Part::Twice,
                step,
                first: *first,
                second: *first,
                seed: 11,
                is_made_for_switch: false,
            };
            cells.push(cell);
        }
    }
    cells
}

/// Runs cells on all processors; the order of the results is that of the cells.
pub fn run_cells(cells: &[Cell], switch: Switch) -> Vec<CellResult> {
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
                    *results[index].lock().unwrap() = Some(run_cell(*cell, switch));
                }
            });
        }
    });
    results.into_iter().map(|result| result.into_inner().unwrap().unwrap()).collect()
}
