//! Simulated time, and the events of a simulation in the order of their times.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::{CallerPacket, PeerMessage};

/// Simulated time in milliseconds, as a duration or since the start of the simulation.
pub type Millis = u64;

/// Index of a balancer, from 0.
pub type BalancerNumber = usize;

/// Index of a caller's flow, from 0 in the order of opening.
pub type FlowNumber = usize;

/// An event of the simulation.
#[derive(Debug)]
pub enum Event {
    /// A balancer's timer fires.
    Wake(BalancerNumber),
    /// A message arrives, with its sender and its receiver.
    Message(BalancerNumber, BalancerNumber, PeerMessage),
    /// A caller's packet arrives at a balancer.
    Packet(BalancerNumber, FlowNumber, CallerPacket),
    /// A forwarded packet arrives at a backend server.
    Forwarded {
        through: BalancerNumber,
        instance: InstanceId,
        flow: FlowNumber,
        packet: CallerPacket,
        token: u32,
        sent_at: Millis,
    },
    /// A backend server has finished a request.
    RequestDone(InstanceId, FlowNumber),
    /// A packet arrives at a caller.
    Answer(FlowNumber, Answer),
    /// A timer of a caller's flow fires.
    CallerTimer(FlowNumber),
    /// A caller opens a flow.
    CallerStart(usize),
    /// The store answers due calls, and entries are written or lapse.
    StoreScan,
    /// Routers probe the readiness of balancers, and oracles check their knowledge.
    Probe,
    /// The operator writes again what a restore of the store has lost.
    OperatorRewrites,
    /// A fault begins, given by its index in the fault plan.
    FaultBegins(usize),
    /// A fault ends, given by its index in the fault plan.
    FaultEnds(usize),
}

/// A packet that arrives at a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// A backend server accepts the flow.
    Opened { instance: InstanceId, token: u32 },
    /// The answer to the open request; `is_last` if the backend server closes the flow with it.
    Data { token: u32, is_last: bool },
    /// A reset by a backend server that does not know the flow.
    BackendReset,
    /// A reset by a balancer.
    BalancerReset(BalancerNumber),
}

/// An event with its time. Events of the same time are handled in the order of insertion.
struct TimedEvent {
    at: Millis,
    number: u64,
    event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The pending events, earliest first.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<TimedEvent>,
    added: u64,
}

impl EventQueue {
    pub fn add(&mut self, at: Millis, event: Event) {
        self.added += 1;
        self.heap.push(TimedEvent { at, number: self.added, event });
    }

    pub fn next(&mut self) -> Option<(Millis, Event)> {
        self.heap.pop().map(|timed| (timed.at, timed.event))
    }
}
