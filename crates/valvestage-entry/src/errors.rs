//! The error type of this crate.

use std::io;
use std::net::SocketAddrV4;

use thiserror::Error;

/// `EntryError` tells which step of running the balancer failed.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be served.
    #[error("{step} on {address}: {cause}")]
    Socket {
        /// What was being done.
        step: &'static str,
        /// The address.
        address: SocketAddrV4,
        /// What the operating system said.
        cause: io::Error,
    },
    /// The process cannot be set up.
    #[error("{step}: {cause}")]
    Setup {
        /// What was being done.
        step: &'static str,
        /// What the operating system said.
        cause: io::Error,
    },
    /// Log lines cannot be written.
    #[error("{0}")]
    Log(valvestage_process::ProcessError),
}
