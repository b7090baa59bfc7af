//! The control thread: an actix system with one task for each duty.
//!
//! | module | duty |
//! |---|---|
//! | [`control_state`] | what the tasks share |
//! | `step_task` | carrying out what the control policy says |
//! | `watch_task` | reading the platform, on the balancers chosen for it |
//! | `bindings_task` | copying flows that do not follow from the configuration |
//! | `peer_server` | answering peers |
//! | `peer_clients` | connections to peers |
//! | `admin_server` | metrics, health, status, decisions |
//! | `stop_task` | the planned stop |

mod admin_server;
mod bindings_task;
mod control_state;
mod control_system;
mod peer_clients;
mod peer_server;
mod platform_driver;
mod step_task;
mod stop_task;
mod watch_task;

pub use control_state::ControlState;
pub use control_system::{ControlInputs, run};
