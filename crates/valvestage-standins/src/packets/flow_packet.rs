//! Packets as the two ends of a flow write them.
//!
//! Only the ends know the key of the sum, so whatever a balancer changes on the way shows.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use siphasher::sip::SipHasher13;
use valvestage_platform::packet::HEAD_BYTES;
use valvestage_policy::steering::FlowAddresses;

/// Bits of the first byte.
pub mod flags {
    /// Asks to open a flow, or with [`ACK`] answers that.
    pub const SYN: u8 = 2;
    /// Ends a flow at once.
    pub const RST: u8 = 4;
    /// Ends what its sender sends.
    pub const FIN: u8 = 16;
    /// Acknowledges.
    pub const ACK: u8 = 32;
}

/// Offset of the token, which balancers write.
const TOKEN: usize = 6;

/// Offset of the sum.
const SUM: usize = 32;

/// Key of the sum; any number will do.
const SUM_KEY: u64 = 0x736f_616b;

/// `FlowPacket` is a packet from one end of a flow to the other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowPacket {
    /// Bits of [`flags`].
    pub flags: u8,
    /// What balancers steer by.
    pub token: u32,
    /// Number of the first byte.
    pub sequence: u32,
    /// Number of the byte expected next; on an opening packet the copies sent before.
    pub acknowledged: u32,
    /// Who sends.
    pub source: SocketAddrV4,
    /// To whom.
    pub destination: SocketAddrV4,
    /// The data.
    pub data: Vec<u8>,
}

impl FlowPacket {
    /// `encode` writes the packet with its sum.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];

        bytes[0] = self.flags;
        bytes[TOKEN..10].copy_from_slice(&self.token.to_le_bytes());
        let length = u16::try_from(self.data.len()).unwrap_or(u16::MAX);
        bytes[10..12].copy_from_slice(&length.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.acknowledged.to_le_bytes());
        bytes[20..22].copy_from_slice(&self.source.port().to_le_bytes());
        bytes[22..26].copy_from_slice(&u32::from(*self.source.ip()).to_le_bytes());
        bytes[26..30].copy_from_slice(&u32::from(*self.destination.ip()).to_le_bytes());
        bytes[30..32].copy_from_slice(&self.destination.port().to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum_of(&bytes);
        bytes[SUM..HEAD_BYTES].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// `decode` reads a packet; none if it is too short.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let port = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));

        Some(Self {
            flags: *bytes.first()?,
            token: word(TOKEN)?,
            sequence: word(12)?,
            acknowledged: word(16)?,
            source: SocketAddrV4::new(Ipv4Addr::from(word(22)?), port(20)?),
            destination: SocketAddrV4::new(Ipv4Addr::from(word(26)?), port(30)?),
            data: bytes.get(HEAD_BYTES..)?.to_vec(),
        })
    }

    /// `is_genuine` tells whether the bytes are as one end of a flow wrote them.
    #[must_use]
    pub fn is_genuine(bytes: &[u8]) -> bool {
        bytes.get(SUM..HEAD_BYTES).is_some_and(|sum| sum == sum_of(bytes).to_le_bytes())
    }

    /// `is_from_balancer` tells whether it is a reset that no end of the flow wrote.
    #[must_use]
    pub fn is_from_balancer(bytes: &[u8]) -> bool {
        bytes.len() == HEAD_BYTES && bytes[0] == flags::RST && bytes[SUM..HEAD_BYTES] == [0; 4]
    }

    /// `has` tells whether a flag is set.
    #[must_use]
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// `flow` names the flow, where its caller sent the packet.
    #[must_use]
    pub fn flow(&self) -> FlowAddresses {
        FlowAddresses { caller: self.source, service: self.destination }
    }
}

/// The sum over all but the token, what stands before it, and itself.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(SUM_KEY, 0);
    hasher.write(&bytes[..1]);
    hasher.write(&bytes[10..SUM]);
    hasher.write(&bytes[HEAD_BYTES..]);

    // Any 32 bits of it.
    u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX)
}
