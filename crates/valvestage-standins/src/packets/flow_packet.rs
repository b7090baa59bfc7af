//! Encoding of packets by the two ends of a flow.
//!
//! Only the two ends know the key of the checksum, so they detect whatever a balancer changes in a
//! packet.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use siphasher::sip::SipHasher13;
use valvestage_platform::packet::HEADER_BYTES;
use valvestage_policy::steering::FlowAddresses;

/// Bits of the first byte of a packet.
pub mod flags {
    /// Opens a flow, or together with [`ACK`] answers the opening packet.
    pub const SYN: u8 = 2;
    /// Resets a flow.
    pub const RST: u8 = 4;
    /// Closes the sender's side of a flow.
    pub const FIN: u8 = 16;
    /// Marks the acknowledgement number as valid.
    pub const ACK: u8 = 32;
}

/// Offset of the token, the only field that balancers may change.
const TOKEN_OFFSET: usize = 6;

/// Offset of the checksum.
const CHECKSUM_OFFSET: usize = 32;

/// Key of the checksum; its value is arbitrary.
const CHECKSUM_KEY: u64 = 0x736f_616b;

/// Packet from one end of a flow to the other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowPacket {
    /// Bits from [`flags`].
    pub flags: u8,
    /// Token by which balancers find the backend server of the flow.
    pub token: u32,
    /// Sequence number of the first byte of the data.
    pub sequence: u32,
    /// Sequence number of the byte expected next. On an opening packet: number of times that it
    /// was sent before.
    pub acknowledged: u32,
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub destination: SocketAddrV4,
    /// Data after the header, at most 1,200 bytes.
    pub data: Vec<u8>,
}

impl FlowPacket {
    /// Encodes the packet with its checksum.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];

        bytes[0] = self.flags;
        bytes[TOKEN_OFFSET..10].copy_from_slice(&self.token.to_le_bytes());
        let length = u16::try_from(self.data.len()).unwrap_or(u16::MAX);
        bytes[10..12].copy_from_slice(&length.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.acknowledged.to_le_bytes());
        bytes[20..22].copy_from_slice(&self.source.port().to_le_bytes());
        bytes[22..26].copy_from_slice(&u32::from(*self.source.ip()).to_le_bytes());
        bytes[26..30].copy_from_slice(&u32::from(*self.destination.ip()).to_le_bytes());
        bytes[30..32].copy_from_slice(&self.destination.port().to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let checksum = compute_checksum(&bytes);
        bytes[CHECKSUM_OFFSET..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a packet without checking its checksum. Returns `None` if it is shorter than a
    /// header.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let read_u32 =
            |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let read_u16 =
            |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));

        Some(Self {
            flags: *bytes.first()?,
            token: read_u32(TOKEN_OFFSET)?,
            sequence: read_u32(12)?,
            acknowledged: read_u32(16)?,
            source: SocketAddrV4::new(Ipv4Addr::from(read_u32(22)?), read_u16(20)?),
            destination: SocketAddrV4::new(Ipv4Addr::from(read_u32(26)?), read_u16(30)?),
            data: bytes.get(HEADER_BYTES..)?.to_vec(),
        })
    }

    /// Reports whether the checksum matches, which shows that all covered bytes are as one end of
    /// the flow wrote them.
    #[must_use]
    pub fn has_valid_checksum(bytes: &[u8]) -> bool {
        bytes
            .get(CHECKSUM_OFFSET..HEADER_BYTES)
            .is_some_and(|checksum| checksum == compute_checksum(bytes).to_le_bytes())
    }

    /// Reports whether the bytes are a reset that a balancer wrote: balancers can't compute the
    /// checksum and leave it 0.
    #[must_use]
    pub fn is_balancer_reset(bytes: &[u8]) -> bool {
        bytes.len() == HEADER_BYTES
            && bytes[0] == flags::RST
            && bytes[CHECKSUM_OFFSET..HEADER_BYTES] == [0; 4]
    }

    /// Reports whether a bit from [`flags`] is set.
    #[must_use]
    pub fn has_flag(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns the addresses of the flow of a packet that its caller sent.
    #[must_use]
    pub fn flow(&self) -> FlowAddresses {
        FlowAddresses { caller: self.source, service: self.destination }
    }
}

/// Returns the checksum over the flags, all header fields after the token, and the data. Bytes 1 to
/// 9, which end with the token, are left out.
fn compute_checksum(bytes: &[u8]) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(CHECKSUM_KEY, 0);
    hasher.write(&bytes[..1]);
    hasher.write(&bytes[10..CHECKSUM_OFFSET]);
    hasher.write(&bytes[HEADER_BYTES..]);

    // The upper half of the hash serves as the 32-bit checksum.
    u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX)
}
