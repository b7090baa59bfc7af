//! The steering policy, which joins the parts of steering.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ZoneName};

use super::caller_packet::{CallerPacket, DropReason, PacketVerdict};
use super::flow_backend::{current_incarnation, instance_of};
use super::flow_record::{FlowRecord, LivenessSignal};
use super::flow_reset::FlowReset;
use super::flow_tracker::FlowTracker;
use super::packet_verdicts::{forward, no_route_verdict};
use super::reset_scheduler::{PendingReset, ResetScheduler};
use super::unresolved_tokens::UnresolvedTokens;
use crate::steering::admission::admission_policy::AdmissionPolicy;
use crate::steering::decision::{AnswerTime, Decision, DroppedPacket};
use crate::steering::health::backend_observer::BackendObserver;
use crate::steering::health::refutation_queue::SuspicionMessages;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::lapse::LapseDetector;
use crate::steering::load::fleet_load::{FleetLoad, LoadInputs};
use crate::steering::load::load_meter::LoadMeter;
use crate::steering::load::usable_slots::usable_slots;
use crate::steering::peers::peer_message::{
    BalancerReport, HealthReport, PaceReport, ServiceDemand, ServiceLoadReport, SuspicionQuery,
    SuspicionRefutation, SuspicionReport,
};
use crate::steering::peers::peer_table::FORGET_AFTER;
use crate::steering::peers::report_budget::fit_report;
use crate::steering::peers::zone_members::ZoneMembers;
use crate::steering::placement::cold_shares::ColdShares;
use crate::steering::placement::fleet_demand::FleetDemand;
use crate::steering::placement::steering_options::SteeringOptions;

/// Share of its slots in use below which a service has free slots for nearly all requests.
const FREE_BELOW: f64 = 0.5;

/// Policy that decides where each packet of a caller goes.
#[derive(Debug)]
pub struct SteeringPolicy {
    pub(super) options: SteeringOptions,
    pub(super) flows: FlowTracker,
    pub(super) backends: BackendObserver,
    pub(super) demand: FleetDemand,
    pub(super) cold: ColdShares,
    pub(super) load_meter: LoadMeter,
    pub(super) fleet_load: FleetLoad,
    /// `None` if admission control is disabled.
    pub(super) admission: Option<AdmissionPolicy>,
    pub(super) reset_scheduler: ResetScheduler,
    unresolved_tokens: UnresolvedTokens,
    /// Decisions since the last call of [`Self::take_decisions`].
    pub(super) decisions: Vec<Decision>,
    /// Proactive resets since the last call of [`Self::take_resets`].
    resets: Vec<FlowReset>,
}

impl SteeringPolicy {
    /// Creates a policy without any flows. The seed determines the random draws.
    #[must_use]
    pub fn new(options: SteeringOptions, seed: u64) -> Self {
        let backends = BackendObserver::new(seed);
        let backends = if options.shares_pace { backends.with_shared_pace() } else { backends };

        Self {
            admission: options.admission.map(AdmissionPolicy::new),
            options,
            flows: FlowTracker::default(),
            backends,
            demand: FleetDemand::default(),
            cold: ColdShares::default(),
            load_meter: LoadMeter::default(),
            fleet_load: FleetLoad::default(),
            reset_scheduler: ResetScheduler::default(),
            unresolved_tokens: UnresolvedTokens::default(),
            decisions: Vec::new(),
            resets: Vec::new(),
        }
    }

    /// Removes and returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.decisions);

