//! State of one flow, as seen in the packets of its caller.

use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, FlowAddresses};
use super::flow_reset::FlowReset;
use crate::steering::health::flow_request::{EndedRequest, FlowRequest};
use crate::steering::placement::flow_placer::MAX_ANSWER_TIME;

/// Time without a packet after which an answer that has begun is considered complete: several round
/// trips.
const ANSWER_IDLE_TIME: Duration = Duration::from_millis(100);

/// Record of what one balancer has seen of a flow.
#[derive(Debug, Clone)]
pub struct FlowRecord {
    /// Backend server of the flow.
    pub instance: InstanceId,
    /// Whether the caller has acknowledged the backend server's answer to its opening packet.
    pub open: bool,
    /// Whether the caller has ended its side of the flow.
    pub closing: bool,
    /// Since when something that the caller sent is unanswered; `None` while nothing is under way.
    pub waiting_since: Option<Instant>,
    /// When this balancer saw the first packet of the flow.
    pub first_packet: Instant,
    /// When this balancer saw the last packet of the flow.
    pub last_packet: Instant,
    /// Whether the caller seems to have given up the request under way.
    is_given_up: bool,
    /// Sequence number after the last byte that the caller sent.
    sent_until: u32,
    /// Sequence number of the byte that the caller expects next.
    acknowledged: u32,
    /// When a packet was forwarded as a probe to a backend server that may be dead; `None` if there
    /// was none since the last answer.
    probed_at: Option<Instant>,
    /// Request whose outcome is still open; `None` if the outcome is known, or the start of the
    /// request was not seen.
    request: Option<FlowRequest>,
    /// Whether a request was sent on the flow before, here or through another balancer.
    has_sent: bool,
    /// Whether the flow had a packet here while its service address had a route.
    had_route: bool,
}

/// What a packet shows about the liveness of the backend server of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LivenessSignal {
    /// The backend server has answered since the packet before.
    Alive(AnswerSignal),
    /// The caller retransmits its opening packet, which is unanswered since the time given. A
    /// backend server that is full is silent to new flows.
    Unopened(Instant),
    /// The caller retransmits on an open flow: an answer is missing since the time given.
    Unanswered(Instant),
    /// The packet shows nothing about the backend server.
    Neutral,
}

/// What an answer of a backend server shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSignal {
    /// Whether the answer is to an opening packet; otherwise it is to a request.
    pub opening: bool,
    /// Since when the answer was awaited; `None` if nothing was under way, as when a further part
    /// of an answer is acknowledged.
    pub since: Option<Instant>,
}

impl FlowRecord {
    /// Starts the record of a flow with its opening packet.
    #[must_use]
    pub fn open_at(instance: InstanceId, now: Instant) -> Self {
        Self {
            instance,
            open: false,
            closing: false,
            waiting_since: Some(now),
            first_packet: now,
            last_packet: now,
            is_given_up: false,
            sent_until: 0,
            acknowledged: 0,
            probed_at: None,
            request: None,
            has_sent: false,
            had_route: true,
        }
    }

    /// Starts the record of a flow that was opened through another balancer.
    #[must_use]
    pub fn taken_over(instance: InstanceId, packet: &CallerPacket, now: Instant) -> Self {
        Self {
            instance,
            open: true,
            closing: packet.closing,
            waiting_since: (packet.data_length > 0).then_some(now),
            first_packet: now,
            last_packet: now,
            is_given_up: false,
            sent_until: packet.sequence.wrapping_add(packet.data_length),
            acknowledged: packet.acknowledged,
            probed_at: None,
            request: None,
            has_sent: true,
            had_route: false,
        }
    }

    /// Records that the service address of the flow has a route.
    pub fn mark_routed(&mut self) {
        self.had_route = true;
    }

    /// Reports whether the flow had a packet here while its service address had a route.
    #[must_use]
    pub fn had_route(&self) -> bool {
        self.had_route
    }

    /// Updates the record with a further packet, and returns what the packet shows.
    pub fn observe(&mut self, packet: &CallerPacket, now: Instant) -> LivenessSignal {
        self.last_packet = now;
        self.is_given_up = false;
        if packet.opening {
            return self.observe_opening();
        }

        let signal = self.observe_answer(packet);
        let signal = self.observe_data(packet, signal, now);
        self.closing |= packet.closing;
        signal
    }

    /// Handles a retransmitted opening packet, which shows that no earlier transmission of it was
    /// answered so far.
    fn observe_opening(&mut self) -> LivenessSignal {
        match self.waiting_since {
            Some(since) if !self.open => LivenessSignal::Unopened(since),
            _ => LivenessSignal::Neutral,
        }
    }

    /// Returns what the acknowledgement number shows about answers since the packet before.
    fn observe_answer(&mut self, packet: &CallerPacket) -> LivenessSignal {
        let opened = !self.open;
        let advanced = opened || is_after(packet.acknowledged, self.acknowledged);
        if !advanced {
            return LivenessSignal::Neutral;
        }

        if opened {
            self.sent_until = packet.sequence;
        }
        // Callers acknowledge every second packet. The answer that a new request acknowledges may
        // have been received long before the request was sent, so it says nothing about the backend
        // server now.
        let is_stale = !opened && self.waiting_since.is_none() && packet.data_length > 0;
        self.open = true;
        self.probed_at = None;
        self.acknowledged = packet.acknowledged;
        if is_stale {
            return LivenessSignal::Neutral;
        }
        LivenessSignal::Alive(AnswerSignal { opening: opened, since: self.waiting_since.take() })
    }

