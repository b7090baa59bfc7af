//! The callers' side of a run.

use std::time::Duration;

use super::caller_flow::{
    ANSWER_BYTES, AttemptEnd, CallerFlow, CallerRequest, FlowId, FlowState, REJECTION_BYTES,
    RequestId,
};
use super::run_tally::RequestEnd;
use super::shortage_event::{Event, Notice, SentPacket};
use super::shortage_run::{CALLER_DELAY, ShortageRun};
use super::traffic_class::CLASSES;
use valvestage_policy::steering::CallerPacket;

/// Times after the first opening packet at which copies are sent, and the time at which the caller
/// gives up.
const OPENING_COPIES_AT: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Delay before the data of a request is sent again. It doubles each time.
const DATA_RESEND_DELAY: Duration = Duration::from_millis(200);

/// Retries of a request, each on a new flow.
const RETRIES: u32 = 2;

/// Minimum time between two requests on a long flow. Requests come every few seconds.
const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Mean number of requests on a long flow.
const LONG_FLOW_REQUESTS: usize = 10;

impl ShortageRun {
    /// Starts a request, and schedules the next one of its class.
    pub(super) fn arrive(&mut self, class: usize) {
        let kind = &CLASSES[class];
        let factor = self.scenario.traffic_factor(self.measured_time());
        let pause = Duration::from_secs_f64(1.0 / (kind.rate * self.scale * factor));
        let next_at = self.now() + self.rng.exponential(pause);
        if next_at < self.origin + self.scenario.length() {
            self.queue.add(next_at, Event::Arrive(class));
        }

        let request = self.requests.len();
        self.requests.push(CallerRequest {
            class,
            started_at: self.now(),
            work: kind.work.mul_f64(0.5 + self.rng.next_f64()),
            retries_left: RETRIES,
            flow: 0,
            is_over: false,
        });
        self.queue.add(self.now() + kind.timeout(), Event::Expire(request));
        match kind.is_long.then(|| self.take_idle_flow()).flatten() {
            Some(flow) => self.send_request(flow, request),
            None => self.open_flow(request),
        }
    }

    fn send(&mut self, flow: FlowId, packet: CallerPacket) {
        let request = self.flows[flow].request;
        let sent = SentPacket { flow, request, packet };

        self.queue.add(self.now() + CALLER_DELAY, Event::Steer(sent));
    }

    fn open_flow(&mut self, request: RequestId) {
        let class = self.requests[request].class;
        let uses =
            if CLASSES[class].is_long { 1 + self.rng.below(2 * LONG_FLOW_REQUESTS) } else { 1 };
        let uses = u32::try_from(uses).unwrap_or(u32::MAX);
        let id = self.add_flow(CallerFlow::new(self.flows.len(), class, request, uses));

        self.requests[request].flow = id;
        self.send(id, self.flows[id].opening_packet(0));
        self.queue.add(self.now() + OPENING_COPIES_AT[0], Event::ResendOpening(id, 1));
    }

    /// Sends a further copy of an opening packet, or gives up.
    pub(super) fn resend_opening(&mut self, flow: FlowId, copies: u32) {
        if self.flows[flow].state != FlowState::Opening {
            return;
        }

        let due = |copy: u32| {
            let at = usize::try_from(copy).ok().and_then(|copy| OPENING_COPIES_AT.get(copy));
            at.copied().unwrap_or(OPENING_TIMEOUT)
        };
        if due(copies - 1) == OPENING_TIMEOUT {
            self.end_attempt(flow, AttemptEnd::Unopened);
            return;
        }
        self.send(flow, self.flows[flow].opening_packet(copies));
        let next_at = self.now() + due(copies) - due(copies - 1);
        self.queue.add(next_at, Event::ResendOpening(flow, copies + 1));
    }

    /// Removes and returns the long flow that has been idle for longest, if that is long enough.
    fn take_idle_flow(&mut self) -> Option<FlowId> {
        while let Some(flow) = self.idle_flows.front().copied() {
            let is_open = matches!(self.flows[flow].state, FlowState::Open(_));
            if is_open && self.now() < self.flows[flow].idle_since + MIN_PAUSE {
                return None;
            }
            self.idle_flows.pop_front();
            if is_open {
                return Some(flow);
            }
        }
        None
    }

