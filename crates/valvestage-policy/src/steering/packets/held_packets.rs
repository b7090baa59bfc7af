//! Packets held until enough is known to decide about them.
//!
//! A balancer that has just started knows no backend servers, and after a restart of all balancers
//! none knows the backend servers whose entries lapsed during a network partition: they return
//! within some 2 s. A caller retransmits after 200 ms, and then doubles the interval each time. A
//! held packet is decided about as soon as possible, which may be a second before its next
//! retransmission comes.

use std::time::{Duration, Instant};

use super::caller_packet::CallerPacket;

/// Maximum number of held packets, of 1.3 KB each.
const MAX_HELD: usize = 256;

/// Time for which a packet is held: a caller that still waits for an answer has retransmitted it
/// within this time, since retransmissions are at most 1.6 s apart.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Held packet, with the payload that its driver needs to forward it.
#[derive(Debug)]
pub struct HeldPacket<T> {
    /// Fields that the decision depends on.
    pub packet: CallerPacket,
    /// Driver-specific data, such as the bytes of the packet.
    pub payload: T,
    /// Number of transmissions received so far; each replaces the one before.
    pub transmissions: u32,
    /// When the hold time ends.
    until: Instant,
}

/// Bounded collection of held packets, in the order in which they first came.
#[derive(Debug)]
pub struct HeldPackets<T> {
    packets: Vec<HeldPacket<T>>,
}

impl<T> Default for HeldPackets<T> {
    fn default() -> Self {
        Self { packets: Vec::new() }
    }
}

impl<T> HeldPackets<T> {
    /// Holds a packet, replacing an earlier transmission of it. Returns false if there is no room
    /// for it.
    pub fn hold(&mut self, packet: CallerPacket, payload: T, now: Instant) -> bool {
        let until = now + HOLD_TIME;
        if let Some(held) =
            self.packets.iter_mut().find(|held| is_retransmission(&held.packet, &packet))
        {
            *held = HeldPacket { packet, payload, transmissions: held.transmissions + 1, until };
            return true;
        }
        if self.packets.len() >= MAX_HELD {
            return false;
        }

        self.packets.push(HeldPacket { packet, payload, transmissions: 1, until });
        true
    }

    /// Removes and returns the packets that can be decided about now.
    pub fn take_decidable(
        &mut self,
        can_decide: impl Fn(&CallerPacket) -> bool,
    ) -> Vec<HeldPacket<T>> {
        self.packets.extract_if(.., |held| can_decide(&held.packet)).collect()
    }

    /// Removes and returns the packets whose hold time is over.
    pub fn take_expired(&mut self, now: Instant) -> Vec<HeldPacket<T>> {
        self.packets.extract_if(.., |held| held.until <= now).collect()
    }

    /// Iterates over the held packets.
    pub fn iter(&self) -> impl Iterator<Item = &HeldPacket<T>> {
        self.packets.iter()
    }

    /// Returns the number of held packets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Reports whether no packet is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}

/// Reports whether two packets carry the same bytes of the same flow.
fn is_retransmission(one: &CallerPacket, other: &CallerPacket) -> bool {
    one.flow == other.flow
        && one.opening == other.opening
        && one.closing == other.closing
        && one.reset == other.reset
        && one.sequence == other.sequence
        && one.data_length == other.data_length
}
