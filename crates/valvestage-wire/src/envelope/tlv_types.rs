//! Types of the TLVs, and the layout of their values (integers in network byte order).

/// Request id (`PP2_TYPE_UNIQUE_ID`), 16 bytes.
pub const REQUEST_ID: u8 = 0x05;
/// Packet kind, 1 byte.
pub const KIND: u8 = 0xe0;
/// Deadline, 8 bytes, Unix milliseconds.
pub const DEADLINE: u8 = 0xe1;
/// Request attributes, 1 byte: bit 0 repeatable, bits 1 to 7 class.
pub const ATTRIBUTES: u8 = 0xe2;
/// Flow token, [`valvestage_policy::flows::TOKEN_BYTES`] bytes.
pub const TOKEN: u8 = 0xe3;
/// Time after which to retry, 4 bytes, milliseconds.
pub const RETRY_AFTER: u8 = 0xe4;
/// Load report: busy slots, 2 bytes; open flows, 2 bytes.
pub const LOAD: u8 = 0xe5;
/// Target: service, 2 bytes; backend server, 4 bytes; incarnation, 4 bytes.
pub const TARGET: u8 = 0xe6;
/// Number of the attempt, 2 bytes.
pub const ATTEMPT: u8 = 0xe7;
/// Relay header: count, 1 byte; purpose, 1 byte; view epoch, 8 bytes.
pub const HOP: u8 = 0xe8;
/// Refusal: outcome, 1 byte; reason, 1 byte.
pub const REFUSAL: u8 = 0xe9;
/// Segment: index, 2 bytes; count, 2 bytes.
pub const SEGMENT: u8 = 0xea;
/// Binding: flow key, 8 bytes; backend server, 4 bytes.
pub const BINDING: u8 = 0xeb;
