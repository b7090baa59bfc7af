//! A soak of the real balancer under seeded faults.
//!
//! Balancers run as processes on loopback addresses of their own. Everything around them is played by
//! threads of the soak: store, routers, callers, backend servers, and the relays through which balancers
//! reach each other and the store. Faults come from outside: signals to processes, relays that lose, delay,
//! reset and silence, a store that misbehaves. What callers and backend servers see is checked while the
//! run goes on.
//!
//! | module | contents |
//! |---|---|
//! | [`soak_run`], [`soak_options`], [`soak_report`] | one run |
//! | [`fault_kind`], [`fault_plan`] | what goes wrong, drawn from a seed |
//! | [`promise`], [`promise_checker`], [`site_truth`] | what is checked, against what is true |
//! | [`observation`] | what callers and backend servers see |
//! | [`soak_site`], [`site_plan`], [`balancer_process`] | threads, addresses, processes |
//! | [`site_store`], [`store_relay`] | the store, and connections to it |
//! | [`peer_relay`], [`link_table`] | messages between balancers, and what happens to datagrams |
//! | [`router_table`] | which balancer gets a packet |
//! | [`caller_load`] | callers |
//! | [`backend_servers`], [`backend_manner`], [`backend_places`] | backend servers |
//! | [`seed_list`] | seeds that once failed |
//! | [`control_cost`] | what control costs without callers |
//! | [`errors`] | why a run could not be played |

pub mod backend_manner;
pub mod backend_places;
pub mod backend_servers;
pub mod balancer_process;
pub mod caller_load;
pub mod control_cost;
pub mod errors;
pub mod fault_kind;
pub mod fault_plan;
pub mod link_table;
pub mod observation;
pub mod peer_relay;
pub mod promise;
pub mod promise_checker;
pub mod router_table;
pub mod seed_list;
pub mod site_plan;
pub mod site_store;
pub mod site_truth;
pub mod soak_options;
pub mod soak_report;
pub mod soak_run;
pub mod soak_site;
pub mod store_relay;

pub use errors::SoakError;
pub use fault_kind::FaultKind;
pub use promise::Promise;
pub use soak_options::{Sabotage, SoakOptions};
pub use soak_report::SoakReport;
pub use soak_run::run;
