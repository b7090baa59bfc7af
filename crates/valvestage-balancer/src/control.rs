//! The control thread: an actix system that runs one task for each responsibility.
//!
//! | module | responsibility |
//! |---|---|
//! | [`control_state`] | state shared by the tasks |
//! | `step_task` | executing the actions of the control policy |
//! | `watch_task` | watching the platform, on the balancers selected for it |
//! | `bindings_task` | copying bindings that do not follow from the configuration |
//! | `peer_server` | answering calls of peers |
//! | `peer_clients` | connections to peers |
//! | `platform_driver` | platform calls, with metrics and logs |
//! | `admin_server` | metrics, health, status and decisions over HTTP |
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
