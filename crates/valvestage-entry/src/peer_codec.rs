//! Messages between balancers as datagrams: a version byte, then the message in postcard.

use valvestage_policy::steering::PeerMessage;

/// Version of the messages. A balancer of another version is not understood, and ignored.
const VERSION: u8 = 8;

/// Room for the longest message.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// `encode` gives the datagram of a message; none if it cannot be written.
#[must_use]
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    postcard::to_extend(message, vec![VERSION])
        .inspect_err(|error| log::error!("a message to a peer cannot be written: {error}"))
        .ok()
}

/// `decode` reads a datagram; none if it is not a message of this version.
#[must_use]
pub fn decode(datagram: &[u8]) -> Option<PeerMessage> {
    let (version, message) = datagram.split_first()?;

    if *version != VERSION {
        return None;
    }
    postcard::from_bytes(message).ok()
}
