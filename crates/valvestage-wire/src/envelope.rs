//! The header before each datagram's opaque payload.
//!
//! It is a PROXY protocol v2 header (crate `ppp`): the addresses are those of the caller and of
//! the service, in this order in both directions, and the attributes are TLVs of the range that
//! the specification leaves to applications (section 2.2.7, `PP2_TYPE_MIN_CUSTOM` 0xE0 to
//! `PP2_TYPE_MAX_CUSTOM` 0xEF) besides `PP2_TYPE_UNIQUE_ID` for the request id.

mod decode;
mod encode;
mod header;
mod tlv_types;

pub use decode::decode;
pub use encode::encode;
pub use header::{Envelope, Header, Target};

/// Longest datagram: it fits an Ethernet frame with IPv6 and UDP headers.
pub const MAX_DATAGRAM: usize = 1_452;

/// Longest payload; the header with all TLVs takes less than the rest.
pub const MAX_PAYLOAD: usize = 1_200;
