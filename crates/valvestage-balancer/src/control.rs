//! The control thread: an actix system with one task for each duty.
//!
//! | module | duty |
//! |---|---|
//! | [`control_state`] | what the tasks share |
//! | `heartbeat_task` | gossip with peers, live view, fetching newer objects |
//! | `watch_task` | reading the platform, on the balancers chosen for it |
//! | `lease_task` | the lease of this balancer |
//! | `owner_task` | giving services to owners |
//! | `bindings_task` | copying flows that do not follow from the configuration |
//! | `peer_server` | answering peers |
//! | `peer_clients` | connections to peers |
//! | `admin_server` | metrics, health, status, decisions |
//! | `stop_task` | the planned stop |

mod admin_server;
mod bindings_task;
mod control_state;
mod control_system;
mod heartbeat_task;
mod lease_task;
mod owner_task;
mod peer_clients;
mod peer_server;
mod platform_driver;
mod stop_task;
mod watch_task;

pub use control_state::{ControlOptions, ControlState};
pub use control_system::{ControlInputs, run};
