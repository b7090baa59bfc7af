//! Detection of backend servers that seem dead, from retransmissions of callers.
//!
//! Answers bypass the balancers. A caller that retransmits a packet shows that an answer is
//! missing; one that acknowledges more than before shows that the backend server lives. What one
//! caller misses may have been lost on a link of its own, so a backend server is suspected only if
//! several callers miss answers and no flow got one meanwhile.
//!
//! New flows leave a suspected backend server at once. Its open flows end only if three callers miss
//! answers on open flows, here or at other balancers that suspect it, and no other balancer refutes
//! that: a full backend server is silent to new flows, and among a hundred balancers each sees about
//! one answer in a hundred.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::health_record::HealthRecord;
use super::link_check::LinkCheck;
use super::refutation_queue::{
    LIFE_TTL, RefutationQueue, SuspicionMessages, is_recent, life_report,
};
use crate::steering::decision::Decision;
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::packets::flow_record::LivenessSignal;
use crate::steering::peers::peer_message::{
    LifeReport, QueryNumber, SuspicionQuery, SuspicionReport,
};

/// Maximum number of suspects and signs of life reported in a heartbeat, the latest first. More
/// suspects mean that the fault is elsewhere, and together with counts and avoidances this limit
/// keeps control traffic within 4 KB per second.
pub(in crate::steering) const MAX_REPORTED_STATES: usize = 8;

/// Failure detector that collects signs of life and missing answers of backend servers.
#[derive(Debug, Default)]
pub struct BackendHealth {
    records: HashMap<InstanceId, HealthRecord>,
    /// Backend servers that may come to be considered dead if nobody refutes that.
    doubtful: BTreeSet<InstanceId>,
    /// Backend servers that have just missed an answer on an open flow, since the last query.
    unanswered: BTreeSet<InstanceId>,
    refutations: RefutationQueue,
    link_check: LinkCheck,
    /// Whether other balancers are known. If there are none, the own link cannot be checked.
    has_peers: bool,
}

impl BackendHealth {
    /// Records what a packet shows, and returns the decision if it starts or ends a suspicion.
    pub fn observe(
        &mut self,
        instance: InstanceId,
        flow: FlowAddresses,
        signal: LivenessSignal,
        now: Instant,
    ) -> Option<Decision> {
        match signal {
            LivenessSignal::Neutral => None,
            LivenessSignal::Alive(_) => self.observe_answer(instance, now),
            LivenessSignal::Unopened(since) => {
                self.observe_miss(instance, (flow, true), since, now)
            }
            LivenessSignal::Unanswered(since) => {
                self.observe_miss(instance, (flow, false), since, now)
            }
        }
    }

    fn observe_answer(&mut self, instance: InstanceId, now: Instant) -> Option<Decision> {
        let was_suspect = self.records.entry(instance).or_default().on_answer(now);

        self.refutations.on_life(instance, now, now);
        self.refutations.retract(instance, now, now);
        was_suspect.then_some(Decision::Cleared { instance })
    }

    fn observe_miss(
        &mut self,
        instance: InstanceId,
        (flow, is_opening): (FlowAddresses, bool),
        since: Instant,
        now: Instant,
    ) -> Option<Decision> {
        let record = self.records.entry(instance).or_default();
        let had_evidence = record.evidence_since(false, now).is_some();
        let is_new = record.on_miss(flow, is_opening, since, now);
        let flows = record.miss_count();

        if self.has_peers && !is_opening {
            self.unanswered.insert(instance);
        }
        let has_evidence = record.evidence_since(false, now).is_some();
        if is_new || has_evidence && !had_evidence {
            self.refutations.ask(instance);
        }
        self.note_doubt(instance, now);
        let waited = now.saturating_duration_since(since);
        is_new.then_some(Decision::Suspected { instance, flows, waited })
    }

