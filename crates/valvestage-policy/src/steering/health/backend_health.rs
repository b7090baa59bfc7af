//! Which backend servers seem dead, from what callers have to send again.
//!
//! Answers go past the balancers. A caller that sends a packet again shows that an answer is missing;
//! one that acknowledges more than before shows that the backend server lives. One missing answer may
//! be a lost datagram, so a backend server is suspected only when several flows miss answers and none
//! got one meanwhile.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use crate::steering::decision::Decision;
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::packets::flow_record::FlowSign;
use crate::steering::placement::flow_placer::ANSWER_TIME;

/// Flows that have to miss an answer before their backend server is suspected. One flow alone may
/// have lost datagrams.
const FLOWS_TO_SUSPECT: usize = 2;

/// Flows that have to miss an answer before open flows are ended. A reset of a flow whose backend
/// server lives is worse than a wait, so it takes more than a suspicion.
const FLOWS_TO_GIVE_UP: usize = 3;

/// Flows that are enough for that when another balancer says the same.
const FLOWS_TO_AGREE: usize = 1;

/// How long a suspicion lasts; then a new flow tries the backend server again. Entries of dead
/// backend servers go after some 2.3 s.
const SUSPECT_FOR: Duration = Duration::from_millis(2_500);

/// Missing answers further apart than this have nothing to do with each other.
const MISS_WINDOW: Duration = Duration::from_secs(2);

/// How long another balancer's word counts; it says it again with each heartbeat.
const TOLD_FOR: Duration = Duration::from_millis(1_000);

/// Suspects named in one heartbeat, the latest: more of them mean that the fault is elsewhere, and with
/// counts and avoidances these keep control within 4 KB a second.
pub(in crate::steering) const MAX_TOLD: usize = 8;

/// `HealthRecord` is what is known about one backend server.
#[derive(Debug, Default)]
struct HealthRecord {
    last_life: Option<Instant>,
    /// Flows that miss an answer, with the time of the latest sign; no flow twice.
    misses: Vec<(FlowAddresses, Instant)>,
    suspect_until: Option<Instant>,
    /// Since when it has seemed dead without a break; kept after its end.
    suspect_since: Option<Instant>,
    /// Until when another balancer's word for it counts.
    told_until: Option<Instant>,
}

/// `BackendHealth` collects signs of life and of death.
#[derive(Debug, Default)]
pub struct BackendHealth {
    records: HashMap<InstanceId, HealthRecord>,
}

impl BackendHealth {
    /// `observe` takes a sign in, and gives what is believed anew.
    pub fn observe(
        &mut self,
        instance: InstanceId,
        flow: FlowAddresses,
        sign: FlowSign,
        now: Instant,
    ) -> Option<Decision> {
        match sign {
            FlowSign::Neutral => None,
            FlowSign::Alive(_) => self.observe_life(instance, now),
            FlowSign::Unanswered(since) => self.observe_miss(instance, flow, since, now),
        }
    }

    fn observe_life(&mut self, instance: InstanceId, now: Instant) -> Option<Decision> {
        let record = self.records.entry(instance).or_default();
        let was_suspect = record.suspect_until.is_some_and(|until| until > now);

        record.last_life = Some(now);
        record.misses.clear();
        record.suspect_until = None;
        record.told_until = None;
        was_suspect.then_some(Decision::Cleared { instance })
    }

    /// `on_told` takes in that a backend server seems dead to another balancer.
    pub fn on_told(&mut self, instance: InstanceId, now: Instant) {
        /// A sign of life seen here within this time goes before what another one says.
        const LIFE_COUNTS_FOR: Duration = Duration::from_millis(500);

        let record = self.records.entry(instance).or_default();
        if record.last_life.is_none_or(|life| now - life > LIFE_COUNTS_FOR) {
            record.told_until = Some(now + TOLD_FOR);
        }
    }

    /// `suspects` gives the backend servers that seem dead from here, those first that began last.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        let is_suspect = |record: &HealthRecord| record.suspect_until.is_some_and(|at| at > now);
        let suspects = self.records.iter().filter(|(_, record)| is_suspect(record));
        let mut suspects: Vec<_> =
            suspects.map(|(instance, record)| (Reverse(record.suspect_since), *instance)).collect();

        suspects.sort_unstable();
        suspects.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns the backend servers that seem dead, by what was seen here or told by others, in no order.
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
        if waited < ANSWER_TIME || record.last_life.is_some_and(|life| life >= since) {
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

    /// `is_suspect` tells whether a backend server seems dead.
    #[must_use]
    pub fn is_suspect(&self, instance: InstanceId, now: Instant) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.suspect_until.max(record.told_until) > Some(now))
    }

    /// `is_given_up` tells whether flows of a backend server are to be ended.
    #[must_use]
    pub fn is_given_up(&self, instance: InstanceId, now: Instant) -> bool {
        self.records.get(&instance).is_some_and(|record| {
            let is_told = record.told_until > Some(now);
            let needed = if is_told { FLOWS_TO_AGREE } else { FLOWS_TO_GIVE_UP };
            let counts = |(_, at): &&(FlowAddresses, Instant)| now - *at <= MISS_WINDOW;
            record.misses.iter().filter(counts).count() >= needed
        })
    }

    /// `shows_life_since` tells whether a backend server has answered any flow since a time.
    #[must_use]
    pub fn shows_life_since(&self, instance: InstanceId, since: Instant) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.last_life.is_some_and(|life| life >= since))
    }

    /// `shows_life_after` tells whether a backend server has answered any flow later than at a time.
    #[must_use]
    pub fn shows_life_after(&self, instance: InstanceId, time: Instant) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| record.last_life.is_some_and(|life| life > time))
    }

    /// `shows_anything_since` tells whether a backend server has answered any flow since a time, or any flow misses an
    /// answer since then.
    #[must_use]
    pub fn shows_anything_since(&self, instance: InstanceId, since: Instant) -> bool {
        let misses = |record: &HealthRecord| record.misses.iter().any(|(_, at)| *at >= since);

        self.shows_life_since(instance, since) || self.records.get(&instance).is_some_and(misses)
    }

    /// `forget` drops what is known about a backend server.
    pub fn forget(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.records.retain(|instance, _| keep(*instance));
    }
}
