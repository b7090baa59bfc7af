//! What happens when.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::{CallerPacket, PeerMessage};

/// Simulated time, milliseconds from the start.
pub type Millis = u64;

/// Number of a balancer.
pub type BalancerNumber = usize;

/// Number of a caller's flow.
pub type FlowNumber = usize;

/// One thing that happens.
#[derive(Debug)]
pub enum Event {
    /// A balancer looks at what is due.
    Wake(BalancerNumber),
    /// A message of another balancer arrives.
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
    /// A backend server has done its work.
    Worked(InstanceId, FlowNumber),
    /// Something arrives at a caller.
    Answer(FlowNumber, Answer),
    /// A caller looks at one of its flows.
    CallerTimer(FlowNumber),
    /// A caller begins.
    CallerStart(usize),
    /// The store looks at its calls, and entries at their age.
    StoreScan,
    /// Routers ask balancers whether they are ready; oracles look at them.
    Probe,
    /// The operator writes again what the store has lost.
    OperatorWrites,
    /// A fault begins.
    FaultBegins(usize),
    /// It ends.
    FaultEnds(usize),
}

/// What arrives at a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Its flow may open at a backend server.
    Opened { instance: InstanceId, token: u32 },
    /// An answer to its request.
    Data { token: u32, is_last: bool },
    /// The backend server does not hold the flow.
    BackendReset,
    /// A balancer ends the flow.
    BalancerReset(BalancerNumber),
}

/// An event with its time; those of one moment come in the order in which they were added.
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

/// All that is still to happen.
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
