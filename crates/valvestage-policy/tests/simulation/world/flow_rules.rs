//! The oracle of open flows, which applies the excuses of the rules.

use valvestage_core::ids::InstanceId;

use super::World;
use crate::events::{BalancerNumber, FlowNumber, Millis};
use crate::oracles::{CONTACT_TIME, Oracle};

impl World {
    /// Checks a balancer's reset of an open flow: its backend server holds the flow as open, and
    /// nothing excuses the reset. How long the flow has rested does not matter.
    pub(super) fn check_open_flow_reset(
        &mut self,
        balancer: BalancerNumber,
        number: FlowNumber,
        instance: InstanceId,
    ) {
        if !self.plan.judges_by_rules() || self.is_reset_excused(balancer, number, instance) {
            return;
        }

        let rested = self.now - self.flows[number].last_answer_at;
        let what = format!(
            "balancer {balancer} resets flow {number} at {instance:x}, answered {rested} ms ago"
        );
        self.record_violation(Oracle::RestingFlowsStay, what);
    }

    /// Reports whether the rules excuse the reset of an open flow. The excuses are:
    ///
    /// - A configuration dropped the flow's address after the flow was opened. The rules do not
    ///   count such flows.
    /// - The backend server was silent within the contact time, or its zone was cut off. The rules
    ///   ask for a backend server that lives, without a disruption of itself or its links.
    /// - The caller's link lost datagrams within the contact time. Backend servers answer callers
    ///   directly, so this is a disruption of one of the backend server's links, but only for the
    ///   flows of this caller. Those of other callers have no excuse.
    /// - The balancer that sends the reset, or the one that took the flow's last packet, had an
    ///   unplanned fault within the contact time: it is not in touch then. A fault of any other
    ///   balancer is no excuse, nor is planned work: a start as an added balancer, balancers that
    ///   leave, and new configurations.
    /// - The store had a disruption within the contact time: no balancer is in touch then.
    ///
    /// The rules have two more, for flows that are idle for longer than the idle timeout or too
    /// old. No simulated flow is either.
    fn is_reset_excused(
        &self,
        balancer: BalancerNumber,
        number: FlowNumber,
        instance: InstanceId,
    ) -> bool {
        let flow = &self.flows[number];
        let backend = &self.backends[&instance];
        let taker = flow.last_balancer.unwrap_or(balancer);
        let last_disruptions = [
            backend.silent_until,
            self.zone_cut_until[backend.zone],
            self.link_lost_until(number),
            self.balancers[balancer].unplanned_until,
            self.balancers[taker].unplanned_until,
            self.store_disturbed_at,
        ];
        let is_recent = |until: Millis| until > 0 && until + CONTACT_TIME > self.now;
        let dropped_at = self.dropped_at.get(&flow.addresses.service);

        backend.has_ended
            || last_disruptions.into_iter().any(is_recent)
            || dropped_at.is_some_and(|at| *at >= flow.opened_at)
    }
}
