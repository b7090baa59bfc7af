//! Requests and their answers.

use super::RequestId;

/// Bytes of a request.
const REQUEST_BYTES: usize = 13;

/// `PacketRequest` is what a caller asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketRequest {
    /// Its id.
    pub id: RequestId,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Bytes of its answer; at least 8.
    pub answer_bytes: u32,
}

impl PacketRequest {
    /// `encode` writes the request.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.id.to_le_bytes().to_vec();

        bytes.push(u8::from(self.repeatable));
        bytes.extend_from_slice(&self.answer_bytes.to_le_bytes());
        bytes
    }

    /// `decode` reads a request; none if the bytes are no request.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() != REQUEST_BYTES {
            return None;
        }

        Some(Self {
            id: u64::from_le_bytes(bytes[..8].try_into().ok()?),
            repeatable: bytes[8] != 0,
            answer_bytes: u32::from_le_bytes(bytes[9..].try_into().ok()?),
        })
    }

    /// `answer` gives the bytes that answer the request, and no other.
    #[must_use]
    pub fn answer(&self) -> Vec<u8> {
        let id = self.id.to_le_bytes();

        (0..self.answer_bytes)
            .map(|at| id[at as usize % id.len()].wrapping_add((at >> 3).to_le_bytes()[0]))
            .collect()
    }
}