    /// Handles the data of a packet, whether new or retransmitted.
    fn observe_data(
        &mut self,
        packet: &CallerPacket,
        signal: LivenessSignal,
        now: Instant,
    ) -> LivenessSignal {
        if packet.data_length == 0 {
            return signal;
        }

        if self.has_new_data(packet) {
            self.sent_until = packet.sequence.wrapping_add(packet.data_length);
            if self.waiting_since.is_none() {
                self.waiting_since = Some(now);
                self.has_sent = true;
                self.request = Some(FlowRequest {
                    started: now,
                    answer_from: self.acknowledged,
                    is_counted: false,
                });
            }
            return signal;
        }
        if matches!(signal, LivenessSignal::Alive(_)) {
            return signal;
        }
        self.waiting_since.map_or(LivenessSignal::Neutral, LivenessSignal::Unanswered)
    }

    /// Returns the request that a packet ends, because the caller starts another one or ends the
    /// flow. Has to be called before the packet is observed.
    pub fn end_request(&mut self, packet: &CallerPacket) -> Option<EndedRequest> {
        let begins_another = self.waiting_since.is_none() && self.has_new_data(packet);
        if packet.opening || !(begins_another || packet.closing || packet.reset) {
            return None;
        }

        let is_further = is_after(packet.acknowledged, self.acknowledged);
        let acknowledged = if is_further { packet.acknowledged } else { self.acknowledged };
        self.request.take().map(|request| request.end(acknowledged))
    }

    /// Returns the request that began at `started` if it still waits for an answer, or if its
    /// answer seems complete: on a long-lived flow only the next request ends a request. Returns
    /// `None` if the answer is still arriving, or the outcome is known.
    pub fn take_overdue_request(&mut self, started: Instant, now: Instant) -> Option<EndedRequest> {
        let request = self.request.filter(|request| request.started == started)?;
        let is_idle = now.saturating_duration_since(self.last_packet) >= ANSWER_IDLE_TIME;
        if !self.is_busy() && !is_idle {
            return None;
        }

        self.request = None;
        Some(request.end(self.acknowledged))
    }

    /// Drops the request under way without an outcome.
    pub fn forget_request(&mut self) {
        self.request = None;
    }

    /// Returns when the request began whose outcome is still open.
    #[must_use]
    pub fn request_started(&self) -> Option<Instant> {
        self.request.map(|request| request.started)
    }

    /// Reports whether a request of an open flow waits for an answer, as far as its caller still
    /// asks for it.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.open && self.is_busy() && !self.is_given_up
    }

    /// Records that the caller seems to have given up the request under way, until its next packet.
    pub fn give_up(&mut self) {
        self.is_given_up = true;
    }

    /// Returns the request whose outcome is still open, unless its answer has been counted.
    #[must_use]
    pub fn uncounted_request(&self) -> Option<FlowRequest> {
        self.request.filter(|request| !request.is_counted)
    }

    /// Records that the answer to the request that began at `started` has been counted.
    pub fn mark_counted(&mut self, started: Instant) {
        if let Some(request) = self.request.as_mut().filter(|request| request.started == started) {
            request.is_counted = true;
        }
    }

    /// Reports whether a request was sent on the flow before.
    #[must_use]
    pub fn has_sent_request(&self) -> bool {
        self.has_sent
    }

    fn has_new_data(&self, packet: &CallerPacket) -> bool {
        let end = packet.sequence.wrapping_add(packet.data_length);

        packet.data_length > 0 && is_after(end, self.sent_until)
    }

    /// Handles a packet as a probe of a backend server that may be dead, if the packet asks for an
    /// answer. Returns true if an earlier probe is still unanswered after `MAX_ANSWER_TIME`. A
    /// probe sent at or before `not_before` does not count, since it may have been lost in a
    /// network partition.
    pub fn has_failed_probe(
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
            Some(at) => now.saturating_duration_since(at) >= MAX_ANSWER_TIME,
            None => {
                self.probed_at = Some(now);
                false
            }
        }
    }

    /// Reports whether this balancer has known the flow for at least a second.
    #[must_use]
    pub fn is_long_known(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.first_packet) >= Duration::from_secs(1)
    }

    /// Returns the reset that ends the flow of this record at its caller.
    #[must_use]
    pub fn reset_of(&self, flow: FlowAddresses) -> FlowReset {
        FlowReset { flow, expected: self.acknowledged }
    }

    /// Reports whether something that the caller sent is still unanswered.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.waiting_since.is_some()
    }
}

/// Compares sequence numbers, which wrap around.
fn is_after(later: u32, earlier: u32) -> bool {
    later != earlier && later.wrapping_sub(earlier) < u32::MAX / 2
}
