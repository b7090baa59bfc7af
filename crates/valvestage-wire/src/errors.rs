//! The error type of this crate.

use std::net::SocketAddr;

use thiserror::Error;

/// `WireError` tells at which step a message could not be read or written.
#[derive(Debug, Error)]
pub enum WireError {
    /// The datagram does not start with a PROXY protocol v2 header.
    #[error("envelope: header: {0}")]
    Header(String),
    /// The header does not carry a pair of internet addresses.
    #[error("envelope: addresses: not a pair of IPv4 or IPv6 addresses")]
    Addresses,
    /// A TLV is cut short, or its value has the wrong length or an unknown code.
    #[error("envelope: TLV {kind:#04x}: {problem}")]
    Tlv {
        /// Type of the TLV.
        kind: u8,
        /// What is wrong.
        problem: &'static str,
    },
    /// The datagram would be longer than [`crate::envelope::MAX_DATAGRAM`].
    #[error("envelope: {0} bytes are more than fit a datagram")]
    Oversized(usize),
    /// A connection to a peer failed.
    #[error("peer {peer}: {step}: {cause}")]
    Peer {
        /// The other side.
        peer: SocketAddr,
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        cause: String,
    },
    /// A key file cannot be used.
    #[error("key file {file}: {problem}")]
    KeyFile {
        /// Path of the file.
        file: String,
        /// What is wrong.
        problem: String,
    },
}

impl WireError {
    /// `tlv` builds the error for a bad TLV.
    pub(crate) fn tlv(kind: u8, problem: &'static str) -> Self {
        Self::Tlv { kind, problem }
    }

    /// `peer` builds the error for a failed step with a peer.
    pub fn peer(peer: SocketAddr, step: &'static str, cause: impl ToString) -> Self {
        Self::Peer { peer, step, cause: cause.to_string() }
    }
}
