//! Datagrams in, datagrams out.
//!
//! Nothing here opens a socket or reads a clock: the decide thread, tests and benches call it
//! with the time and the datagrams.

mod backend_packets;
mod caller_packets;
mod data_handler;
mod datagrams;
mod origin;
mod request_actions;

pub use data_handler::{DataHandler, DataOptions};
pub use datagrams::{Inbound, Outbound};
pub use origin::Origin;
