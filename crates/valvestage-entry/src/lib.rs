//! The balancer of one entry VM on the users' platform.
//!
//! The decisions are in `valvestage-policy`, the platform's spelling is in `valvestage-platform`; here
//! are the sockets and threads around them.
//!
//! | module | contents |
//! |---|---|
//! | [`process`] | start and planned stop |
//! | [`data_thread`] | packets of callers, in and out |
//! | [`control_thread`] | store, readiness |
//! | [`store_tasks`] | calls to the store |
//! | [`peer_codec`] | messages between balancers as datagrams |
//! | [`http_server`] | HTTP on the control thread |
//! | [`ready_server`] | the routers' question whether this VM takes packets |
//! | [`decision_lines`], [`log_budget`] | decisions as log lines, so many a second |
//! | [`entry_metrics`], [`metrics_server`] | counters and histograms |
//! | [`settings_task`] | settings that change while the process runs |
//! | [`updates`] | what the control thread and the data thread tell each other |
//! | [`errors`] | the error type of this crate |

pub mod control_thread;
pub mod data_thread;
pub mod decision_lines;
pub mod entry_metrics;
pub mod errors;
pub mod http_server;
pub mod log_budget;
pub mod metrics_server;
pub mod peer_codec;
pub mod process;
pub mod ready_server;
pub mod settings_task;
pub mod store_tasks;
pub mod updates;

pub use errors::EntryError;
pub use process::EntryProcess;
