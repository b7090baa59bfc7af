//! Strategies for keeping flows on their backend servers during changes.

mod change;
mod flow_model;
mod flow_strategy;
mod hot_keys;

use crate::table::Table;

use change::Change;
use flow_model::run;
use flow_strategy::FlowStrategy;

/// Prints the broken flows of each strategy under each change, and the trial with hot keys.
pub fn print_tables() {
    let mut names = vec!["change"];
    names.extend(FlowStrategy::ALL.iter().map(|strategy| strategy.label()));
    let mut table = Table::new(&names);

    for change in Change::ALL {
        let mut cells = vec![change.label().to_owned()];
        for strategy in FlowStrategy::ALL {
            let outcome = run(strategy, change);
            cells.push(format!("{:.1}", outcome.broken_per_10_000()));
        }
        table.add_row(&cells);
    }
    table.print("Broken flows per 10,000 (14 backend servers, 8 balancers, 20,000 flows)");

    hot_keys::print_table();
}
