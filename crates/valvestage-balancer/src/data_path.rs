//! Handling of datagrams: turns each received datagram into the datagrams to send.
//!
//! This module opens no socket and reads no clock: the decide thread, tests and benchmarks pass in
//! the time and the datagrams.

mod backend_packets;
mod caller_packets;
mod data_handler;
mod datagrams;
mod origin;
mod request_actions;

pub use data_handler::{DataHandler, DataOptions};
pub use datagrams::{Inbound, Outbound};
pub use origin::Origin;