    /// Records that another balancer suspects a backend server, and refutes that if a sign of life
    /// is known.
    pub fn on_peer_suspicion(
        &mut self,
        peer: SocketAddrV4,
        report: &SuspicionReport,
        now: Instant,
    ) {
        let instance = report.instance;
        let record = self.records.entry(instance).or_default();
        let had_evidence = record.evidence_since(false, now).is_some();
        record.on_peer_suspicion(peer, &report.callers, now);

        if record.evidence_since(false, now).is_some() && !had_evidence {
            self.refutations.ask(instance);
        }
        self.note_doubt(instance, now);
        self.on_question(peer, instance, now);
    }

    /// Answers another balancer with the last sign of life of a backend server, or with the next
    /// one. A balancer that itself suspects the backend server knows none that refutes anything.
    pub fn on_question(&mut self, peer: SocketAddrV4, instance: InstanceId, now: Instant) {
        let record = self.records.get(&instance);
        let record = record.filter(|record| !record.is_own_suspect(now));

        let life = record.and_then(HealthRecord::last_life);
        self.refutations.on_suspicion(peer, instance, life, now);
    }

    /// Records an answer to a flow of another balancer, and returns the decision if that ends a
    /// suspicion.
    pub fn on_peer_life(
        &mut self,
        peer: SocketAddrV4,
        report: LifeReport,
        now: Instant,
    ) -> Option<Decision> {
        let LifeReport { instance, answered_ago_ms } = report;
        let age = Duration::from_millis(answered_ago_ms.into());
        let at = now.checked_sub(age).filter(|_| age < LIFE_TTL)?;
        let record = self.records.entry(instance).or_default();
        if record.last_life() >= Some(at) {
            return None;
        }

        let is_refuted = record.on_reported_answer(at, now);
        self.refutations.repeat(instance, now);
        if !record.is_own_suspect(now) {
            self.refutations.on_life(instance, at, now);
            self.refutations.retract(instance, at, now);
        }
        is_refuted.then_some(Decision::Refuted { instance, peer, age })
    }

    /// Records that another balancer withdraws its suspicions, since it reports signs of life that
    /// refute them.
    pub fn on_retractions(&mut self, peer: SocketAddrV4, lives: &[LifeReport], now: Instant) {
        for instance in lives.iter().map(|life| life.instance) {
            if let Some(record) = self.records.get_mut(&instance) {
                record.on_retraction(peer, now);
            }
        }
    }

    /// Records that another balancer was told of suspicions, which it is to be told the end of.
    pub fn on_told(&mut self, peer: SocketAddrV4, suspects: &[SuspicionReport], now: Instant) {
        for instance in suspects.iter().map(|suspicion| suspicion.instance) {
            self.refutations.on_told(peer, instance, now);
        }
    }

    /// Sets whether other balancers are known.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// Records that a query of another balancer has arrived, which is to be acknowledged.
    pub fn on_query(&mut self, peer: SocketAddrV4, number: QueryNumber) {
        self.refutations.on_query(peer, number);
    }

    /// Records that another balancer has acknowledged a query of this one, so that what was sent
    /// together with the query has left this VM.
    pub fn on_acknowledged(&mut self, number: QueryNumber) {
        let Some((time, instances)) = self.link_check.on_acknowledged(number) else { return };

        for instance in instances {
            if let Some(record) = self.records.get_mut(&instance) {
                record.on_link_checked(time);
            }
        }
    }

    /// Records that the process was stalled. Refutations may be among the messages that are read until
    /// `read_until`, and how old they are is not known. So the missing answers that were seen up to
    /// then count only once further retransmissions were checked.
    pub fn on_stall(&mut self, read_until: Instant) {
        self.link_check.on_stall(read_until);
        self.records.values_mut().for_each(HealthRecord::on_stall);
    }

    /// Returns the backend servers whose latest missing answers may have been lost on the own link.
    fn unchecked(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        let needs_check = move |instance: &InstanceId| {
            self.has_peers
                && self.link_check.is_usable(now)
                && self.records.get(instance).is_some_and(|record| record.needs_link_check(now))
        };

        self.unanswered.iter().copied().filter(needs_check)
    }

