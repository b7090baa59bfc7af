//! Packet kinds, request attributes and load reports, shared by the policy and the wire format.

use serde::{Deserialize, Serialize};

/// Kind of a packet; the numbers are those of the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum PacketKind {
    /// First packet of a flow, and the backend server's answer to it.
    Open = 1,
    /// Any later packet of a flow, in either direction.
    Data = 2,
    /// Last packet of a flow, in either direction.
    Close = 3,
    /// A request of a caller.
    Request = 4,
    /// Withdrawal of a request.
    Cancel = 5,
    /// The answer to a request, or a segment of it.
    Answer = 6,
    /// Refusal of a flow packet or a request.
    Refusal = 7,
    /// Message between balancers that names the backend server a flow is bound to.
    Binding = 8,
}

impl PacketKind {
    /// All kinds, in the order of their numbers on the wire.
    pub const ALL: [Self; 8] = [
        Self::Open,
        Self::Data,
        Self::Close,
        Self::Request,
        Self::Cancel,
        Self::Answer,
        Self::Refusal,
        Self::Binding,
    ];
}

impl TryFrom<u8> for PacketKind {
    type Error = u8;

    fn try_from(raw: u8) -> Result<Self, u8> {
        Self::ALL.into_iter().find(|kind| *kind as u8 == raw).ok_or(raw)
    }
}

/// Priority class of a request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[repr(u8)]
pub enum RequestClass {
    /// A user waits for the outcome, as with a checkout or a message.
    Urgent = 0,
    /// The outcome may take longer, but not indefinitely, as with a waveform or a photo.
    Bulk = 1,
}

impl TryFrom<u8> for RequestClass {
    type Error = u8;

    fn try_from(raw: u8) -> Result<Self, u8> {
        match raw {
            0 => Ok(Self::Urgent),
            1 => Ok(Self::Bulk),
            other => Err(other),
        }
    }
}

/// Load that a backend server reports with each packet; a hint that may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of slots in use.
    pub busy_slots: u16,
    /// Number of open flows.
    pub open_flows: u16,
}

/// Position of one datagram within an answer of several datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Index of this segment, from 0; invariant: less than `count`.
    pub index: u16,
    /// Number of segments of the answer; invariant: 1 to [`Segment::MAX_COUNT`].
    pub count: u16,
}

impl Segment {
    /// Maximum number of segments in an answer: 1,024 datagrams of about 1 KB.
    pub const MAX_COUNT: u16 = 1024;

    /// The only segment of an answer that fits in one datagram.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// Returns the segment, or `None` if `index` or `count` violates its invariant.
    #[must_use]
    pub fn new(index: u16, count: u16) -> Option<Self> {
        let valid = (1..=Self::MAX_COUNT).contains(&count) && index < count;

        valid.then_some(Self { index, count })
    }
}
