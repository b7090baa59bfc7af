//! Events that callers and backend servers observe, and stalls of the soak test itself.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::FlowAddresses;
use valvestage_standins::packets::RequestId;

/// Event with the time at which it was observed.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// When the event was observed.
    pub at: Instant,
    /// Event that was observed.
    pub event: ObservedEvent,
}

/// Event that callers, backend servers or stall detectors observe.
#[derive(Debug, Clone, PartialEq)]
pub enum ObservedEvent {
    /// A caller sent the first opening packet of a flow.
    Started {
        /// Addresses of the flow.
        flow: FlowAddresses,
    },
    /// A flow opened at a backend server.
    Opened {
        /// Addresses of the flow.
        flow: FlowAddresses,
        /// Instance of the backend server.
        instance: InstanceId,
        /// Balancer that sent the flow's opening packet to the backend server.
        balancer: usize,
        /// When the opening packet arrived.
        arrived: Instant,
    },
    /// A packet of an open flow reached its backend server.
    Delivered {
        /// Addresses of the flow.
        flow: FlowAddresses,
    },
    /// A packet of a flow reached a backend server that does not have the flow.
    Misrouted {
        /// Addresses of the flow.
        flow: FlowAddresses,
        /// Instance of the backend server that the packet reached.
        instance: InstanceId,
        /// Balancer that sent the packet there.
        balancer: usize,
    },
    /// A backend server started to process a request.
    Executed {
        /// Id of the request.
        request: RequestId,
        /// Whether the request may be executed more than once.
        repeatable: bool,
    },
    /// A balancer reset a flow.
    Reset {
        /// Addresses of the flow.
        flow: FlowAddresses,
        /// Whether the flow was open from the caller's point of view.
        open: bool,
        /// Balancer that sent the reset.
        balancer: usize,
    },
    /// A caller closed or abandoned a flow.
    Closed {
        /// Addresses of the flow.
        flow: FlowAddresses,
    },
    /// A caller received an answer.
    Answered {
        /// Id of the request.
        request: RequestId,
        /// Whether every byte of the answer belongs to the request.
        whole: bool,
        /// When the first attempt of the request began.
        began: Instant,
        /// Service address that the request was sent to.
        address: SocketAddrV4,
    },
    /// A caller abandoned a request.
    Failed {
        /// Id of the request.
        request: RequestId,
        /// When the first attempt of the request began.
        began: Instant,
        /// Service address that the request was sent to.
        address: SocketAddrV4,
    },
    /// A packet is not as its sender wrote it.
    Altered,
    /// A thread of the soak test itself stalled, so that it may have caused apparent violations.
    Stalled {
        /// Time since the previous iteration of the thread.
        time: Duration,
    },
}

/// Passes observations to `handle` until a time, and then those already queued at that time.
///
/// Observations that arrive while the queued ones are processed are left for the next call. Under
/// load new ones keep arriving, so a call that drained the queue would never return to the run's
/// other work.
pub fn receive_until(
    observations: &Receiver<Observation>,
    until: Instant,
    mut handle: impl FnMut(Observation),
) {
    while Instant::now() < until
        && let Ok(observation) = observations.recv_deadline(until)
    {
        handle(observation);
    }

    for observation in observations.try_iter().take(observations.len()) {
        handle(observation);
    }
}

/// Shortest time between two iterations of a thread of the soak test that counts as a stall.
/// Callers retransmit after 200 ms, so a longer gap could look like a fault of a balancer.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Detector of stalls of one thread of the soak test.
pub struct StallDetector {
    last_tick: Instant,
    observations: Sender<Observation>,
}

impl StallDetector {
    /// Creates a detector whose first interval starts now, and which reports stalls to
    /// `observations`.
    #[must_use]
    pub fn new(observations: Sender<Observation>) -> Self {
        Self { last_tick: Instant::now(), observations }
    }

    /// Reports a stall if the previous call is too long ago, and returns the current time. The
    /// thread calls this in each iteration of its loop.
    pub fn tick(&mut self) -> Instant {
        let now = Instant::now();
        let time = now - std::mem::replace(&mut self.last_tick, now);

        if time >= STALL_THRESHOLD {
            // The receiver is gone at the end of the run.
            let _ = self
                .observations
                .send(Observation { at: now, event: ObservedEvent::Stalled { time } });
        }
        now
    }
}
