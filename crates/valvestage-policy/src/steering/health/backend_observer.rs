//! Entry point for everything that callers' packets show about backend servers.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::backend_health::{BackendHealth, MAX_REPORTED_STATES};
use super::backend_pace::BackendPace;
use super::fleet_pace::{FleetPace, MAX_PACE_REPORTS};
use super::flow_request::EndedRequest;
use super::outlier_detector::OutlierDetector;
use super::overdue_queue::OverdueEntry;
use super::refutation_queue::SuspicionMessages;
use super::request_judge::RequestJudge;
use crate::steering::decision::{AnswerTime, Decision};
use crate::steering::knowledge::Knowledge;
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::packets::flow_ends::counts_openings;
use crate::steering::packets::flow_record::LivenessSignal;
use crate::steering::packets::flow_tracker::{FlowObservation, FlowTracker};
use crate::steering::peers::peer_message::{
    HealthReport, LifeReport, PaceReport, SuspicionQuery, SuspicionRefutation, SuspicionReport,
};

/// Detects the backend servers that seem dead, fail too many requests, or are slow.
#[derive(Debug)]
pub struct BackendObserver {
    health: BackendHealth,
    judge: RequestJudge,
    outliers: OutlierDetector,
    pace: BackendPace,
    /// The pace as known from all balancers; `None` unless they share it.
    fleet_pace: Option<FleetPace>,
    /// Decisions since the last call of [`Self::take_decisions`].
    decisions: Vec<Decision>,
    /// Answers since the last call of [`Self::take_answers`].
    answers: Vec<AnswerTime>,
    /// Answers to requests that started before this time are not used as samples of answer times;
    /// `None` if all are used.
    timed_from: Option<Instant>,
}

