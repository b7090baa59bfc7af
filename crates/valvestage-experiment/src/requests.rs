//! Strategies for spreading requests over slots.

mod dispatch_strategy;
mod event_queue;
mod ideal;
mod measures;
mod model;
mod model_event;
mod model_faults;
mod model_occupancy;
mod model_server;
mod scenario;

use std::time::Duration;

use crate::deployment::SIZES;
use crate::table::Table;

use dispatch_strategy::DispatchStrategy;
use measures::Measures;
use model::{Load, run};
use scenario::Scenario;

const SEED: u64 = 42;

/// Number of requests in each run, without retries.
const REQUESTS_PER_RUN: usize = 60_000;

/// Share of bulk requests in runs with both classes.
const BULK_SHARE: f64 = 0.3;

/// Time to the deadline in runs that are meant to have no refusals.
const LONG_DEADLINE: Duration = Duration::from_secs(9);

/// Prints the tables for steady load, faults and overload.
pub fn print_tables() {
    print_steady_load();
    print_faults();
    print_overload();
}

fn mixed_load(share: f64, time_to_deadline: Duration) -> Load {
    Load { share, requests: REQUESTS_PER_RUN, time_to_deadline, bulk_share: BULK_SHARE, seed: SEED }
}

/// Returns a load of urgent requests only, which are served in order of arrival as in the ideal
/// queue.
fn urgent_only_load(share: f64) -> Load {
    Load { bulk_share: 0.0, ..mixed_load(share, LONG_DEADLINE) }
}

/// Compares all strategies with one ideal shared queue, at 50, 80 and 95% of the slots.
fn print_steady_load() {
    for size in &SIZES {
        let mut table = Table::new(&[
            "way",
            "p50 50%",
            "p99 50%",
            "p50 80%",
            "p99 80%",
            "p50 95%",
            "p99 95%",
            "shed 95%",
            "retries per try 95%",
            "refused 95%",
            "imbalance 100 ms / 1 s at 80%",
        ]);

        for strategy in DispatchStrategy::ALL {
            let mut cells = vec![strategy.label().to_owned()];
            let mut at_80 = Measures::default();
            let mut at_95 = Measures::default();
            for share in [0.5, 0.8, 0.95] {
                let ideal =
                    run(size, DispatchStrategy::Ideal, Scenario::Steady, urgent_only_load(share));
                let measured = run(size, strategy, Scenario::Steady, urgent_only_load(share));
                cells.push(ratio(measured.percentile(0.5), ideal.percentile(0.5)));
                cells.push(ratio(measured.percentile(0.99), ideal.percentile(0.99)));
                if share > 0.9 {
                    at_95 = measured;
                } else if share > 0.7 {
                    at_80 = measured;
                }
            }
            cells.push(at_95.shed.to_string());
            cells.push(format!("{:.4}", at_95.retries_per_try()));
            cells.push(at_95.refusals());
            cells.push(format!("{:.2} / {:.2}", at_80.imbalance_100ms(), at_80.imbalance_1s()));
            table.add_row(&cells);
        }
        table.print(&format!(
            "{}: {} backend servers with {} slots, times over one ideal shared queue",
            size.name, size.backends, size.slots
        ));
    }
}

/// Compares the chosen strategy with the local baselines under faults, at 80% of the slots.
fn print_faults() {
    for size in [&SIZES[0], &SIZES[2]] {
        let mut table = Table::new(&[
            "fault",
            "way",
            "answered",
            "p50 ms",
            "p99 ms",
            "shed",
            "retries per try",
            "refused or in doubt",
            "imbalance 1 s",
        ]);

        for scenario in Scenario::FAULTS {
            for strategy in [
                DispatchStrategy::Owner,
                DispatchStrategy::LocalTwoChoices,
                DispatchStrategy::LocalRandom,
            ] {
                let measured =
                    run(size, strategy, scenario, mixed_load(0.8, Duration::from_secs(5)));
                table.add_row(&[
                    scenario.label().to_owned(),
                    strategy.label().to_owned(),
                    format!("{:.2}%", measured.answered_percent()),
                    format!("{:.1}", measured.percentile(0.5)),
                    format!("{:.1}", measured.percentile(0.99)),
                    measured.shed.to_string(),
                    format!("{:.4}", measured.retries_per_try()),
                    measured.refusals(),
                    format!("{:.2}", measured.imbalance_1s()),
                ]);
            }
        }
        table.print(&format!("{} at 80% of slots under faults", size.name));
    }
}

/// Shows goodput and both request classes at and beyond capacity.
fn print_overload() {
    for size in [&SIZES[0], &SIZES[2]] {
        let mut table = Table::new(&[
            "load",
            "goodput over capacity",
            "urgent answered",
            "urgent p99 ms",
            "bulk answered",
            "bulk p99 ms",
            "retries per try",
            "refused",
        ]);

        for share in [1.0, 1.5, 3.0] {
            let measured = run(
                size,
                DispatchStrategy::Owner,
                Scenario::Steady,
                mixed_load(share, Duration::from_secs(2)),
            );
            let (urgent, bulk) = (measured.class(false), measured.class(true));
            table.add_row(&[
                format!("{share}x"),
                format!("{:.3}", measured.goodput_over_capacity()),
                format!("{:.1}%", urgent.answered_percent),
                format!("{:.0}", urgent.p99_ms),
                format!("{:.1}%", bulk.answered_percent),
                format!("{:.0}", bulk.p99_ms),
                format!("{:.4}", measured.retries_per_try()),
                measured.refusals(),
            ]);
        }
        table.print(&format!("{}: overload with a patience of 2 s, 30% bulk", size.name));
    }
}

fn ratio(measured: f64, ideal: f64) -> String {
    format!("{:.2}", measured / ideal)
}
