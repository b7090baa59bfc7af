//! Token that lets any balancer steer a flow without state.

use valvestage_core::ids::{BackendId, Incarnation, ServiceId, TokenKeyId};

/// Length of a token on the wire, in bytes.
pub const TOKEN_BYTES: usize = 19;

/// Names a backend server, authenticated for one flow.
///
/// Layout: key id (1 byte), service (2), backend server (4), incarnation (4), MAC (8), all big
/// endian.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowToken {
    /// Id of the key that the MAC was computed with.
    pub key_id: TokenKeyId,
    /// Service that the flow belongs to.
    pub service: ServiceId,
    /// Backend server that the flow is bound to.
    pub backend: BackendId,
    /// Incarnation of the backend server, that is, the VM behind its record.
    pub incarnation: Incarnation,
    /// MAC over all other fields and the flow key, so that no other caller can use the token.
    pub mac: u64,
}

impl FlowToken {
    /// Returns the wire format.
    #[must_use]
    pub fn to_bytes(&self) -> [u8; TOKEN_BYTES] {
        let mut bytes = [0; TOKEN_BYTES];

        bytes[0] = self.key_id;
        bytes[1..3].copy_from_slice(&self.service.to_be_bytes());
        bytes[3..7].copy_from_slice(&self.backend.to_be_bytes());
        bytes[7..11].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes[11..19].copy_from_slice(&self.mac.to_be_bytes());
        bytes
    }
}

impl TryFrom<&[u8]> for FlowToken {
    type Error = std::array::TryFromSliceError;

    fn try_from(raw: &[u8]) -> Result<Self, Self::Error> {
        let bytes: [u8; TOKEN_BYTES] = raw.try_into()?;

        Ok(Self {
            key_id: bytes[0],
            service: u16::from_be_bytes([bytes[1], bytes[2]]),
            backend: u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]),
            incarnation: u32::from_be_bytes([bytes[7], bytes[8], bytes[9], bytes[10]]),
            mac: u64::from_be_bytes([
                bytes[11], bytes[12], bytes[13], bytes[14], bytes[15], bytes[16], bytes[17],
                bytes[18],
            ]),
        })
    }
}
