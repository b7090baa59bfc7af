//! Encoding of messages between balancers: a version byte followed by the message in postcard
//! format.

use valvestage_policy::steering::PeerMessage;

/// Version of the message format. Messages of any other version are ignored.
const VERSION: u8 = 11;

/// Length of the receive buffer, which holds the longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Encodes a message as a datagram. `None` if serialization fails, which is logged.
#[must_use]
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    postcard::to_extend(message, vec![VERSION])
        .inspect_err(|error| log::error!("failed to encode a message to a peer: {error}"))
        .ok()
}

/// Decodes a datagram. `None` if it is not a valid message of this version.
#[must_use]
pub fn decode(datagram: &[u8]) -> Option<PeerMessage> {
    let (version, message) = datagram.split_first()?;

    if *version != VERSION {
        return None;
    }
    postcard::from_bytes(message).ok()
}
