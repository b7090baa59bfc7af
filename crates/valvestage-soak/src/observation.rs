//! What callers and backend servers see.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::FlowAddresses;
use valvestage_standins::packets::RequestId;

/// `Observation` is one thing that was seen, with when.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// When.
    pub at: Instant,
    /// What.
    pub seen: SeenEvent,
}

/// `SeenEvent` is what was seen.
#[derive(Debug, Clone, PartialEq)]
pub enum SeenEvent {
    /// A caller sent the first opening packet of a flow.
    Begun {
        /// The flow.
        flow: FlowAddresses,
    },
    /// A flow opened at a backend server.
    Opened {
        /// The flow.
        flow: FlowAddresses,
        /// Where.
        instance: InstanceId,
        /// The balancer that sent its opening packet there.
        balancer: usize,
        /// When that packet came.
        arrived: Instant,
    },
    /// A packet of an open flow reached its backend server.
    Reached {
        /// The flow.
        flow: FlowAddresses,
    },
    /// A packet of a flow reached a backend server that does not hold it.
    Strayed {
        /// The flow.
        flow: FlowAddresses,
        /// The backend server.
        instance: InstanceId,
        /// The balancer that sent it there.
        balancer: usize,
    },
    /// A backend server began to work on a request.
    Ran {
        /// The request.
        request: RequestId,
        /// Whether it may run again.
        repeatable: bool,
    },
    /// A balancer ended a flow.
    Reset {
        /// The flow.
        flow: FlowAddresses,
        /// Whether it was open.
        open: bool,
        /// The balancer.
        balancer: usize,
    },
    /// A caller has ended a flow, or given it up.
    Closed {
        /// The flow.
        flow: FlowAddresses,
    },
    /// A caller got an answer.
    Answered {
        /// The request.
        request: RequestId,
        /// Whether every byte of it belongs to the request.
        whole: bool,
        /// When the request began.
        began: Instant,
        /// The address that it was sent to.
        address: SocketAddrV4,
    },
    /// A caller gave a request up.
    Failed {
        /// The request.
        request: RequestId,
        /// When it began.
        began: Instant,
        /// The address that it was sent to.
        address: SocketAddrV4,
    },
    /// A packet is not as its sender wrote it.
    Forged,
    /// A part of the soak itself stood still: what others seem to have missed may be its own doing.
    Stalled {
        /// For how long.
        time: Duration,
    },
}

/// `receive_until` takes in what is seen until a time, and what waits then.
///
/// What comes while it takes in the rest is left for the next call. On a busy machine there is always
/// something, and the run has other things to do.
pub fn receive_until(
    observations: &Receiver<Observation>,
    until: Instant,
    mut take: impl FnMut(Observation),
) {
    while Instant::now() < until
        && let Ok(observation) = observations.recv_deadline(until)
    {
        take(observation);
    }

    for observation in observations.try_iter().take(observations.len()) {
        take(observation);
    }
}

/// A gap between two turns of the soak's own threads from which on they stood still. Callers send
/// again after 200 ms.
const STALL: Duration = Duration::from_millis(100);

/// `StallWatch` notices that a thread of the soak stood still.
pub struct StallWatch {
    last_turn: Instant,
    observations: Sender<Observation>,
}

impl StallWatch {
    /// `new` begins now.
    #[must_use]
    pub fn new(observations: Sender<Observation>) -> Self {
        Self { last_turn: Instant::now(), observations }
    }

    /// `turn` is called at each turn of the thread, and gives the time.
    pub fn turn(&mut self) -> Instant {
        let now = Instant::now();
        let time = now - std::mem::replace(&mut self.last_turn, now);

        if time >= STALL {
            // Nobody listens any more at the end of the run.
            let _ =
                self.observations.send(Observation { at: now, seen: SeenEvent::Stalled { time } });
        }
        now
    }
}