        decisions.extend(self.backends.take_decisions());
        decisions.extend(self.demand.take_decisions());
        decisions.extend(self.admission.iter_mut().flat_map(AdmissionPolicy::take_decisions));
        decisions
    }

    /// Removes and returns the answers seen since the last call.
    pub fn take_answers(&mut self) -> Vec<AnswerTime> {
        self.backends.take_answers()
    }

    /// Removes and returns the proactive resets since the last call. Resets that answer a packet
    /// are not among them: these are the verdicts on their packets.
    pub fn take_resets(&mut self) -> Vec<FlowReset> {
        std::mem::take(&mut self.resets)
    }

    /// Returns the number of flows that have a record.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Drops expired state; to be called about once a second.
    pub fn on_tick(&mut self, knowledge: &mut Knowledge, now: Instant) {
        let idle_timeout = Duration::from_millis(knowledge.routes.idle_timeout_ms);

        self.flows.expire(now, idle_timeout);
        if let Some(before) = now.checked_sub(self.options.gone_retention) {
            knowledge.directory.forget_gone(before);
        }
        self.backends.forget(knowledge, now);
        if let Some(before) = now.checked_sub(FORGET_AFTER) {
            self.demand.forget(before);
            self.fleet_load.forget(before);
        }
        self.reset_scheduler.forget(now);
        if self.options.admission.is_some() {
            self.forget_load(knowledge);
        }
    }

    /// Drops the load of services that have neither a route nor a backend server.
    fn forget_load(&mut self, knowledge: &Knowledge) {
        let services = knowledge.routes.services();
        let is_ready =
            |service: &str| knowledge.directory.ready().of_service(service).next().is_some();
        self.load_meter.forget(|service| services.contains(service) || is_ready(service));
    }

    /// Measures this balancer's load and updates the estimates of the whole deployment's load, given
    /// the number of other known balancers; to be called ten times a second. Does nothing unless
    /// admission control is enabled.
    pub fn update_load(&mut self, knowledge: &Knowledge, peer_count: usize, now: Instant) {
        if self.options.admission.is_none() {
            return;
        }

        let health = self.backends.health();
        let has_free_slots = |service: &str| self.demand.used_share(service) < FREE_BELOW;
        self.load_meter.sample(knowledge, &self.flows, health, has_free_slots, now);
        let inputs = LoadInputs {
            own_zone: &self.options.zone,
            knowledge,
            meter: &self.load_meter,
            usable: usable_slots(&self.options, knowledge, &self.backends, now),
            peer_count,
        };
        self.fleet_load.update(&inputs, now);
    }

    /// Records the load that another balancer has reported.
    pub fn on_peer_load(
        &mut self,
        peer: SocketAddrV4,
        zone: &ZoneName,
        loads: &[ServiceLoadReport],
        now: Instant,
    ) {
        if self.options.admission.is_some() {
            self.fleet_load.on_peer_report(peer, zone, loads, now);
        }
    }

    /// Updates the demand from the requests under way, given the number of other known balancers;
    /// to be called several times a second.
    pub fn update_demand(&mut self, knowledge: &Knowledge, peer_count: usize, now: Instant) {
        let Self { options, flows, backends, demand, .. } = self;

        demand.on_tick(options, knowledge, flows, backends, peer_count, now);
        backends.update_pace(|service| demand.pressure(service).per_slot, now);
    }

    /// Reports whether requests to cold backend servers are limited, so that the members of the
    /// zone have to be known.
    #[must_use]
    pub fn has_cold_limit(&self) -> bool {
        self.options.cold_limit.is_some()
    }

    /// Updates the shares of cold backend servers from the present members of this availability
    /// zone; to be called several times a second.
    pub fn update_cold_shares(
        &mut self,
        knowledge: &Knowledge,
        members: &ZoneMembers,
        now: Instant,
    ) {
        let SteeringOptions { cold_limit, zone, .. } = &self.options;

        self.cold.renew(*cold_limit, knowledge, (zone, members), now);
    }

    /// Drops unresolved tokens whose backend servers are known by now, or that have expired; to be
    /// called several times a second.
    pub fn drop_resolved_tokens(&mut self, knowledge: &Knowledge, now: Instant) {
        self.unresolved_tokens.drop_resolved(&knowledge.directory, now);
    }

    /// Records the demand that another balancer has reported.
    pub fn on_peer_demand(
        &mut self,
        peer: SocketAddrV4,
        zone: &ZoneName,
        demands: &[ServiceDemand],
        now: Instant,
    ) {
        self.demand.on_peer_report(peer, zone, demands, now);
    }

    /// Returns the demand of all known balancers.
    #[must_use]
    pub fn demand(&self) -> &FleetDemand {
        &self.demand
    }

    /// Updates the shares of new flows that are admitted, from the load of each service; to be
    /// called ten times a second.
    pub fn update_admission(&mut self, knowledge: &Knowledge, now: Instant) {
        if let Some(admission) = &mut self.admission {
            admission.update(&knowledge.routes, |service| self.fleet_load.service(service), now);
        }
    }

    /// Returns the admission of new flows; `None` if admission control is disabled.
    #[must_use]
    pub fn admission(&self) -> Option<&AdmissionPolicy> {
        self.admission.as_ref()
    }

    /// Returns the estimated load of each service.
    #[must_use]
    pub fn load(&self) -> &FleetLoad {
        &self.fleet_load
    }

    /// Queues resets for flows whose backend servers have ended, and issues those that are due; to
    /// be called ten times a second.
    pub fn reset_ended_flows(&mut self, knowledge: &mut Knowledge, now: Instant) {
        self.reset_scheduler.on_gone(knowledge.directory.take_newly_gone());
        let detector = LapseDetector {
            own_zone: &self.options.zone,
            knowledge,
            health: self.backends.health(),
            now,
        };

        for PendingReset { reset, instance, reason } in
            self.reset_scheduler.take_due(&mut self.flows, &detector)
        {
            let flow = reset.flow;
            self.resets.push(reset);
            self.decisions.push(Decision::Reset { flow, reason, instance: Some(instance) });
        }
    }

    /// Judges the requests whose answers are overdue; to be called several times a second.
    pub fn judge_overdue(&mut self, knowledge: &Knowledge, now: Instant) {
        self.backends.judge_overdue(knowledge, &mut self.flows, now);
    }

    /// Records that the process was stalled until now. When the packets that arrived meanwhile were
    /// sent is not known. They may be read until `read_until`.
    pub fn on_stall(&mut self, read_until: Instant, now: Instant) {
        self.backends.on_stall(read_until, now);
    }

    /// Records that the process was paused: it was stalled for so long that packets that
    /// acknowledge answers may have been lost. Requests under way therefore do not count against a
    /// backend server.
    pub fn on_pause(&mut self) {
        self.backends.on_pause();
        self.flows.forget_requests();
        self.load_meter.on_pause();
        self.fleet_load.on_pause();
    }

    /// Records what another balancer has seen of backend servers.
    pub fn on_peer_health(&mut self, peer: SocketAddrV4, report: &HealthReport, now: Instant) {
        self.backends.on_report(peer, report, now);
    }

    /// Handles the question of another balancer about backend servers that seem dead to it.
    pub fn on_suspicion_query(&mut self, peer: SocketAddrV4, query: &SuspicionQuery, now: Instant) {
        self.backends.on_query(peer, query, now);
    }

    /// Records the answer of another balancer to a query, or signs of life that it reports later.
    pub fn on_refutation(
        &mut self,
        peer: SocketAddrV4,
        refutation: &SuspicionRefutation,
        now: Instant,
    ) {
        self.backends.on_refutation(peer, refutation, now);
    }

    /// Sets whether other balancers are known, which can be asked about suspicions.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.backends.set_has_peers(has_peers);
    }

    /// Records that another balancer is being told of suspicions.
    pub fn on_told(&mut self, peer: SocketAddrV4, suspects: &[SuspicionReport], now: Instant) {
        self.backends.on_told(peer, suspects, now);
    }

    /// Returns the messages about suspicions that are to be sent now, other than heartbeats.
    pub fn take_suspicion_messages(&mut self, now: Instant) -> SuspicionMessages {
        self.backends.take_suspicion_messages(now)
    }

    /// Returns when [`Self::end_silent_flows`] and [`Self::take_suspicion_messages`] have to be
    /// called at the latest, if they have to be before the next regular call.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        self.backends.health().next_due(now)
    }

    /// Records the answer times that another balancer has reported.
    pub fn on_peer_paces(
        &mut self,
        knowledge: &Knowledge,
        peer: SocketAddrV4,
        reports: &[PaceReport],
        now: Instant,
    ) {
        self.backends.on_pace_reports(knowledge, peer, reports, now);
    }

    /// Returns the report of this balancer's observations for other balancers.
    #[must_use]
    pub fn report(&self, now: Instant) -> BalancerReport {
        let mut report = BalancerReport {
            health: self.backends.report(now),
            demands: self.demand.reports(),
            loads: self.load_reports(now),
            unresolved_tokens: self.unresolved_tokens.list(),
        };

        fit_report(&mut report);
        report
    }

    fn load_reports(&self, now: Instant) -> Vec<ServiceLoadReport> {
        match self.options.admission {
            Some(_) => FleetLoad::reports(&self.load_meter, &self.demand, now),
            None => Vec::new(),
        }
    }

    /// Returns the number of backend servers that are avoided as outliers.
    #[must_use]
    pub fn avoided_count(&self, now: Instant) -> usize {
        self.backends.outliers().avoided_count(now)
    }

    /// Returns what is observed of backend servers, for inspection.
    #[must_use]
    pub fn backends(&self) -> &BackendObserver {
        &self.backends
    }

    /// Returns the number of backend servers that are known to be slow, for balancers that share
    /// the pace.
    #[must_use]
    pub fn slow_count(&self) -> usize {
        self.backends.fleet_pace().map_or(0, |pace| pace.slow_backends().count())
    }

    /// Returns the backend servers that this balancer suspects to be dead.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        self.backends.health().suspects(now)
    }

    /// Returns the verdict on a packet.
    pub fn on_packet(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if !knowledge.is_complete() {
            return PacketVerdict::Drop(DropReason::NotReady);
        }

        let verdict = if packet.opening {
            self.on_opening(knowledge, packet, now)
        } else {
            self.on_established(knowledge, packet, now)
        };
        self.record_verdict(knowledge, packet, verdict, now);
        verdict
    }

    /// Records the verdicts that affect a caller: resets, and packets that are dropped or held.
    fn record_verdict(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        verdict: PacketVerdict,
        now: Instant,
    ) {
        let flow = packet.flow;

        match verdict {
            PacketVerdict::Forward { .. } => {}
            PacketVerdict::Reset(reason) => {
                let instance = self.flows.get(&flow).map(|record| record.instance);
                self.decisions.push(Decision::Reset { flow, reason, instance });
                self.flows.remove(&flow);
            }
            PacketVerdict::Drop(reason) => {
                let dropped = self.dropped_packet(knowledge, packet, reason, now);
                let is_held = reason.is_transient();
                if reason == DropReason::UnknownToken {
                    self.unresolved_tokens.add(packet.token, now);
                }
                self.decisions.push(if is_held {
                    Decision::Held(dropped)
                } else {
                    Decision::Dropped(dropped)
                });
            }
        }
    }

    fn dropped_packet(
        &self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        reason: DropReason,
        now: Instant,
    ) -> DroppedPacket {
        DroppedPacket {
            flow: packet.flow,
            reason,
            token: packet.token,
            instance: self.flows.get(&packet.flow).map(|record| record.instance),
            known_until: knowledge.directory.complete_until(),
            age: knowledge.age(now),
        }
    }

    /// Reports whether enough is known to decide about a packet.
    #[must_use]
    pub fn can_decide(&self, knowledge: &Knowledge, packet: &CallerPacket) -> bool {
        let has_backend = || {
            let instance = instance_of(&self.flows, knowledge, packet);
            instance.is_some_and(|instance| knowledge.directory.get(instance).is_some())
        };

        knowledge.is_complete() && (packet.opening || has_backend())
    }

    /// Records that a packet was held for the full hold time without enough becoming known.
    pub fn on_hold_expired(&mut self, knowledge: &Knowledge, packet: &CallerPacket, now: Instant) {
        let is_ready = knowledge.is_complete();
        let reason = if is_ready { DropReason::UnknownToken } else { DropReason::NotReady };
        let dropped = self.dropped_packet(knowledge, packet, reason, now);

        self.decisions.push(Decision::Dropped(dropped));
    }

    /// Decides about a packet of a flow that a backend server has answered.
    ///
    /// Only the token determines the backend server, not the service to which the address routes
    /// now: open flows stay where they are under a new configuration, and a balancer that has just
    /// started does not know earlier configurations. Requiring a match of the two loses 0.018 of
    /// the requests in a simulation in which all balancers are restarted after a change of routes.
    /// A token that the caller did not get on this flow does no harm: the packet names one
    /// incarnation, which refuses flows that it does not have.
    ///
    /// For the same reason a missing route alone ends no flow: a configuration that is not known
    /// here yet may have added it. Only a flow that was served here under a configuration with its
    /// route has lost the route. Where neither route nor token is known, packets are not held, so
    /// that those sent to random addresses take no place from others.
    fn on_established(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        let has_route = knowledge.routes.routes.contains_key(&packet.flow.service);
        if !has_route && self.flows.get(&packet.flow).is_some_and(FlowRecord::had_route) {
            return no_route_verdict(knowledge, now);
        }
        let unknown = if has_route { DropReason::UnknownToken } else { DropReason::NoRoute };
        let Some(instance) = instance_of(&self.flows, knowledge, packet) else {
            return PacketVerdict::Drop(unknown);
        };
        let instance = current_incarnation(knowledge, packet, instance);
        if knowledge.directory.get(instance).is_none() {
            return PacketVerdict::Drop(unknown);
        }

        self.observe(knowledge, instance, packet, now);
        if packet.reset {
            self.flows.remove(&packet.flow);
            return forward(knowledge, instance);
        }
        if has_route {
            self.flows.mark_routed(&packet.flow);
        }
        let Some(reason) = self.flow_end_reason(knowledge, packet, instance, now) else {
            return forward(knowledge, instance);
        };
        if self.reset_scheduler.was_reset_recently(&packet.flow, now) {
            return PacketVerdict::Drop(DropReason::AlreadyReset);
        }
        self.reset_scheduler.on_reset_sent(packet.flow, now);
        PacketVerdict::Reset(reason)
    }

    fn observe(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        now: Instant,
    ) {
        let known = self.flows.get(&packet.flow).is_some_and(|flow| flow.instance == instance);

        if known {
            self.observe_known(knowledge, instance, packet, now);
        } else if self.flows.len() < self.options.max_flows {
            self.measure_taken_over(knowledge, instance, packet, now);
            let record = FlowRecord::taken_over(instance, packet, now);
            self.flows.insert(packet.flow, record);
        }
    }

    /// Updates the record of a known flow, and reports what the packet shows to the backend
    /// observer.
    pub(super) fn observe_known(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        now: Instant,
    ) -> LivenessSignal {
        let flow = packet.flow;
        let before = self.flow_before(&flow);
        let observation = self.flows.observe(packet, now);
        if let Some(before) = before {
            self.measure(knowledge, instance, packet, (before, observation), now);
        }
        // The first request of a flow is counted with its opening packet; each further request is
        // counted here.
        if observation.began.is_some()
            && self.flows.get(&flow).is_some_and(|flow| flow.is_long_known(now))
        {
            self.count_cold_request(knowledge, instance, now);
        }

        self.backends.observe(knowledge, instance, flow, observation, now);
        observation.signal
    }
}
