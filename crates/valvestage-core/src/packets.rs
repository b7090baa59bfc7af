//! Packet kinds, request attributes and load reports, as the policy and the wire share them.

use serde::{Deserialize, Serialize};

/// `PacketKind` says what a packet asks of its receiver.
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
    /// A refusal of a flow packet or a request.
    Refusal = 7,
    /// Balancer to balancer: the backend server that a flow is bound to.
    Binding = 8,
}

impl PacketKind {
    /// Every kind, in wire order.
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

/// `RequestClass` orders requests that wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[repr(u8)]
pub enum RequestClass {
    /// Somebody waits for the outcome: a checkout, a message.
    Urgent = 0,
    /// It can wait a little, but not forever: a waveform, a photo.
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

/// `LoadReport` is what a backend server says of its load on each answer; a hint that may lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy_slots: u16,
    /// Flows open.
    pub open_flows: u16,
}

/// `Segment` is the place of one datagram in an answer of several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Place of this segment; invariant: less than `count`.
    pub index: u16,
    /// Number of segments; invariant: 1 to [`Segment::MAX_COUNT`].
    pub count: u16,
}

impl Segment {
    /// The most segments an answer may have: 1,024 datagrams of about 1 KB.
    pub const MAX_COUNT: u16 = 1024;

    /// The segment of an answer that fits one datagram.
    pub const WHOLE: Self = Self { index: 0, count: 1 };

    /// `new` checks the invariants.
    #[must_use]
    pub fn new(index: u16, count: u16) -> Option<Self> {
        let valid = (1..=Self::MAX_COUNT).contains(&count) && index < count;

        valid.then_some(Self { index, count })
    }
}
