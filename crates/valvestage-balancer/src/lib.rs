//! The balancer process: the data path and the control thread of one entry VM.
//!
//! | module | responsibility |
//! |---|---|
//! | [`data_path`] | handling of datagrams, without access to a socket or a clock |
//! | [`threads`] | the receive, decide and send threads, connected by bounded rings |
//! | [`control`] | heartbeats, platform calls, leases, service owners, admin server |
//! | [`commands`] | commands and queries from control to the decide thread |
//! | [`metrics`] | counters and gauges |
//! | [`process`] | the life cycle of the process: starting, serving, stopped |
//! | [`errors`] | the error type of this crate |

pub mod commands;
pub mod control;
pub mod data_path;
pub mod errors;
pub mod metrics;
pub mod process;
pub mod threads;
