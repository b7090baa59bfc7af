//! Flows that were refused a moment ago.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::steering::packets::caller_packet::FlowAddresses;

/// Time for which a refused flow is remembered. Callers give up 1.4 s after their first opening
/// packet.
const RETENTION: Duration = Duration::from_millis(1_500);

/// Maximum number of flows that are remembered. The resets of further ones are not repeated.
const MAX_FLOWS: usize = 4_096;

/// Remembers refused flows, so that a copy of a refused opening packet is refused too although the
/// shares have changed.
#[derive(Debug, Default)]
pub(super) struct RefusedFlows {
    /// Each flow with the time until which it is remembered.
    until: HashMap<FlowAddresses, Instant>,
}

impl RefusedFlows {
    /// Records that a flow was refused.
    pub(super) fn add(&mut self, flow: FlowAddresses, now: Instant) {
        if self.until.len() < MAX_FLOWS {
            self.until.insert(flow, now + RETENTION);
        }
    }

    /// Reports whether a flow was refused within the retention time.
    pub(super) fn contains(&self, flow: &FlowAddresses, now: Instant) -> bool {
        self.until.get(flow).is_some_and(|until| *until > now)
    }

    /// Forgets the flows whose retention time has ended.
    pub(super) fn forget(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
