//! Detection of backend servers that seem dead, from retransmissions of callers.
//!
//! Answers bypass the balancers. A caller that retransmits a packet shows that an answer is
//! missing; one that acknowledges more than before shows that the backend server lives. One missing
//! answer may be a lost datagram, so a backend server is suspected only if several flows miss
//! answers and no flow got one meanwhile.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use crate::steering::decision::Decision;
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::packets::flow_record::LivenessSignal;
use crate::steering::placement::flow_placer::MAX_ANSWER_TIME;

/// Number of flows that have to miss an answer before their backend server is suspected. A single
/// flow may have lost datagrams.
const FLOWS_TO_SUSPECT: usize = 2;

/// Number of flows that have to miss an answer before open flows are ended. Resetting a flow whose
/// backend server lives is worse than a wait, so this takes more than a suspicion.
const FLOWS_TO_GIVE_UP: usize = 3;

/// As [`FLOWS_TO_GIVE_UP`], while another balancer reports the suspicion as well.
const FLOWS_TO_CONFIRM: usize = 1;

/// Duration of a suspicion, after which a new flow tries the backend server again. The entry of a
/// dead backend server disappears after some 2.3 s.
const SUSPECT_FOR: Duration = Duration::from_millis(2_500);

/// Missing answers further apart than this are treated as unrelated.
const MISS_WINDOW: Duration = Duration::from_secs(2);

/// How long a suspicion reported by another balancer counts. Each heartbeat repeats it.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Maximum number of suspects reported in a heartbeat, the latest first. More suspects mean that
/// the fault is elsewhere, and together with counts and avoidances this limit keeps control traffic
/// within 4 KB per second.
pub(in crate::steering) const MAX_REPORTED_SUSPECTS: usize = 8;

/// Signs of life and missing answers of one backend server.
#[derive(Debug, Default)]
struct HealthRecord {
    last_answer: Option<Instant>,
    /// Flows that miss an answer, each at most once, with the time of the latest sign.
    misses: Vec<(FlowAddresses, Instant)>,
    suspect_until: Option<Instant>,
    /// Start of the current or latest uninterrupted suspicion; kept after its end.
    suspect_since: Option<Instant>,
    /// Time until which a suspicion reported by another balancer counts.
    peer_suspects_until: Option<Instant>,
}

/// Failure detector that collects signs of life and missing answers of backend servers.
#[derive(Debug, Default)]
pub struct BackendHealth {
    records: HashMap<InstanceId, HealthRecord>,
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
            LivenessSignal::Unanswered(since) => self.observe_miss(instance, flow, since, now),
        }
    }

    fn observe_answer(&mut self, instance: InstanceId, now: Instant) -> Option<Decision> {
        let record = self.records.entry(instance).or_default();
        let was_suspect = record.suspect_until.is_some_and(|until| until > now);

        record.last_answer = Some(now);
        record.misses.clear();
        record.suspect_until = None;
        record.peer_suspects_until = None;
        was_suspect.then_some(Decision::Cleared { instance })
    }

    /// Records that another balancer suspects a backend server.
    pub fn on_peer_suspicion(&mut self, instance: InstanceId, now: Instant) {
        /// A sign of life seen here within this time takes precedence over reports of others.
        const ANSWER_PRECEDENCE: Duration = Duration::from_millis(500);

        let record = self.records.entry(instance).or_default();
        if record.last_answer.is_none_or(|life| now - life > ANSWER_PRECEDENCE) {
            record.peer_suspects_until = Some(now + PEER_REPORT_TTL);
        }
    }

    /// Returns the backend servers that are suspected from packets seen here, the latest suspicions
    /// first.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        let is_suspect = |record: &HealthRecord| record.suspect_until.is_some_and(|at| at > now);
        let suspects = self.records.iter().filter(|(_, record)| is_suspect(record));
        let mut suspects: Vec<_> =
            suspects.map(|(instance, record)| (Reverse(record.suspect_since), *instance)).collect();

        suspects.sort_unstable();
        suspects.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns the backend servers that are suspected from packets seen here or by reports of other
    /// balancers, in no particular order.
    pub fn all_suspects(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        self.records.keys().copied().filter(move |instance| self.is_suspect(*instance, now))
    }

    fn observe_miss(
        &mut self,
        instance: InstanceId,
        flow: FlowAddresses,
        since: Instant,
        now: Instant,
    ) -> Option<Decision> {
        let record = self.records.entry(instance).or_default();
        let waited = now.saturating_duration_since(since);
        if waited < MAX_ANSWER_TIME || record.last_answer.is_some_and(|life| life >= since) {
            return None;
        }

        record.misses.retain(|(other, at)| *other != flow && now - *at <= MISS_WINDOW);
        record.misses.push((flow, now));
        let flows = record.misses.len();
        let suspect = flows >= FLOWS_TO_SUSPECT;
        let is_new = suspect && record.suspect_until.is_none_or(|until| until <= now);
        if is_new {
            record.suspect_since = Some(now);
        }
        if suspect {
            record.suspect_until = Some(now + SUSPECT_FOR);
        }
        is_new.then_some(Decision::Suspected { instance, flows, waited })
    }

    /// Reports whether a backend server is suspected to be dead.
    #[must_use]
    pub fn is_suspect(&self, instance: InstanceId, now: Instant) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.suspect_until.max(record.peer_suspects_until) > Some(now))
    }

    /// Reports whether enough flows miss an answer for the flows of a backend server to be ended.
    #[must_use]
    pub fn is_considered_dead(&self, instance: InstanceId, now: Instant) -> bool {
        self.records.get(&instance).is_some_and(|record| {
            let is_confirmed = record.peer_suspects_until > Some(now);
            let needed = if is_confirmed { FLOWS_TO_CONFIRM } else { FLOWS_TO_GIVE_UP };
            let counts = |(_, at): &&(FlowAddresses, Instant)| now - *at <= MISS_WINDOW;
            record.misses.iter().filter(counts).count() >= needed
        })
    }

    /// Reports whether a backend server has answered any flow at or after a time.
    #[must_use]
    pub fn has_answered_since(&self, instance: InstanceId, since: Instant) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.last_answer.is_some_and(|life| life >= since))
    }

    /// Reports whether a backend server has answered any flow after a time.
    #[must_use]
    pub fn has_answered_after(&self, instance: InstanceId, time: Instant) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.last_answer.is_some_and(|life| life > time))
    }

    /// Reports whether at or after a time a backend server has answered any flow, or a flow has
    /// shown that it misses an answer.
    #[must_use]
    pub fn has_signal_since(&self, instance: InstanceId, since: Instant) -> bool {
        let misses = |record: &HealthRecord| record.misses.iter().any(|(_, at)| *at >= since);

        self.has_answered_since(instance, since) || self.records.get(&instance).is_some_and(misses)
    }

    /// Removes the records of all backend servers for which `keep` returns false.
    pub fn forget(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.records.retain(|instance, _| keep(*instance));
    }
}
