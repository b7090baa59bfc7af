//! Oracles that check the balancers' knowledge, opening packets, and the state at the end.

use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::BackendPhase;

use super::{END_AT, PROBE_INTERVAL, ROUTER_PROBE_INTERVAL, World};
use crate::events::{BalancerNumber, Event, FlowNumber, Millis};
use crate::mutation::Mutation;
use crate::oracles::{
    CALM_AFTER, KNOWN_WITHIN, MAX_CALLS, MAX_FOLLOWERS, MAX_MESSAGES_EACH, Oracle,
};

impl World {
    pub(super) fn probe(&mut self) {
        if self.now < END_AT {
            self.queue.add(self.now + PROBE_INTERVAL, Event::Probe);
        }

        for balancer in 0..self.plan.balancers {
            if self.now % ROUTER_PROBE_INTERVAL < PROBE_INTERVAL {
                let is_ready = self.balancers[balancer].is_ready(self.now);
                self.router.on_probe(balancer, is_ready);
            }
            self.check_version(balancer);
            self.check_incarnations(balancer);
        }
    }

    /// Checks that no undisturbed balancer takes an incarnation for running although its successor
    /// has been in the store for longer than `KNOWN_WITHIN`.
    fn check_incarnations(&mut self, balancer: BalancerNumber) {
        if !self.is_undisturbed(balancer) {
            return;
        }
        let Some(policy) = &self.balancers[balancer].policy else { return };
        let directory = &policy.knowledge().directory;

        let is_known = |successor: &InstanceId| {
            let entry_stored_at = self.backends[successor].entry_stored_at;
            entry_stored_at.is_some_and(|at| at + KNOWN_WITHIN < self.now)
        };
        let superseded =
            self.backends.values().filter(|old| old.successor.as_ref().is_some_and(is_known));
        let mut stale = superseded
            .filter(|old| directory.get(old.instance).is_some_and(|entry| !entry.is_gone()));
        if let Some(old) = stale.next() {
            let what = format!(
                "balancer {balancer} takes {:x}, which has a successor, for running",
                old.instance
            );
            self.record_violation(Oracle::BirthsAreKnown, what);
        }
    }

    fn check_version(&mut self, balancer: BalancerNumber) {
        let node = &self.balancers[balancer];
        let Some(policy) = &node.policy else { return };
        let mut version = policy.knowledge().routes.version;
        if self.mutation == Some(Mutation::RevertRoutes) && self.now > 20_000 {
            version = version.saturating_sub(2);
        }

        let highest = node.highest_version;
        if version < highest {
            let what = format!("balancer {balancer} has version {version} after {highest}");
            self.record_violation(Oracle::RoutesStay, what);
        }
        self.balancers[balancer].highest_version = version.max(highest);
        let due = self.acknowledged.iter().rfind(|(_, at)| at + KNOWN_WITHIN < self.now);
        if let Some((due, at)) = due.copied()
            && version < due
            && self.is_undisturbed(balancer)
        {
            let what = format!(
                "balancer {balancer} has version {version}, but {due} was acknowledged at {at} ms"
            );
            self.record_violation(Oracle::RoutesInTime, what);
        }
    }

    /// Reports whether neither the balancer nor the store had a fault in the last `CALM_AFTER`.
    fn is_undisturbed(&self, balancer: BalancerNumber) -> bool {
        let is_calm = |disturbed_at: Millis| disturbed_at + CALM_AFTER <= self.now;

        is_calm(self.balancers[balancer].disturbed_at) && is_calm(self.store_disturbed_at)
    }

    /// Checks an opening packet that reaches a backend server: no undisturbed balancer may send one
    /// to a backend server that has drained for longer than `KNOWN_WITHIN`, unless every other
    /// backend server of the service has ended or drains too.
    pub(super) fn check_drain(
        &mut self,
        through: BalancerNumber,
        instance: InstanceId,
        sent_at: Millis,
    ) {
        let backend = &self.backends[&instance];
        let Some(since) = backend.drain_stored_at else { return };
        let service = backend.service;
        let takes_flows = |other: &&crate::backends::Backend| {
            other.service == service && !other.has_ended && other.draining_since.is_none()
        };
        let has_others = self.backends.values().any(|other| takes_flows(&other));

        if sent_at > since + KNOWN_WITHIN && has_others && self.is_undisturbed(through) {
            let what =
                format!("balancer {through} sends to {instance:x}, draining since {since} ms");
            self.record_violation(Oracle::DrainsAreKept, what);
        }
    }

