//! Packets as the page "Packets" describes them.

use std::net::Ipv4Addr;

pub const SYN: u8 = 2;
pub const RST: u8 = 4;
pub const FIN: u8 = 16;
pub const ACK: u8 = 32;
pub const HEAD: usize = 36;

/// Key of the sum; only the two ends of a flow use it.
const KEY: u32 = 0x5bd1_e995;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub src: (Ipv4Addr, u16),
    pub dst: (Ipv4Addr, u16),
    pub data: Vec<u8>,
    /// Whether the sum is right; only read from the wire.
    pub is_sound: bool,
}

fn get16(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([bytes[at], bytes[at + 1]])
}

fn get32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Keyed sum over all but `echo`, `pad`, the sum itself and BOUNCED.
fn sum_of(bytes: &[u8]) -> u32 {
    let mut sum = KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            0 => byte & 0x7f,
            1..=9 | 32..=35 => continue,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum.max(1)
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0] = self.flags;
        bytes[6..10].copy_from_slice(&self.echo.to_le_bytes());
        bytes[10..12].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[12..16].copy_from_slice(&self.seq.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.ack.to_le_bytes());
        bytes[20..22].copy_from_slice(&self.src.1.to_le_bytes());
        bytes[22..26].copy_from_slice(&u32::from(self.src.0).to_le_bytes());
        bytes[26..30].copy_from_slice(&u32::from(self.dst.0).to_le_bytes());
        bytes[30..32].copy_from_slice(&self.dst.1.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum_of(&bytes);
        bytes[32..36].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD || bytes.len() - HEAD != usize::from(get16(bytes, 10)) {
            return None;
        }
        Some(Self {
            flags: bytes[0],
            echo: get32(bytes, 6),
            seq: get32(bytes, 12),
            ack: get32(bytes, 16),
            src: (Ipv4Addr::from(get32(bytes, 22)), get16(bytes, 20)),
            dst: (Ipv4Addr::from(get32(bytes, 26)), get16(bytes, 30)),
            data: bytes[HEAD..].to_vec(),
            is_sound: get32(bytes, 32) == sum_of(bytes),
        })
    }

    /// Whether this is a reset of the system's own: an RST without data whose sum is 0.
    pub fn is_system_reset(&self, bytes: &[u8]) -> bool {
        self.flags & RST != 0 && self.data.is_empty() && get32(bytes, 32) == 0
    }
}