    /// Adds the query that checks the own link, if one is needed, and numbers the query.
    fn add_link_check(&mut self, messages: &mut SuspicionMessages, now: Instant) {
        let unchecked: Vec<_> = self.unchecked(now).collect();
        let is_due = !unchecked.is_empty() && self.link_check.next_at(now) <= now;
        if messages.query.is_none() && is_due {
            messages.query = Some(SuspicionQuery::default());
        }
        let Some(query) = &mut messages.query else { return };

        self.unanswered.clear();
        for instance in &unchecked {
            if let Some(record) = self.records.get_mut(instance) {
                record.on_link_check_sent(now);
            }
        }
        query.number = self.link_check.on_sent(unchecked, now);
    }

    fn note_doubt(&mut self, instance: InstanceId, now: Instant) {
        let Some(record) = self.records.get(&instance) else { return };

        if record.evidence_since(true, now).is_some() {
            self.doubtful.insert(instance);
        }
    }

    /// Returns the backend servers that have come to be considered dead, because nobody has refuted
    /// that in time; to be called several times per second, after the messages that have arrived
    /// were read. `counts_openings` reports whether silence on opening packets alone counts for a
    /// backend server.
    pub fn take_dead(
        &mut self,
        counts_openings: impl Fn(InstanceId) -> bool,
        now: Instant,
    ) -> Vec<InstanceId> {
        let mut dead = Vec::new();
        let has_peers = self.has_peers;

        self.doubtful.retain(|instance| {
            let Some(record) = self.records.get_mut(instance) else { return false };
            let is_dead = record.step(counts_openings(*instance), has_peers, now);
            dead.extend(is_dead.then_some(*instance));
            !is_dead && record.evidence_since(true, now).is_some()
        });
        dead
    }

    /// Returns the flows that miss an answer of a backend server.
    #[must_use]
    pub fn waiting_flows(&self, instance: InstanceId) -> Vec<FlowAddresses> {
        self.records.get(&instance).into_iter().flat_map(HealthRecord::waiting_flows).collect()
    }

