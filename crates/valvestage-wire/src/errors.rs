//! The error type of this crate.

use std::net::SocketAddr;

use thiserror::Error;

/// Error of encoding, decoding or transporting a message.
#[derive(Debug, Error)]
pub enum WireError {
    /// The PROXY protocol v2 header of a datagram is missing or invalid, or cannot be encoded.
    #[error("envelope: header: {0}")]
    Header(String),
    /// The header does not contain a pair of IPv4 or IPv6 addresses.
    #[error("envelope: addresses: not a pair of IPv4 or IPv6 addresses")]
    Addresses,
    /// The value of a TLV has the wrong length, an unknown code, or a number out of range.
    #[error("envelope: TLV {kind:#04x}: {problem}")]
    Tlv {
        /// Type of the TLV.
        kind: u8,
        /// Description of the fault.
        problem: &'static str,
    },
    /// The datagram is longer than [`crate::envelope::MAX_DATAGRAM`].
    #[error("envelope: {0} bytes exceed the maximum datagram length")]
    Oversized(usize),
    /// A connection or a call to a peer failed.
    #[error("peer {peer}: {step}: {cause}")]
    Peer {
        /// Address of the peer.
        peer: SocketAddr,
        /// Step that failed.
        step: &'static str,
        /// Underlying error.
        cause: String,
    },
    /// A key file cannot be read or its key is too short.
    #[error("key file {file}: {problem}")]
    KeyFile {
        /// Path of the file.
        file: String,
        /// Description of the fault.
        problem: String,
    },
}

impl WireError {
    /// Returns the error for an invalid TLV.
    pub(crate) fn tlv(kind: u8, problem: &'static str) -> Self {
        Self::Tlv { kind, problem }
    }

    /// Returns the error for a failed step of a connection to a peer.
    pub fn peer(peer: SocketAddr, step: &'static str, cause: impl ToString) -> Self {
        Self::Peer { peer, step, cause: cause.to_string() }
    }
}
