//! Load generator: the flows and requests of all callers, on one socket.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime};

use valvestage_core::Outcome;
use valvestage_core::ids::RequestId;
use valvestage_wire::Envelope;
use valvestage_wire::envelope::{decode, encode};

use super::caller_options::{CallerOptions, ServiceLoad};
use super::caller_summary::CallerSummary;
use super::flow_caller::FlowCaller;
use super::request_caller::{RequestCaller, RequestParameters, RequestResult};
use crate::seeded_rng::SeededRng;

/// First source address of callers, from the range that RFC 2544 reserves for benchmarks.
const FIRST_CALLER_ADDRESS: u32 = 0xc612_0000;

/// Number of source ports used on each address of callers.
const PORTS_PER_ADDRESS: u32 = 50_000;

/// Time after the end of the load in which packets still under way are received.
const GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Size of the receive buffer; no datagram is longer.
const BUFFER_BYTES: usize = 2_048;

/// Action scheduled for a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledAction {
    SendFlow(usize),
    SendRequest(usize),
    ResendRequest(RequestId),
}

struct LoadGenerator {
    options: CallerOptions,
    socket: UdpSocket,
    rng: SeededRng,
    schedule: BinaryHeap<Reverse<(Instant, ScheduledAction)>>,
    flows: Vec<FlowCaller>,
    flow_by_caller: HashMap<SocketAddr, usize>,
    requests: HashMap<RequestId, RequestCaller>,
    caller_count: u32,
    resent: u64,
    end: Instant,
}

/// Runs the load and returns the results as the callers saw them.
pub fn run(options: CallerOptions) -> io::Result<CallerSummary> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    let end = Instant::now() + options.duration;
    let rng = SeededRng::new(options.seed);
    let mut generator = LoadGenerator {
        options,
        socket,
        rng,
        schedule: BinaryHeap::new(),
        flows: Vec::new(),
        flow_by_caller: HashMap::new(),
        requests: HashMap::new(),
        caller_count: 0,
        resent: 0,
        end,
    };

    generator.schedule_initial_actions();
    generator.run_until_done()?;
    Ok(generator.summary())
}

impl LoadGenerator {
    /// Schedules the opening of each flow at a random time within the first second, and the first
    /// request to each service at once. Each request schedules the next after an exponentially
    /// distributed time.
    fn schedule_initial_actions(&mut self) {
        let start = Instant::now();
        let services: Vec<ServiceLoad> = self.options.services.clone();

        for (index, service) in services.iter().enumerate() {
            for _ in 0..service.flows {
                let caller = self.next_caller_address();
                let echoes_token = self.rng.next_f64() < self.options.echoing_share;
                let at = start + Duration::from_secs(1).mul_f64(self.rng.next_f64());
                let flow = FlowCaller::new(caller, service.address, echoes_token, at);
                self.flow_by_caller.insert(caller, self.flows.len());
                self.schedule.push(Reverse((at, ScheduledAction::SendFlow(self.flows.len()))));
                self.flows.push(flow);
            }
            if service.requests_per_second > 0.0 {
                self.schedule.push(Reverse((start, ScheduledAction::SendRequest(index))));
            }
        }
    }

    fn next_caller_address(&mut self) -> SocketAddr {
        let number = self.caller_count;
        self.caller_count += 1;
        let port = u16::try_from(number % PORTS_PER_ADDRESS).unwrap_or(0) + 1_024;

        SocketAddr::new(
            Ipv4Addr::from(FIRST_CALLER_ADDRESS + number / PORTS_PER_ADDRESS).into(),
            port,
        )
    }