    /// Returns when [`Self::take_dead`] and [`Self::take_messages`] have to be called at the latest.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let dead_from = |instance| {
            let record: &HealthRecord = self.records.get(instance)?;
            record.dead_from(false, self.has_peers, now).filter(|at| *at > now)
        };
        let questions = self.refutations.is_due(now).then_some(now);
        let check = self.unchecked(now).next().map(|_| self.link_check.next_at(now));

        self.doubtful.iter().filter_map(dead_from).chain(questions).chain(check).min()
    }

    /// Returns the questions and refutations to send now.
    pub fn take_messages(&mut self, now: Instant) -> SuspicionMessages {
        let suspicion = |instance: InstanceId| {
            let record = self.records.get(&instance)?;
            // That the query arrives shows that the callers' last retransmissions did not get lost here.
            record
                .is_own_suspect(now)
                .then(|| SuspicionReport { instance, callers: record.reported_callers(false, now) })
        };

        let mut messages = self.refutations.take_messages(suspicion, now);
        self.add_link_check(&mut messages, now);
        messages
    }

    /// Returns the signs of life of backend servers that other balancers suspect, the latest first.
    #[must_use]
    pub fn lives(&self, now: Instant) -> Vec<LifeReport> {
        let life = |instance| {
            let at = self.records.get(&instance)?.last_life()?;
            is_recent(at, now).then(|| life_report(instance, at, now))
        };
        let mut lives: Vec<_> = self.refutations.repeated(now).filter_map(life).collect();

        lives.sort_by_key(|life| life.answered_ago_ms);
        lives.truncate(MAX_REPORTED_STATES);
        lives
    }

    /// Returns the backend servers that are suspected from packets seen here, the latest suspicions
    /// first.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        let suspects = self.records.iter().filter(|(_, record)| record.is_own_suspect(now));
        let mut suspects: Vec<_> = suspects
            .map(|(instance, record)| (Reverse(record.suspect_since()), *instance))
            .collect();

        suspects.sort_unstable();
        suspects.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns the reports of the latest suspicions, the latest first, at most `count`.
    #[must_use]
    pub fn suspicions(&self, count: usize, now: Instant) -> Vec<SuspicionReport> {
        let suspects = self.suspects(now).into_iter().take(count);
        let report = |instance| {
            let record = self.records.get(&instance)?;
            let callers = record.reported_callers(self.has_peers, now);
            Some(SuspicionReport { instance, callers })
        };

        suspects.filter_map(report).collect()
    }

    /// Returns the backend servers that are suspected from packets seen here or by reports of other
    /// balancers, in no particular order.
    pub fn all_suspects(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        self.records.keys().copied().filter(move |instance| self.is_suspect(*instance, now))
    }

    /// Reports whether a backend server is suspected to be dead.
    #[must_use]
    pub fn is_suspect(&self, instance: InstanceId, now: Instant) -> bool {
        self.records.get(&instance).is_some_and(|record| record.is_suspect(now))
    }

    /// Reports whether a backend server seems not to answer a caller, whatever the cause.
    #[must_use]
    pub fn is_silent_to(&self, instance: InstanceId, caller: Ipv4Addr, now: Instant) -> bool {
        self.records.get(&instance).is_some_and(|record| record.is_silent_to(caller, now))
    }

    /// Reports whether so many callers miss an answer that the flows of a backend server would be
    /// ended if nobody refuted that. Flows that miss the answer to their opening packets count only
    /// if `counts_openings`.
    #[must_use]
    pub fn is_in_doubt(&self, instance: InstanceId, counts_openings: bool, now: Instant) -> bool {
        let record = self.records.get(&instance);

        record.is_some_and(|record| record.evidence_since(counts_openings, now).is_some())
    }

    /// Reports whether the flows of a backend server are to be ended: enough callers miss an
    /// answer, and nobody has refuted that. See [`Self::is_in_doubt`] for `counts_openings`.
    #[must_use]
    pub fn is_considered_dead(
        &self,
        instance: InstanceId,
        counts_openings: bool,
        now: Instant,
    ) -> bool {
        let record = self.records.get(&instance);

        record.is_some_and(|record| record.is_considered_dead(counts_openings, now))
    }

    /// Reports whether a backend server has answered any flow of this balancer at or after a time.
    #[must_use]
    pub fn has_answered_here_since(&self, instance: InstanceId, since: Instant) -> bool {
        let record = self.records.get(&instance);

        record.and_then(HealthRecord::last_answer).is_some_and(|life| life >= since)
    }

    /// Reports whether a backend server is known to have answered any flow at or after a time.
    #[must_use]
    pub fn has_answered_since(&self, instance: InstanceId, since: Instant) -> bool {
        self.last_life(instance).is_some_and(|life| life >= since)
    }

    /// Reports whether a backend server is known to have answered any flow after a time.
    #[must_use]
    pub fn has_answered_after(&self, instance: InstanceId, time: Instant) -> bool {
        self.last_life(instance).is_some_and(|life| life > time)
    }

    fn last_life(&self, instance: InstanceId) -> Option<Instant> {
        self.records.get(&instance).and_then(HealthRecord::last_life)
    }

    /// Reports whether at or after a time a backend server has answered any flow, or enough callers
    /// have shown that they miss an answer for its flows to be ended.
    #[must_use]
    pub fn has_signal_since(&self, instance: InstanceId, since: Instant) -> bool {
        let was_silent = |record: &HealthRecord| record.was_silent_since(since);

        self.has_answered_since(instance, since)
            || self.records.get(&instance).is_some_and(was_silent)
    }

    /// Removes the records of all backend servers for which `keep` returns false.
    pub fn forget(&mut self, keep: impl Fn(InstanceId) -> bool, now: Instant) {
        self.records.retain(|instance, _| keep(*instance));
        self.unanswered.retain(|instance| keep(*instance));
        self.refutations.forget(now);
    }
}
