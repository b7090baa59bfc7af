//! The header that precedes the opaque payload of each datagram.
//!
//! It is a PROXY protocol v2 header (crate `ppp`). The addresses are those of the caller and of the
//! service, in this order in both directions. The attributes are TLVs: `PP2_TYPE_UNIQUE_ID` for the
//! request id, and types of the range that the specification reserves for applications (section
//! 2.2.7, `PP2_TYPE_MIN_CUSTOM` 0xE0 to `PP2_TYPE_MAX_CUSTOM` 0xEF) for the others.

mod decode;
mod encode;
mod header;
mod tlv_types;

pub use decode::decode;
pub use encode::encode;
pub use header::{Envelope, Header, Target};

/// Maximum length of a datagram, in bytes: with IPv6 and UDP headers it fits in one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1_452;

/// Maximum length of a payload, in bytes; the header with all TLVs fits in the rest of a datagram.
pub const MAX_PAYLOAD: usize = 1_200;
