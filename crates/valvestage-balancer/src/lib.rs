//! One balancer: the data path and the control of one entry VM.
//!
//! | module | duty |
//! |---|---|
//! | [`data_path`] | datagrams in, datagrams out; no socket, no clock |
//! | [`threads`] | the receive, decide and send threads, joined by bounded rings |
//! | [`control`] | heartbeats, platform, leases, owners, admin address |
//! | [`commands`] | what control tells the decide thread |
//! | [`metrics`] | counters and gauges |
//! | [`process`] | the life cycle: starting, serving, stopping |
//! | [`errors`] | the error type of this crate |

pub mod commands;
pub mod control;
pub mod data_path;
pub mod errors;
pub mod metrics;
pub mod process;
pub mod threads;
