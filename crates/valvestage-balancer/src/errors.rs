//! The error type of this crate.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use valvestage_process::ProcessError;
use valvestage_wire::WireError;

/// Reason why the balancer process cannot start or has to end.
#[derive(Debug, Error)]
pub enum BalancerError {
    /// A socket could not be opened or configured.
    #[error("cannot {step} {address}: {cause}")]
    Socket {
        /// The failed operation, worded so that it fits between "cannot" and the address.
        step: &'static str,
        /// The local address.
        address: SocketAddr,
        /// Error returned by the operating system.
        cause: io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start thread {name}: {cause}")]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error returned by the operating system.
        cause: io::Error,
    },
    /// The peer key file cannot be read or holds no valid key.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A token file cannot be read, or the logger cannot be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
}

impl BalancerError {
    /// Returns a closure that adds the operation and the local address to an I/O error.
    pub(crate) fn socket(
        step: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Socket { step, address, cause }
    }
}
