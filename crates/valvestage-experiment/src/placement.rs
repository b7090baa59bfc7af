//! Strategies for placing flows when each balancer knows only its own flows.

mod model;
mod placement_strategy;

use crate::table::Table;

use model::{PlacementLoad, PlacementMeasures, ideal_p99_ms, run};
use placement_strategy::PlacementStrategy;

/// Deployments to compare: a small one of the present size, an intermediate one, and a large one
/// with three and with five availability zones.
const SIZES: [PlacementSize; 4] = [
    PlacementSize { balancers: 8, zones: 4, backends: 16, slots: 2 },
    PlacementSize { balancers: 30, zones: 3, backends: 45, slots: 2 },
    PlacementSize { balancers: 90, zones: 3, backends: 120, slots: 2 },
    PlacementSize { balancers: 90, zones: 5, backends: 120, slots: 2 },
];

/// Shares of all slots that are busy on average, one for each run.
const SHARES: [f64; 3] = [0.3, 0.5, 0.8];

/// Size of a deployment, whose balancers and backend servers are spread evenly over its zones.
#[derive(Debug, Clone, Copy)]
pub struct PlacementSize {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of backend servers of the service.
    pub backends: usize,
    /// Requests that each backend server processes concurrently.
    pub slots: usize,
}

/// Prints a table for each deployment size.
pub fn print_tables() {
    for size in SIZES {
        let mut table = Table::new(&[
            "way",
            "p99 30%",
            "p99 50%",
            "p99 80%",
            "waited 50%",
            "waited 80%",
            "imbalance 1 s at 50%",
        ]);
        for strategy in PlacementStrategy::ALL {
            table.add_row(&table_row(&size, strategy));
        }
        table.print(&format!(
            "{} balancers in {} availability zones, {} backend servers with {} slots",
            size.balancers, size.zones, size.backends, size.slots
        ));
    }
}

fn table_row(size: &PlacementSize, strategy: PlacementStrategy) -> Vec<String> {
    let runs: Vec<(PlacementMeasures, f64)> = SHARES
        .iter()
        .map(|share| {
            let load = PlacementLoad { share: *share, seed: 42 };
            (run(size, strategy, load), ideal_p99_ms(size, load))
        })
        .collect();

    let mut cells = vec![strategy.label().to_owned()];
    cells.extend(runs.iter().map(|(measures, ideal)| format!("{:.2}", measures.p99_ms / ideal)));
    cells.extend(runs[1..].iter().map(|(measures, _)| format!("{:.3}", measures.waited)));
    cells.push(format!("{:.2}", runs[1].0.imbalance));
    cells
}
