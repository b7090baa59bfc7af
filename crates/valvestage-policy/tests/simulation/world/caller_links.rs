//! Callers' links that lose datagrams.

use super::World;
use crate::events::{FlowNumber, Millis};
use crate::fault::CallerLoss;

/// Present or last loss on one caller's link.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkLoss {
    /// Share of the datagrams that are lost, in percent.
    percent: usize,
    /// Whether the caller's own datagrams are lost, too.
    is_both_ways: bool,
    until: Millis,
}

impl World {
    pub(super) fn begin_caller_loss(&mut self, loss: CallerLoss, until: Millis) {
        let caller = loss.caller % (self.plan.callers_each * self.plan.zones);
        let CallerLoss { percent, is_both_ways, .. } = loss;

        self.link_losses.insert(caller, LinkLoss { percent, is_both_ways, until });
    }

    /// Draws whether a datagram to the caller of a flow is lost.
    pub(super) fn loses_answer(&mut self, flow: FlowNumber) -> bool {
        let loss = self.link_loss(flow).filter(|loss| loss.until > self.now);

        loss.is_some_and(|loss| self.draw.below(100) < loss.percent)
    }

    /// Draws whether a datagram of the caller of a flow is lost.
    pub(super) fn loses_packet(&mut self, flow: FlowNumber) -> bool {
        let is_lossy = |loss: &LinkLoss| loss.is_both_ways && loss.until > self.now;
        let loss = self.link_loss(flow).filter(is_lossy);

        loss.is_some_and(|loss| self.draw.below(100) < loss.percent)
    }

    /// Returns the end of the last loss on the link of a flow's caller; 0 if there was none.
    pub(super) fn link_lost_until(&self, flow: FlowNumber) -> Millis {
        self.link_loss(flow).map_or(0, |loss| loss.until)
    }

    fn link_loss(&self, flow: FlowNumber) -> Option<LinkLoss> {
        self.link_losses.get(&self.flows[flow].caller).copied()
    }
}
