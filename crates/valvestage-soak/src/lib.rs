//! A soak test of the real balancer under seeded fault injection.
//!
//! Balancers run as processes, each on a loopback address of its own. Threads of the soak test
//! simulate everything around them: the store, routers, callers, backend servers, and the relays
//! through which balancers reach each other and the store. Faults are injected from outside:
//! signals to processes, relays that drop, delay, reset or black-hole traffic, and a store that
//! misbehaves. What callers and backend servers observe is checked while the run is in progress.
//!
//! | module | contents |
//! |---|---|
//! | [`soak_run`], [`soak_options`], [`soak_report`] | one run: its course, options and report |
//! | [`fault_kind`], [`fault_plan`] | the injected faults, drawn from a seed |
//! | [`promise`], [`promise_checker`], [`ground_truth`] | promises, their checks, and the ground truth |
//! | [`observation`] | events that callers and backend servers observe |
//! | [`soak_site`], [`site_plan`], [`held_port`], [`balancer_process`] | threads, addresses, ports, processes |
//! | [`site_store`], [`store_relay`] | the store, and connections to it |
//! | [`peer_relay`], [`link_table`] | messages between balancers, and faults on datagram links |
//! | [`router_table`] | health checks of balancers, and the choice of a balancer for each flow |
//! | [`caller_load`] | the load that callers generate |
//! | [`backend_servers`], [`backend_behaviour`], [`backend_places`], [`slot_schedule`] | simulated backend servers |
//! | [`seed_list`] | seeds of known failures, replayed as regression tests |
//! | [`control_cost`] | resource cost of the control plane without callers |
//! | [`errors`] | errors that keep a run from completing |

pub mod backend_behaviour;
pub mod backend_places;
pub mod backend_servers;
pub mod balancer_process;
pub mod caller_load;
pub mod control_cost;
pub mod errors;
pub mod fault_kind;
pub mod fault_plan;
pub mod ground_truth;
pub mod held_port;
pub mod link_table;
pub mod observation;
pub mod peer_relay;
pub mod promise;
pub mod promise_checker;
pub mod router_table;
pub mod seed_list;
pub mod site_plan;
pub mod site_store;
pub mod slot_schedule;
pub mod soak_options;
pub mod soak_report;
pub mod soak_run;
pub mod soak_site;
pub mod store_relay;

pub use errors::SoakError;
pub use fault_kind::FaultKind;
pub use promise::Promise;
pub use soak_options::{InjectedDefect, SoakOptions};
pub use soak_report::SoakReport;
pub use soak_run::run;
