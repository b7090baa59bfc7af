//! The reset that ends a flow at its caller.

use super::caller_packet::{CallerPacket, FlowAddresses};

/// Reset that is sent to a caller to end its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReset {
    /// Flow to end.
    pub flow: FlowAddresses,
    /// Sequence number of the byte that the caller expects next, as it last acknowledged: on an
    /// open flow it accepts a reset only close to that number.
    pub expected: u32,
}

impl From<&CallerPacket> for FlowReset {
    /// Creates the reset that answers a packet, whose acknowledgement number is current.
    fn from(packet: &CallerPacket) -> Self {
        Self { flow: packet.flow, expected: packet.acknowledged }
    }
}
