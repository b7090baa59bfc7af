//! Stand-in for the fabric, which sprays packets over the balancers.

mod fabric_options;
mod ready_list;
mod spray;

pub use fabric_options::{FabricOptions, SprayFaults};
pub use ready_list::{ReadyList, poll_readiness};
pub use spray::{FabricCounts, run};
