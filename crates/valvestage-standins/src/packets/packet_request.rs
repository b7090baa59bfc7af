//! Requests that are sent on flows, and their answers.

use super::RequestId;

/// Data of the answer of a backend server that has no room for a request and will not run it. It is
/// shorter than any answer.
pub const REJECTION: &[u8] = b"503";

/// Length of an encoded request.
const REQUEST_BYTES: usize = 13;

/// Request of a caller, sent in the data of one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketRequest {
    /// Id of the request, from which the bytes of its answer follow.
    pub id: RequestId,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Length of the answer in bytes. At least 8, so that the answer contains the whole id.
    pub answer_bytes: u32,
}

impl PacketRequest {
    /// Encodes the request.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.id.to_le_bytes().to_vec();

        bytes.push(u8::from(self.repeatable));
        bytes.extend_from_slice(&self.answer_bytes.to_le_bytes());
        bytes
    }

    /// Decodes a request. Returns `None` if the bytes have another length than a request.
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

    /// Returns the bytes of the answer, which differ from those of the answer to any other request.
    #[must_use]
    pub fn answer(&self) -> Vec<u8> {
        let id = self.id.to_le_bytes();

        (0..self.answer_bytes)
            .map(|at| id[at as usize % id.len()].wrapping_add((at >> 3).to_le_bytes()[0]))
            .collect()
    }
}
