//! Balancers that get no processor time for moments: what arrives meanwhile waits.

use valvestage_policy::steering::seeded_draw::SeededDraw;

use super::World;
use crate::events::{BalancerNumber, Millis};
use crate::fault::{Fault, FaultKind};

/// Shortest time without processor time, and the limit of the time with it between two stalls, in
/// milliseconds.
const MIN_STALL_MS: usize = 40;
const MAX_BURST_MS: usize = 30;

/// Returns the stalls of one balancer during a fault. In between it runs for moments.
pub fn stalls(balancer: BalancerNumber, fault: &Fault, stall_ms: usize) -> Vec<Fault> {
    let number = u64::try_from(balancer).expect("the number fits");
    let mut draw = SeededDraw::new(fault.at ^ (number << 32));
    let millis = |number: usize| Millis::try_from(number).expect("the number fits");
    let mut stalls = Vec::new();
    let mut at = fault.at;

    while at < fault.at + fault.for_ms {
        let for_ms = millis(MIN_STALL_MS + draw.below(stall_ms - MIN_STALL_MS));
        stalls.push(Fault { kind: FaultKind::Stall(balancer), at, for_ms });
        at += for_ms + millis(1 + draw.below(MAX_BURST_MS));
    }
    stalls
}

impl World {
    /// Takes the processor from a balancer until a time. The time bounds do not apply to it then,
    /// but nothing excuses that it resets open flows.
    pub(super) fn stall(&mut self, balancer: BalancerNumber, until: Millis) {
        let node = &mut self.balancers[balancer];

        node.paused_until = node.paused_until.max(until);
        node.disturbed_at = node.disturbed_at.max(until);
    }
}
