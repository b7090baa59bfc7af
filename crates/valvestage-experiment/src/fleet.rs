//! Simulation of a whole fleet of entry VMs in one process: the real policy with a small store, in
//! simulated time.
//!
//! The tables show what grows with the fleet. Processor time is that of the policy's calls on the
//! VM that runs the simulation; all other figures are deterministic.
//!
//! | module | contents |
//! |---|---|
//! | `store` | the part of the platform's store that balancers read |
//! | `simulation` | simulation of balancers, datagrams and calls |
//! | `usage` | resources that the balancers use over a span of time |
//! | `scenarios` | scenarios, and the time until all balancers know of a change |

mod scenarios;
pub mod simulation;
pub mod store;
pub mod usage;

use self::scenarios::ScenarioReport;
use crate::table::Table;

/// Number of backend servers per balancer.
const BACKENDS_PER_BALANCER: usize = 10;

/// Prints a table for each scenario, with a column for each fleet size and the growth exponent from
/// the first size to the last.
pub fn print_tables(sizes: &[usize], starts_only: bool) {
    let reports: Vec<_> = sizes
        .iter()
        .map(|size| scenarios::run_all(*size, size * BACKENDS_PER_BALANCER, starts_only))
        .collect();

    for scenario in 0..reports.first().map_or(0, Vec::len) {
        let of_scenario: Vec<_> = reports.iter().map(|report| &report[scenario]).collect();
        print_scenario(sizes, &of_scenario);
    }
}

fn print_scenario(sizes: &[usize], reports: &[&ScenarioReport]) {
    let [.., last] = reports else { return };
    let mut names = vec!["measure".to_owned()];
    names.extend(sizes.iter().map(|size| format!("{size} balancers")));
    names.push("exponent".to_owned());
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut table = Table::new(&names);

    for (row, (measure, _)) in last.rows.iter().enumerate() {
        let values: Vec<_> = reports.iter().map(|report| report.rows[row].1).collect();
        let mut cells = vec![(*measure).to_owned()];
        cells.extend(values.iter().map(|value| format_value(*value)));
        cells.push(growth_exponent(sizes, &values));
        table.add_row(&cells);
    }
    table.print(last.name);
}

/// Returns the power of the number of balancers with which a value grows from the first size to the
/// last, or a dash if there are fewer than two sizes or either value is not positive.
fn growth_exponent(sizes: &[usize], values: &[f64]) -> String {
    let (&[first_size, .., last_size], &[first, .., last]) = (sizes, values) else {
        return "-".to_owned();
    };
    if first <= 0.0 || last <= 0.0 {
        return "-".to_owned();
    }

    // Sizes are far below 2^53, so the conversion is exact.
    #[allow(clippy::cast_precision_loss)]
    let ratio = last_size as f64 / first_size as f64;
    format!("{:.2}", (last / first).ln() / ratio.ln())
}

fn format_value(value: f64) -> String {
    if value >= 100.0 { format!("{value:.0}") } else { format!("{value:.3}") }
}
