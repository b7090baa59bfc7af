//! A backend server with its slots and queue.

use std::collections::{HashMap, VecDeque};

use super::caller_flow::{FlowId, RequestId};

/// Requests that a backend server processes concurrently.
pub const SLOTS: usize = 2;

/// Requests that wait for a slot at most. A backend server rejects any further one.
pub const QUEUE_LENGTH: usize = 8;

/// Connections that a backend server accepts at most. It is silent to further opening packets.
pub const CONNECTION_LIMIT: u32 = 2_000;

/// What a backend server does with the data of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// The request begins at once.
    Begun,
    /// The request waits for a slot.
    Queued,
    /// The queue is full, and the request will not run.
    Rejected,
    /// The packet is a retransmission.
    Repeated,
}

/// State of one backend server.
#[derive(Debug)]
pub struct BackendServer {
    /// Whether the process runs.
    pub is_up: bool,
    /// Number of starts, which tells the work of ended processes apart.
    pub starts: u32,
    /// Factor on the time of requests.
    pub slow_factor: f64,
    /// Invariant: at most [`SLOTS`].
    busy_slots: usize,
    /// Invariant: at most [`QUEUE_LENGTH`] requests, and none while a slot is free.
    queue: VecDeque<(FlowId, RequestId)>,
    /// Connections, each with the last request received on it.
    flows: HashMap<FlowId, Option<RequestId>>,
}

impl BackendServer {
    /// Creates a running backend server without flows.
    pub fn new() -> Self {
        Self {
            is_up: true,
            starts: 0,
            slow_factor: 1.0,
            busy_slots: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
        }
    }

    /// Ends the process, with all of its flows and requests.
    pub fn stop(&mut self) {
        *self = Self { is_up: false, starts: self.starts + 1, ..Self::new() };
    }

    /// Accepts a connection. Returns false if the limit is reached.
    pub fn open(&mut self, flow: FlowId) -> bool {
        let is_full = self.flows.len() >= CONNECTION_LIMIT as usize;
        if is_full && !self.holds(flow) {
            return false;
        }

        self.flows.entry(flow).or_default();
        true
    }

    /// Ends a connection. A request that has begun on it still runs.
    pub fn close(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
    }

    /// Reports whether a connection is open here.
    pub fn holds(&self, flow: FlowId) -> bool {
        self.is_up && self.flows.contains_key(&flow)
    }

    /// Handles a request that arrives on an open connection.
    pub fn receive(&mut self, flow: FlowId, request: RequestId) -> Intake {
        if self.flows.insert(flow, Some(request)) == Some(Some(request)) {
            return Intake::Repeated;
        }

        if self.busy_slots < SLOTS {
            self.busy_slots += 1;
            Intake::Begun
        } else if self.queue.len() < QUEUE_LENGTH {
            self.queue.push_back((flow, request));
            Intake::Queued
        } else {
            Intake::Rejected
        }
    }

    /// Ends a request, and returns the next one, which begins in its slot.
    pub fn end_request(&mut self) -> Option<(FlowId, RequestId)> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy_slots -= 1;
        }

        next
    }
}
