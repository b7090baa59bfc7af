//! Growth of state, messages and processor time with load and deployment size, for
//! docs/CAPACITY.md.

mod claim_slope;
mod configuration_slope;
mod flow_slope;
mod gossip_slope;

pub use flow_slope::director_with_flows;

/// Prints the tables of claims, heartbeats, flows, configuration and owner map.
pub fn print_tables() {
    // Claims come first: they are measured by the growth of resident memory, which memory that
    // earlier measurements have freed would hide.
    claim_slope::print_table();
    gossip_slope::print_table();
    flow_slope::print_table();
    configuration_slope::print_tables();
}
