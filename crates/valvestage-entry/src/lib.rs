//! The balancer process of one entry VM.
//!
//! `valvestage-policy` makes the decisions and `valvestage-platform` implements the platform's
//! protocols. This crate provides the sockets and threads around them.
//!
//! | module | contents |
//! |---|---|
//! | [`process`] | start and graceful shutdown |
//! | [`data_thread`] | event loop for callers' packets and for messages between balancers |
//! | [`control_thread`] | store access, HTTP endpoints, settings and signals |
//! | [`store_tasks`] | requests to the store |
//! | [`peer_codec`] | encoding of messages between balancers |
//! | [`http_server`] | HTTP server on the control thread |
//! | [`ready_server`] | readiness endpoint for the routers |
//! | [`decision_log`], [`log_rate_limiter`] | rate-limited log of decisions |
//! | [`rejection_log`] | log lines for invalid values of configurations |
//! | [`entry_metrics`], [`metrics_server`] | metrics and their endpoint |
//! | [`settings_task`] | reload of the settings |
//! | [`updates`] | updates from the control thread to the data thread |
//! | [`errors`] | the error type of this crate |

pub mod control_thread;
pub mod data_thread;
pub mod decision_log;
pub mod entry_metrics;
pub mod errors;
pub mod http_server;
pub mod log_rate_limiter;
pub mod metrics_server;
pub mod peer_codec;
pub mod process;
pub mod ready_server;
pub mod rejection_log;
pub mod settings_task;
pub mod store_tasks;
pub mod updates;

pub use errors::EntryError;
pub use process::EntryProcess;