    fn run_until_done(&mut self) -> io::Result<()> {
        let mut buffer = [0; BUFFER_BYTES];

        while Instant::now() < self.end + GRACE_PERIOD + self.options.request_timeout {
            self.send_due();
            if Instant::now() > self.end + GRACE_PERIOD
                && self.requests.values().all(|r| r.result.is_some())
            {
                break;
            }

            let next = self.schedule.peek().map(|Reverse((at, _))| *at - Instant::now().min(*at));
            let wait = next.unwrap_or(GRACE_PERIOD / 10);
            let wait = wait.clamp(Duration::from_micros(50), Duration::from_millis(20));
            self.socket.set_read_timeout(Some(wait))?;
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.on_datagram(&buffer[..length]);
            }
        }
        Ok(())
    }

    fn send_due(&mut self) {
        let now = Instant::now();

        while let Some(Reverse((at, action))) = self.schedule.peek().copied() {
            if at > now {
                return;
            }
            self.schedule.pop();
            match action {
                ScheduledAction::SendFlow(index) => self.send_flow(now, index),
                ScheduledAction::SendRequest(index) => self.send_request(now, index),
                ScheduledAction::ResendRequest(id) => self.resend_request(now, id),
            }
        }
    }

    fn send_flow(&mut self, now: Instant, index: usize) {
        if now >= self.end {
            return;
        }

        self.send(&self.flows[index].next_packet(b"feed"));
        let at = now + self.options.flow_pause.mul_f64(0.5 + self.rng.next_f64());
        self.schedule.push(Reverse((at, ScheduledAction::SendFlow(index))));
    }

    fn send_request(&mut self, now: Instant, index: usize) {
        if now >= self.end {
            return;
        }

        let service = self.options.services[index];
        let parameters = RequestParameters {
            id: u128::from(self.rng.next_u64()) << 64 | u128::from(self.rng.next_u64()),
            caller: self.next_caller_address(),
            service: service.address,
            deadline: SystemTime::now() + self.options.request_timeout,
            repeatable: self.rng.next_f64() >= self.options.non_repeatable_share,
        };
        let request = RequestCaller::new(parameters, now);
        self.send(&request.packet(b"request"));
        self.schedule.push(Reverse((
            now + self.options.resend_pause,
            ScheduledAction::ResendRequest(parameters.id),
        )));
        self.requests.insert(parameters.id, request);

        let mean = Duration::from_secs(1).div_f64(service.requests_per_second);
        let at = now + self.rng.exponential(mean);
        self.schedule.push(Reverse((at, ScheduledAction::SendRequest(index))));
    }

    fn resend_request(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.result.is_some() || request.deadline <= SystemTime::now() {
            return;
        }

        self.send(&request.packet(b"request"));
        self.resent += 1;
        self.schedule
            .push(Reverse((now + self.options.resend_pause, ScheduledAction::ResendRequest(id))));
    }

    fn send(&self, envelope: &Envelope<'_>) {
        if let Ok(datagram) = encode(envelope) {
            let _ = self.socket.send_to(&datagram, self.options.fabric);
        }
    }

    fn on_datagram(&mut self, datagram: &[u8]) {
        let Ok(envelope) = decode(datagram) else {
            return;
        };
        let now = Instant::now();

        if let Some(id) = envelope.header.request {
            if let Some(request) = self.requests.get_mut(&id) {
                request.on_packet(&envelope, now);
            }
        } else if let Some(index) = self.flow_by_caller.get(&envelope.caller) {
            self.flows[*index].on_packet(&envelope, now);
        }
    }

    fn summary(&self) -> CallerSummary {
        let mut summary = CallerSummary { resent: self.resent, ..CallerSummary::default() };

        for flow in &self.flows {
            count_flow(&mut summary, flow, self.end);
        }
        let mut times = Vec::new();
        for request in self.requests.values() {
            count_request(&mut summary, request, &mut times);
        }
        summary.set_percentiles(times);
        summary
    }
}

fn count_flow(summary: &mut CallerSummary, flow: &FlowCaller, end: Instant) {
    summary.flow_answers += flow.answers;

    match (flow.is_open(), flow.is_broken(end), flow.echoes_token) {
        (false, ..) => summary.never_opened += 1,
        (true, false, true) => summary.kept_echoing += 1,
        (true, false, false) => summary.kept_silent += 1,
        (true, true, true) => summary.broken_echoing += 1,
        (true, true, false) => summary.broken_silent += 1,
    }
}

fn count_request(summary: &mut CallerSummary, request: &RequestCaller, times: &mut Vec<f64>) {
    summary.requests += 1;
    summary.contradicted += u64::from(request.has_contradiction);
    summary.foreign_answers += u64::from(request.has_foreign_answer);

    match request.result {
        Some(RequestResult::Answered(at)) => {
            summary.answered += 1;
            times.push((at - request.started).as_secs_f64() * 1_000.0);
        }
        Some(RequestResult::Refused(Outcome::NotRun)) => {
            summary.not_run += 1;
            if !request.repeatable {
                summary.not_run_ids.push(format!("{:032x}", request.id));
            }
        }
        Some(RequestResult::Refused(Outcome::InDoubt)) => summary.in_doubt += 1,
        None => summary.untold += 1,
    }
}
