//! Packets that wait until enough is known to decide about them.
//!
//! A balancer that has just started knows no backend servers, and after a restart of all of them nobody knows those whose entries
//! lapsed in a cut: they return within some 2 s. A caller sends a packet again after 200 ms, and then after twice as long
//! each time. What waits is decided about as soon as it can be, which may be a second before the next copy comes.

use std::time::{Duration, Instant};

use super::caller_packet::CallerPacket;

/// Packets that wait at most, of 1.3 KB each.
const MAX_HELD: usize = 256;

/// For how long one waits: callers that still want an answer have sent a copy by then, 1.6 s later at the most.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// `HeldPacket` is a packet that waits, with what its driver needs to send it.
#[derive(Debug)]
pub struct HeldPacket<T> {
    /// What is known of it.
    pub packet: CallerPacket,
    /// The packet itself.
    pub payload: T,
    /// How many copies of it have come; the last one waits in place of the others.
    pub copies: u32,
    /// Until when it waits.
    until: Instant,
}

/// `HeldPackets` holds packets in the order in which their first copies came.
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
    /// `hold` lets a packet wait; false if there is no room for it.
    pub fn hold(&mut self, packet: CallerPacket, payload: T, now: Instant) -> bool {
        let until = now + HOLD_TIME;
        if let Some(held) = self.packets.iter_mut().find(|held| is_copy(&held.packet, &packet)) {
            *held = HeldPacket { packet, payload, copies: held.copies + 1, until };
            return true;
        }
        if self.packets.len() >= MAX_HELD {
            return false;
        }

        self.packets.push(HeldPacket { packet, payload, copies: 1, until });
        true
    }

    /// `take_decidable` gives the packets about which can be decided by now.
    pub fn take_decidable(
        &mut self,
        can_decide: impl Fn(&CallerPacket) -> bool,
    ) -> Vec<HeldPacket<T>> {
        self.packets.extract_if(.., |held| can_decide(&held.packet)).collect()
    }

    /// `take_expired` gives the packets that have waited for too long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<HeldPacket<T>> {
        self.packets.extract_if(.., |held| held.until <= now).collect()
    }

    /// `iter` gives the packets that wait.
    pub fn iter(&self) -> impl Iterator<Item = &HeldPacket<T>> {
        self.packets.iter()
    }

    /// `len` gives how many packets wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// `is_empty` tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}

/// Whether two packets carry the same bytes of a flow.
fn is_copy(one: &CallerPacket, other: &CallerPacket) -> bool {
    one.flow == other.flow
        && one.opening == other.opening
        && one.closing == other.closing
        && one.reset == other.reset
        && one.sequence == other.sequence
        && one.data_length == other.data_length
}