    /// Checks an opening packet that reaches a backend server: no undisturbed balancer may send one
    /// to a zone that has been evacuated for longer than `KNOWN_WITHIN`.
    pub(super) fn check_evacuation(
        &mut self,
        through: BalancerNumber,
        instance: InstanceId,
        sent_at: Millis,
    ) {
        let zone = self.backends[&instance].zone;
        let Some(since) = self.evacuated_since[zone] else { return };

        if sent_at > since + KNOWN_WITHIN && self.is_undisturbed(through) {
            let what = format!(
                "balancer {through} sends to {instance:x} in zone {zone}, evacuated since {since} ms"
            );
            self.record_violation(Oracle::EvacuationsAreKept, what);
        }
    }

    /// Checks an opening packet that reaches a backend server against the rate limit, if the
    /// backend server is cold. Retransmissions of an opening packet whose flow is already known are
    /// not counted.
    pub(super) fn check_cold_rate(
        &mut self,
        instance: InstanceId,
        flow: FlowNumber,
        sent_at: Millis,
    ) {
        /// Window of the rate: it counts packets that were both sent and received within it.
        const WINDOW: Millis = 1_000;
        let Some(places) = self.plan.places else { return };
        let now = self.now;
        let backend = self.backends.get_mut(&instance).expect("the backend server exists");
        let is_cold = backend.cold_until.is_some_and(|until| until > now);
        if !is_cold || backend.flows.contains_key(&flow) {
            return;
        }

        backend.cold_openings.push((sent_at, now));
        let counts = |(sent, _): &&(Millis, Millis)| *sent + WINDOW >= now;
        let count = backend.cold_openings.iter().filter(counts).count();
        let allowed = places.limit.allowed(places.rate);
        if f64::from(u32::try_from(count).expect("the count fits")) > allowed {
            let what = format!(
                "{instance:x} gets {count} opening packets in a second, of {allowed} allowed"
            );
            self.record_violation(Oracle::ColdRatesAreKept, what);
        }
    }

    /// Checks the promises about the state some seconds after the last fault.
    pub(super) fn check_end(&mut self) {
        self.check_knowledge();
        let followers = self.balancers.iter().filter_map(|node| node.policy.as_ref());
        let followers = followers.filter(|policy| policy.keeper().is_watching()).count();
        if followers > MAX_FOLLOWERS || self.final_calls > MAX_CALLS {
            let what = format!(
                "{followers} balancers follow the store, {} calls in the final phase",
                self.final_calls
            );
            self.record_violation(Oracle::FewFollowers, what);
        }
        for balancer in 0..self.plan.balancers {
            let sent = self.balancers[balancer].final_messages;
            if sent > MAX_MESSAGES_EACH {
                let what = format!("balancer {balancer} sent {sent} messages in the final phase");
                self.record_violation(Oracle::FewMessages, what);
            }
        }
    }

    fn check_knowledge(&mut self) {
        for balancer in 0..self.plan.balancers {
            if !self.balancers[balancer].is_member {
                continue;
            }
            if let Some(what) = self.find_difference(balancer) {
                self.record_violation(Oracle::KnowledgeConverges, what);
            }
        }
    }

    /// Returns the first difference between a balancer's knowledge and the store, if any.
    fn find_difference(&self, balancer: BalancerNumber) -> Option<String> {
        let Some(policy) = &self.balancers[balancer].policy else {
            return Some(format!("balancer {balancer} is down"));
        };
        let knowledge = policy.knowledge();
        let version = knowledge.routes.version;
        if version != self.store.routes.version {
            return Some(format!("balancer {balancer} has version {version}"));
        }
        if knowledge.routes.routes != self.store.routes.routes {
            return Some(format!("balancer {balancer} has other routes in version {version}"));
        }

        let evacuated = knowledge.evacuated.zones();
        if self.plan.places.is_some() && *evacuated != self.store.evacuated {
            return Some(format!(
                "balancer {balancer} takes the zones {evacuated:?} for evacuated"
            ));
        }
        for (instance, entry) in &self.store.entries {
            let known = knowledge.directory.get(*instance);
            let is_known = known
                .is_some_and(|known| known.phase == entry.phase && known.missing_until.is_none());
            if !is_known {
                return Some(format!(
                    "balancer {balancer} does not have the entry of {instance:x}: {known:?}"
                ));
            }
        }
        let is_stale = |instance: &InstanceId| !self.store.entries.contains_key(instance);
        let present = knowledge.directory.iter();
        let present = present.filter(|entry| !matches!(entry.phase, BackendPhase::Gone { .. }));
        let stale = present.map(|entry| entry.instance).find(|instance| is_stale(instance));
        stale.map(|instance| format!("balancer {balancer} takes {instance:x} for running"))
    }
}
