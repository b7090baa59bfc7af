//! What the packets of one flow have shown so far.

use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, FlowAddresses};
use super::flow_reset::FlowReset;
use crate::steering::health::flow_request::{EndedRequest, FlowRequest};
use crate::steering::placement::flow_placer::ANSWER_TIME;

/// Time without a packet after which an answer that has begun seems whole: several round trips.
const REST_TIME: Duration = Duration::from_millis(100);

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
    /// When the first packet came that this balancer saw.
    pub first_packet: Instant,
    /// When the last packet came.
    pub last_packet: Instant,
    /// Number after the last byte that the caller sent.
    sent_until: u32,
    /// Number of the byte that the caller expects next.
    acknowledged: u32,
    /// When a packet was sent on to see whether the backend server lives, which seems dead; none since its last answer.
    probed_at: Option<Instant>,
    /// The request whose outcome is still to be judged; none if it was, or none was seen to begin.
    request: Option<FlowRequest>,
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
            first_packet: now,
            last_packet: now,
            sent_until: 0,
            acknowledged: 0,
            probed_at: None,
            request: None,
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
            first_packet: now,
            last_packet: now,
            sent_until: packet.sequence.wrapping_add(packet.data_length),
            acknowledged: packet.acknowledged,
            probed_at: None,
            request: None,
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
        self.probed_at = None;
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

        if self.has_new_data(packet) {
            self.sent_until = packet.sequence.wrapping_add(packet.data_length);
            if self.waiting_since.is_none() {
                self.waiting_since = Some(now);
                self.request = Some(FlowRequest { started: now, answer_from: self.acknowledged });
            }
            return sign;
        }
        if matches!(sign, FlowSign::Alive(_)) {
            return sign;
        }
        self.waiting_since.map_or(FlowSign::Neutral, FlowSign::Unanswered)
    }

    /// `end_request` gives the request that a packet ends: the caller goes on to another one, or ends
    /// the flow. To be called before the packet is observed.
    pub fn end_request(&mut self, packet: &CallerPacket) -> Option<EndedRequest> {
        let begins_another = self.waiting_since.is_none() && self.has_new_data(packet);
        if packet.opening || !(begins_another || packet.closing || packet.reset) {
            return None;
        }

        let is_further = is_after(packet.acknowledged, self.acknowledged);
        let acknowledged = if is_further { packet.acknowledged } else { self.acknowledged };
        self.request.take().map(|request| request.end(acknowledged))
    }

    /// `end_overdue` gives the request that began at a time if it still waits for an answer, or if
    /// its answer seems whole: long flows end a request only with their next one. None if bytes still
    /// come, or its outcome is known.
    pub fn end_overdue(&mut self, started: Instant, now: Instant) -> Option<EndedRequest> {
        let request = self.request.filter(|request| request.started == started)?;
        let rests = now.saturating_duration_since(self.last_packet) >= REST_TIME;
        if !self.is_busy() && !rests {
            return None;
        }

        self.request = None;
        Some(request.end(self.acknowledged))
    }

    /// `forget_request` leaves the outcome of the request open.
    pub fn forget_request(&mut self) {
        self.request = None;
    }

    /// `request_started` gives when the request began whose outcome is not known.
    #[must_use]
    pub fn request_started(&self) -> Option<Instant> {
        self.request.map(|request| request.started)
    }

    fn has_new_data(&self, packet: &CallerPacket) -> bool {
        let end = packet.sequence.wrapping_add(packet.data_length);

        packet.data_length > 0 && is_after(end, self.sent_until)
    }

    /// `misses_probe` takes in a packet that shows whether the backend server lives, which seems dead: an answer to it, or a copy of
    /// it that is still without one, which gives true. What was sent before a time shows nothing, since it may have been lost in
    /// a cut.
    pub fn misses_probe(
        &mut self,
        packet: &CallerPacket,
        not_before: Option<Instant>,
        now: Instant,
    ) -> bool {
        let asks_for_answer = packet.data_length > 0 || packet.closing;
        if !asks_for_answer {
            return false;
        }

        let counts = |at: &Instant| not_before.is_none_or(|from| *at > from);
        match self.probed_at.filter(counts) {
            Some(at) => now.saturating_duration_since(at) >= ANSWER_TIME,
            None => {
                self.probed_at = Some(now);
                false
            }
        }
    }

    /// `has_opened_before` tells whether the flow was there a second ago already.
    #[must_use]
    pub fn has_opened_before(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.first_packet) >= Duration::from_secs(1)
    }

    /// `reset_of` gives what ends the flow of this record at its caller.
    #[must_use]
    pub fn reset_of(&self, flow: FlowAddresses) -> FlowReset {
        FlowReset { flow, expected: self.acknowledged }
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
