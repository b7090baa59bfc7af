//! What the packets of one flow have shown so far.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use super::caller_packet::CallerPacket;

/// `FlowRecord` is what one balancer saw of a flow.
#[derive(Debug, Clone)]
pub struct FlowRecord {
    /// The backend server of the flow.
    pub instance: InstanceId,
    /// Whether the caller has answered the backend server's answer to its opening packet.
    pub open: bool,
    /// Whether the caller has ended its side.
    pub closing: bool,
    /// Since when something that the caller sent has no answer; none while nothing is under way.
    pub waiting_since: Option<Instant>,
    /// When the last packet came.
    pub last_packet: Instant,
    /// Number after the last byte that the caller sent.
    sent_until: u32,
    /// Number of the byte that the caller expects next.
    acknowledged: u32,
}

/// `FlowSign` is what a packet shows about the backend server of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowSign {
    /// It has answered since the packet before.
    Alive(AnswerSign),
    /// The caller sends something again: an answer is missing since the time given.
    Unanswered(Instant),
    /// Nothing.
    Neutral,
}

/// `AnswerSign` is what an answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSign {
    /// Whether it answered an opening packet; otherwise a request.
    pub opening: bool,
    /// Since when the answer was awaited; none if more came than was asked for.
    pub since: Option<Instant>,
}

impl FlowRecord {
    /// `open_at` starts the record of a flow with its opening packet.
    #[must_use]
    pub fn open_at(instance: InstanceId, now: Instant) -> Self {
        Self {
            instance,
            open: false,
            closing: false,
            waiting_since: Some(now),
            last_packet: now,
            sent_until: 0,
            acknowledged: 0,
        }
    }

    /// `taken_over` starts the record of a flow that was opened through another balancer.
    #[must_use]
    pub fn taken_over(instance: InstanceId, packet: &CallerPacket, now: Instant) -> Self {
        Self {
            instance,
            open: true,
            closing: packet.closing,
            waiting_since: (packet.data_length > 0).then_some(now),
            last_packet: now,
            sent_until: packet.sequence.wrapping_add(packet.data_length),
            acknowledged: packet.acknowledged,
        }
    }

    /// `observe` takes a further packet in.
    pub fn observe(&mut self, packet: &CallerPacket, now: Instant) -> FlowSign {
        self.last_packet = now;
        if packet.opening {
            return self.observe_opening();
        }

        let sign = self.observe_answer(packet);
        let sign = self.observe_data(packet, sign, now);
        self.closing |= packet.closing;
        sign
    }

    /// A copy of the opening packet: nothing has answered the one before.
    fn observe_opening(&mut self) -> FlowSign {
        match self.waiting_since {
            Some(since) if !self.open => FlowSign::Unanswered(since),
            _ => FlowSign::Neutral,
        }
    }

    /// What the caller has received since the packet before.
    fn observe_answer(&mut self, packet: &CallerPacket) -> FlowSign {
        let opened = !self.open;
        let advanced = opened || is_after(packet.acknowledged, self.acknowledged);
        if !advanced {
            return FlowSign::Neutral;
        }

        if opened {
            self.sent_until = packet.sequence;
        }
        // Callers acknowledge every second packet. What a new request acknowledges may have been
        // received long before it, and says nothing of the backend server now.
        let is_stale = !opened && self.waiting_since.is_none() && packet.data_length > 0;
        self.open = true;
        self.acknowledged = packet.acknowledged;
        if is_stale {
            return FlowSign::Neutral;
        }
        FlowSign::Alive(AnswerSign { opening: opened, since: self.waiting_since.take() })
    }

    /// What the caller sends, for the first time or again.
    fn observe_data(&mut self, packet: &CallerPacket, sign: FlowSign, now: Instant) -> FlowSign {
        if packet.data_length == 0 {
            return sign;
        }

        let end = packet.sequence.wrapping_add(packet.data_length);
        if is_after(end, self.sent_until) {
            self.sent_until = end;
            self.waiting_since.get_or_insert(now);
            return sign;
        }
        if matches!(sign, FlowSign::Alive(_)) {
            return sign;
        }
        self.waiting_since.map_or(FlowSign::Neutral, FlowSign::Unanswered)
    }

    /// `is_busy` tells whether the backend server has something to do for the flow.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.waiting_since.is_some()
    }
}

/// Byte numbers wrap around.
fn is_after(later: u32, earlier: u32) -> bool {
    later != earlier && later.wrapping_sub(earlier) < u32::MAX / 2
}