impl BackendObserver {
    /// Creates an observer without observations. The seed is for the random part of avoidance
    /// times.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            health: BackendHealth::default(),
            judge: RequestJudge::default(),
            outliers: OutlierDetector::new(seed),
            pace: BackendPace::default(),
            fleet_pace: None,
            decisions: Vec::new(),
            answers: Vec::new(),
            timed_from: None,
        }
    }

    /// Lets the observer combine the pace that it sees with the reports of other balancers.
    #[must_use]
    pub fn with_shared_pace(mut self) -> Self {
        self.fleet_pace = Some(FleetPace::default());
        self
    }

    /// Returns the detector of backend servers that seem dead.
    #[must_use]
    pub fn health(&self) -> &BackendHealth {
        &self.health
    }

    /// Returns the detector of backend servers that fail too many requests.
    #[must_use]
    pub fn outliers(&self) -> &OutlierDetector {
        &self.outliers
    }

    /// Returns the pace of backend servers.
    #[must_use]
    pub fn pace(&self) -> &BackendPace {
        &self.pace
    }

    /// Reports whether an answer is much shorter than usual at its address.
    #[must_use]
    pub fn is_short_answer(&self, service: SocketAddrV4, answer_bytes: u32) -> bool {
        self.judge.is_short(service, answer_bytes)
    }

    /// Returns the pace as known from all balancers; `None` unless they share it.
    #[must_use]
    pub fn fleet_pace(&self) -> Option<&FleetPace> {
        self.fleet_pace.as_ref()
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the answers seen since the last call.
    pub fn take_answers(&mut self) -> Vec<AnswerTime> {
        std::mem::take(&mut self.answers)
    }

    /// Returns the observations to report to other balancers.
    #[must_use]
    pub fn report(&self, now: Instant) -> HealthReport {
        let mut suspects = self.health.suspicions(MAX_REPORTED_STATES, now);
        let mut alive = self.health.lives(now);

        alive.truncate(MAX_REPORTED_STATES - suspects.len().min(MAX_REPORTED_STATES / 2));
        suspects.truncate(MAX_REPORTED_STATES - alive.len());
        let outcomes = self.outliers.reports(now);
        let avoided = self.outliers.avoidances(now);
        let failures = suspects.len() + alive.len() + outcomes.len() + avoided.len();
        let mut paces = self.fleet_pace.as_ref().map(|pace| pace.reports(now)).unwrap_or_default();
        // With 24 reports of failures, there are no bytes left in the budget of a heartbeat.
        paces.truncate(MAX_PACE_REPORTS.saturating_sub(failures.div_ceil(3)));

        HealthReport { suspects, outcomes, avoided, alive, paces }
    }

    /// Records the observations that another balancer reports.
    pub fn on_report(&mut self, peer: SocketAddrV4, report: &HealthReport, now: Instant) {
        self.on_lives(peer, &report.alive, now);
        self.on_suspicions(peer, &report.suspects, now);

        self.decisions.extend(self.outliers.on_peer_avoidances(peer, &report.avoided, now));
        self.decisions.extend(self.outliers.on_peer_counts(peer, &report.outcomes, now));
    }

    /// Records that another balancer suspects some backend servers.
    pub fn on_suspicions(
        &mut self,
        peer: SocketAddrV4,
        suspects: &[SuspicionReport],
        now: Instant,
    ) {
        for report in suspects {
            self.health.on_peer_suspicion(peer, report, now);
        }
    }

    /// Handles the question of another balancer about backend servers that seem dead to it.
    pub fn on_query(&mut self, peer: SocketAddrV4, query: &SuspicionQuery, now: Instant) {
        self.health.on_query(peer, query.number);
        self.on_suspicions(peer, &query.suspects, now);
        for instance in &query.doubted {
            self.health.on_question(peer, *instance, now);
        }
    }

    /// Records signs of life that another balancer reports.
    pub fn on_lives(&mut self, peer: SocketAddrV4, lives: &[LifeReport], now: Instant) {
        for report in lives {
            self.decisions.extend(self.health.on_peer_life(peer, *report, now));
        }
    }

    /// Records the acknowledgement of a query, and signs of life by which another balancer refutes
    /// suspicions, its own among them.
    pub fn on_refutation(
        &mut self,
        peer: SocketAddrV4,
        refutation: &SuspicionRefutation,
        now: Instant,
    ) {
        let SuspicionRefutation { acknowledged, alive } = refutation;

        self.health.on_retractions(peer, alive, now);
        self.on_lives(peer, alive, now);
        if let Some(number) = acknowledged {
            self.health.on_acknowledged(*number);
        }
    }

    /// Sets whether other balancers are known, which can be asked about suspicions.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.health.set_has_peers(has_peers);
    }

    /// Records that another balancer was told of suspicions.
    pub fn on_told(&mut self, peer: SocketAddrV4, suspects: &[SuspicionReport], now: Instant) {
        self.health.on_told(peer, suspects, now);
    }

    /// Returns the backend servers that have come to be considered dead since the last call.
    pub fn take_dead(&mut self, knowledge: &Knowledge, now: Instant) -> Vec<InstanceId> {
        self.health.take_dead(|instance| counts_openings(knowledge, instance), now)
    }

    /// Returns the messages about suspicions that are to be sent now, other than heartbeats.
    pub fn take_suspicion_messages(&mut self, now: Instant) -> SuspicionMessages {
        self.health.take_messages(now)
    }

    /// Records the answer times that another balancer reports.
    pub fn on_pace_reports(
        &mut self,
        knowledge: &Knowledge,
        peer: SocketAddrV4,
        reports: &[PaceReport],
        now: Instant,
    ) {
        let Some(pace) = &mut self.fleet_pace else { return };

        let first = reports.first().filter(|_| reports.len() >= MAX_PACE_REPORTS);
        if let Some(entry) = first.and_then(|first| knowledge.directory.get(first.instance)) {
            pace.on_many_reports(&entry.service, now);
        }
        for report in reports.iter().take(MAX_PACE_REPORTS) {
            if let Some(entry) = knowledge.directory.get(report.instance) {
                self.decisions.extend(pace.on_report(peer, &entry.service, report, now));
            }
        }
    }

    /// Updates which backend servers are slow, given the requests in flight per slot of each
    /// service; to be called several times a second.
    pub fn update_pace(&mut self, requests_per_slot: impl Fn(&str) -> f64, now: Instant) {
        if let Some(pace) = &mut self.fleet_pace {
            self.decisions.extend(pace.on_tick(requests_per_slot, now));
        }
    }

    /// Records what a packet shows about the backend server of its flow.
    pub fn observe(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        flow: FlowAddresses,
        observation: FlowObservation,
        now: Instant,
    ) {
        let FlowObservation { signal, ended, began } = observation;

        if let Some(ended) = ended {
            self.on_ended(knowledge, instance, flow, ended, now);
        }
        if let Some(started) = began {
            self.judge.on_began(flow, started);
            if let (Some(pace), Some(entry)) =
                (&mut self.fleet_pace, knowledge.directory.get(instance))
            {
                pace.on_began(&entry.service, flow, started);
            }
        }
        if let LivenessSignal::Alive(answer) = signal
            && let Some(since) = answer.since
        {
            let time = now.saturating_duration_since(since);
            let is_timed = self.timed_from.is_none_or(|from| since >= from);
            if !answer.opening && is_timed {
                self.on_answer_time(knowledge, instance, flow, time, now);
            }
            self.answers.push(AnswerTime { instance, opening: answer.opening, time });
        }
        self.decisions.extend(self.health.observe(instance, flow, signal, now));
    }

    /// Ends the requests that should have been answered by now; to be called several times per
    /// second.
    pub fn judge_overdue(&mut self, knowledge: &Knowledge, flows: &mut FlowTracker, now: Instant) {
        self.judge_late(knowledge, flows, now);
        while let Some(entry) = self.judge.pop_overdue(now) {
            let OverdueEntry { started, flow, .. } = entry;
            if let Some((instance, ended)) = flows.take_overdue_request(&flow, started, now) {
                self.on_ended(knowledge, instance, flow, ended, now);
            }
        }
    }

    /// Counts the requests that have waited for several times the usual time.
    fn judge_late(&mut self, knowledge: &Knowledge, flows: &FlowTracker, now: Instant) {
        let Some(pace) = &mut self.fleet_pace else { return };

        while let Some(late) = pace.pop_late(now) {
            let record = flows.get(&late.flow);
            let record = record.filter(|record| record.waiting_since == Some(late.started));
            let is_timed = self.timed_from.is_none_or(|from| late.started >= from);
            let entry = record.and_then(|record| knowledge.directory.get(record.instance));
            if let Some(entry) = entry.filter(|_| is_timed) {
                let decision = pace.on_late(entry.instance, &entry.service, &late, now);
                self.decisions.extend(decision);
            }
        }
    }

    /// Records that the process was stalled until now. Answers to requests that were under way may
    /// have arrived at any time since, so their times are unknown. What has arrived may be read until
    /// `read_until`.
    pub fn on_stall(&mut self, read_until: Instant, now: Instant) {
        self.timed_from = Some(now);
        self.health.on_stall(read_until);
    }

    /// Records that the process was paused for long. Packets that acknowledge answers may have been
    /// lost, so requests under way do not count against a backend server.
    pub fn on_pause(&mut self) {
        self.judge.on_pause();
        if let Some(pace) = &mut self.fleet_pace {
            pace.on_pause();
        }
    }

    /// Removes the records of backend servers and addresses that no longer exist.
    pub fn forget(&mut self, knowledge: &Knowledge, now: Instant) {
        let is_known = |instance| knowledge.directory.get(instance).is_some();

        self.health.forget(is_known, now);
        self.outliers.forget(is_known, now);
        self.pace.forget(is_known);
        if let Some(pace) = &mut self.fleet_pace {
            let has_route = |address: &_| knowledge.routes.routes.contains_key(address);
            pace.forget(is_known, has_route, now);
        }
        self.judge.forget(|address| knowledge.routes.routes.contains_key(address));
    }

    fn on_answer_time(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        flow: FlowAddresses,
        time: Duration,
        now: Instant,
    ) {
        let log_ratio = self.judge.on_answer_time(flow.service, time);
        let Some(entry) = knowledge.directory.get(instance) else { return };
        let service = &entry.service;

        if let Some(pace) = &mut self.fleet_pace {
            self.decisions.extend(pace.on_answer(instance, service, flow, time, now));
            if pace.uneven_service(service).is_some() {
                // Once the service is even again, own answers from before are out of date.
                self.pace.forget_service(service);
                return;
            }
        }
        let own = log_ratio.and_then(|ratio| self.pace.on_answer(instance, service, ratio, now));
        if self.fleet_pace.is_none() {
            self.decisions.extend(own);
        }
    }

    fn on_ended(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        flow: FlowAddresses,
        ended: EndedRequest,
        now: Instant,
    ) {
        let is_poor = self.judge.is_poor(flow.service, ended);

        if let Some(entry) = knowledge.directory.get(instance) {
            let decision = self.outliers.observe(instance, &entry.service, is_poor, now);
            self.decisions.extend(decision);
        }
    }
}
