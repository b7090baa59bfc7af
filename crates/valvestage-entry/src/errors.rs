//! The error type of this crate.

use std::io;
use std::net::SocketAddrV4;

use thiserror::Error;

/// Error at the start or during the run of the balancer, with the step that failed.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A socket could not be bound to an address of the settings.
    #[error("{step} on {address}: {cause}")]
    Socket {
        /// The step that failed, such as `bind data socket`.
        step: &'static str,
        /// Address of the socket.
        address: SocketAddrV4,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// Another step of the start or of the run failed.
    #[error("{step}: {cause}")]
    Setup {
        /// The step that failed, such as `register sockets`.
        step: &'static str,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The log could not be started.
    #[error("{0}")]
    Log(valvestage_process::ProcessError),
}