    fn send_request(&mut self, flow: FlowId, request: RequestId) {
        self.requests[request].flow = flow;
        self.flows[flow].begin(request);

        self.send(flow, self.flows[flow].data_packet());
        let event = Event::ResendData(flow, request, DATA_RESEND_DELAY);
        self.queue.add(self.now() + DATA_RESEND_DELAY, event);
    }

    /// Sends the data of a request again if nothing has acknowledged it.
    pub(super) fn resend_data(&mut self, flow: FlowId, request: RequestId, delay: Duration) {
        let CallerFlow { state, request: current, is_acknowledged, .. } = self.flows[flow];
        if state == FlowState::Closed || current != Some(request) || is_acknowledged {
            return;
        }

        self.send(flow, self.flows[flow].data_packet());
        self.queue.add(self.now() + delay * 2, Event::ResendData(flow, request, delay * 2));
    }

    /// Handles what reaches the caller of a flow.
    pub(super) fn on_notice(&mut self, flow: FlowId, notice: Notice) {
        let CallerFlow { state, request, .. } = self.flows[flow];

        match (state, notice) {
            (FlowState::Closed, _) => {}
            (FlowState::Opening, Notice::Opened { server, token }) => {
                self.flows[flow].on_opened(server, token);
                if let Some(request) = request {
                    self.send_request(flow, request);
                }
            }
            (FlowState::Opening, Notice::Refused | Notice::Reset) => {
                self.end_attempt(flow, AttemptEnd::Refused);
            }
            (FlowState::Open(_), Notice::Reset) => self.end_attempt(flow, AttemptEnd::Broken),
            (FlowState::Open(_), Notice::Received(received)) if request == Some(received) => {
                self.flows[flow].is_acknowledged = true;
            }
            (FlowState::Open(_), Notice::Answered { request: answered, is_rejection })
                if request == Some(answered) =>
            {
                self.on_answer(flow, answered, is_rejection);
            }
            _ => {}
        }
    }

    fn on_answer(&mut self, flow: FlowId, request: RequestId, is_rejection: bool) {
        let now = self.now();
        let bytes = if is_rejection { REJECTION_BYTES } else { ANSWER_BYTES };
        self.flows[flow].on_answer(bytes, now);
        let is_last = is_rejection || self.flows[flow].requests_left == 0;

        self.send(flow, CallerPacket { closing: is_last, ..self.flows[flow].packet() });
        if !is_rejection {
            self.end_request(request, RequestEnd::Answered);
        }
        if !is_last {
            self.idle_flows.push_back(flow);
            return;
        }
        if is_rejection {
            self.flows[flow].request = Some(request);
            self.end_attempt(flow, AttemptEnd::Rejected);
        }
        self.flows[flow].state = FlowState::Closed;
    }

    /// Closes a flow whose attempt has ended without an answer, and retries its request if that is
    /// allowed.
    fn end_attempt(&mut self, flow: FlowId, end: AttemptEnd) {
        self.flows[flow].state = FlowState::Closed;
        let Some(request) = self.flows[flow].request.take() else { return };
        let CallerRequest { class, retries_left, is_over, .. } = self.requests[request];
        if is_over {
            return;
        }

        let may_repeat = end != AttemptEnd::Broken || CLASSES[class].is_repeatable();
        if may_repeat && retries_left > 0 {
            self.requests[request].retries_left -= 1;
            self.open_flow(request);
            return;
        }
        let is_refused = matches!(end, AttemptEnd::Refused | AttemptEnd::Rejected);
        let end = if is_refused { RequestEnd::Refused } else { RequestEnd::Failed };
        self.end_request(request, end);
    }

    /// Gives up a request whose deadline has passed, and ends its flow.
    pub(super) fn expire(&mut self, request: RequestId) {
        if self.requests[request].is_over {
            return;
        }

        self.end_request(request, RequestEnd::Failed);
        let flow = self.requests[request].flow;
        if matches!(self.flows[flow].state, FlowState::Open(_)) {
            self.send(flow, CallerPacket { reset: true, ..self.flows[flow].packet() });
        }
        self.flows[flow].state = FlowState::Closed;
    }

    fn end_request(&mut self, request: RequestId, end: RequestEnd) {
        self.requests[request].is_over = true;
        let CallerRequest { class, started_at, .. } = self.requests[request];
        let Some(measured_at) = started_at.checked_sub(self.origin) else { return };

        self.tally.count_request(class, measured_at, end, self.now() - started_at);
    }
}
