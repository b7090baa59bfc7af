//! The error type of this crate.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use valvestage_process::ProcessError;
use valvestage_wire::WireError;

/// `BalancerError` tells why the balancer cannot start or go on.
#[derive(Debug, Error)]
pub enum BalancerError {
    /// A socket could not be opened or used.
    #[error("{step} {address}: {cause}")]
    Socket {
        /// What was being done.
        step: &'static str,
        /// The local address.
        address: SocketAddr,
        /// What the operating system said.
        cause: io::Error,
    },
    /// A thread could not be started.
    #[error("start thread {name}: {cause}")]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// What the operating system said.
        cause: io::Error,
    },
    /// A key file cannot be used.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A token file cannot be used, or the logger cannot start.
    #[error(transparent)]
    Process(#[from] ProcessError),
}

impl BalancerError {
    /// `socket` builds the error for a failed step with a local address.
    pub(crate) fn socket(
        step: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Socket { step, address, cause }
    }
}
