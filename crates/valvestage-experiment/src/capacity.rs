//! Slopes of state, messages and processor time, for docs/CAPACITY.md.

mod claim_slope;
mod configuration_slope;
mod flow_slope;
mod gossip_slope;

pub use flow_slope::full_director;

/// Prints all tables.
pub fn print_tables() {
    // First what is measured by the growth of the process.
    claim_slope::print_table();
    gossip_slope::print_table();
    flow_slope::print_table();
    configuration_slope::print_tables();
}
