//! Assignment of services to owners, and reassignment after an owner's lease has lapsed.
//!
//! Any balancer may act as coordinator; conditional writes keep two of them from overwriting each
//! other. A lapsed lease is closed before its services are reassigned, so that a holder that was
//! only paused cannot renew it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion, ServiceId};
use valvestage_core::time::to_unix_millis;

use super::lease_record::LeaseRecord;
use super::object_key::{ObjectKey, ObjectValue};
use super::owner_map::{OwnerEntry, OwnerMap, RawOwnerMap};
use super::platform_call::{PlatformCall, PlatformReply};
use crate::rendezvous::mix;

/// Delay before a retry, after a call without an answer or with a conflict.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Maximum time to wait for more candidates before the first owner map of a deployment is written.
const FIRST_MAP_DELAY: Duration = Duration::from_secs(2);

/// Live balancer that holds a lease and may own services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Id of the balancer.
    pub id: BalancerId,
    /// Epoch of its lease, as it announces it in heartbeats.
    pub lease: LeaseEpoch,
}

/// State that the coordinator bases its decisions on.
#[derive(Debug, Clone)]
pub struct CoordinatorInputs {
    /// All services of the configuration in force.
    pub services: Vec<ServiceId>,
    /// Live, serving balancers that hold a lease.
    pub candidates: Vec<OwnerCandidate>,
    /// Number of live, serving balancers, with or without a lease.
    pub live: usize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Idle,
    ReadingMap,
    ReadingLease(BalancerId),
    /// The lease has lapsed at this version and has to be closed.
    CloseDue(ObjectVersion, LeaseRecord),
    ClosingLease(LeaseRecord),
    WritingMap(RawOwnerMap),
}

/// State machine that keeps the owner map in line with the live balancers.
#[derive(Debug, Clone)]
pub struct OwnerCoordinator {
    own: BalancerId,
    clock_bound: Duration,
    step: Step,
    /// Latest known map; `None` when it has to be read again.
    map: Option<OwnerMap>,
    /// Leases that were found to be over since the map was last read.
    lapsed: BTreeSet<(BalancerId, LeaseEpoch)>,
    not_before: SystemTime,
    started: SystemTime,
    writes: u64,
}

impl OwnerCoordinator {
    /// Creates a coordinator that has not read the owner map yet.
    #[must_use]
    pub fn new(own: BalancerId, clock_bound: Duration, now: SystemTime) -> Self {
        Self {
            own,
            clock_bound,
            step: Step::Idle,
            map: None,
            lapsed: BTreeSet::new(),
            not_before: now,
            started: now,
            writes: 0,
        }
    }

    /// Updates the known map with a newer one from elsewhere.
    pub fn on_map(&mut self, map: &OwnerMap) {
        if self.map.as_ref().is_some_and(|known| known.version < map.version) {
            self.map = Some(map.clone());
        }
    }

    /// Returns the platform call that is due, if any.
    pub fn next_call(
        &mut self,
        now: SystemTime,
        inputs: &CoordinatorInputs,
    ) -> Option<PlatformCall> {
        if let Step::CloseDue(version, record) = self.step.clone() {
            self.step = Step::ClosingLease(record.clone());
            return Some(PlatformCall::Write {
                key: ObjectKey::Lease(record.holder),
                expected: Some(version),
                value: ObjectValue::Lease(record),
            });
        }
        if self.step != Step::Idle || now < self.not_before || inputs.candidates.is_empty() {
            return None;
        }

        let Some(map) = self.map.clone() else {
            self.step = Step::ReadingMap;
            return Some(PlatformCall::Read { key: ObjectKey::OwnerMap });
        };

        // An owner that is not a live candidate keeps its services until its lease is over.
        let unconfirmed =
            map.raw.entries.values().find(|entry| self.needs_lease_check(entry, inputs));
        if let Some(entry) = unconfirmed {
            self.step = Step::ReadingLease(entry.owner);
            return Some(PlatformCall::Read { key: ObjectKey::Lease(entry.owner) });
        }

        if map.version == 0 && self.expects_more_candidates(now, inputs) {
            return None;
        }
        let next = self.next_map(now, &map, inputs)?;
        let expected = (map.version > 0).then_some(map.version);
        self.step = Step::WritingMap(next.clone());
        Some(PlatformCall::Write {
            key: ObjectKey::OwnerMap,
            expected,
            value: ObjectValue::OwnerMap(next),
        })
    }

    /// Reports whether the first owner map should wait for more candidates.
    ///
    /// In a new deployment the first balancer with a lease would get every service, although most
    /// of the others acquire theirs shortly after.
    fn expects_more_candidates(&self, now: SystemTime, inputs: &CoordinatorInputs) -> bool {
        inputs.candidates.len() * 2 < inputs.live && now < self.started + FIRST_MAP_DELAY
    }

    fn needs_lease_check(&self, entry: &OwnerEntry, inputs: &CoordinatorInputs) -> bool {
        let is_candidate = inputs
            .candidates
            .iter()
            .any(|candidate| candidate.id == entry.owner && candidate.lease == entry.lease);

        !is_candidate && !self.lapsed.contains(&(entry.owner, entry.lease))
    }

    /// Returns the map with an owner for each service, or `None` if no change is needed or there is
    /// no candidate.
    fn next_map(
        &mut self,
        now: SystemTime,
        map: &OwnerMap,
        inputs: &CoordinatorInputs,
    ) -> Option<RawOwnerMap> {
        let mut entries = map.raw.entries.clone();
        entries.retain(|service, entry| {
            inputs.services.contains(service) && !self.lapsed.contains(&(entry.owner, entry.lease))
        });

        for service in &inputs.services {
            if entries.contains_key(service) {
                continue;
            }

            // The claim table of a service without a previous owner covers all time. After a lapse
            // it is not known which requests the previous owner accepted, so the coverage starts
            // anew.
            let was_owned = map.raw.entries.contains_key(service);
            let covers_from_ms = if was_owned { to_unix_millis(now + self.clock_bound) } else { 0 };
            let candidate = pick_owner(*service, &entries, &inputs.candidates)?;
            let entry = OwnerEntry {
                owner: candidate.id,
                lease: candidate.lease,
                covers_from_ms,
                handover: None,
            };
            entries.insert(*service, entry);
        }

        if entries == map.raw.entries {
            return None;
        }

        self.writes += 1;
        let change_id = format!("owners-{}-{}-{}", self.own, to_unix_millis(now), self.writes);
        Some(RawOwnerMap { change_id, entries })
    }

    /// Handles the reply to the pending call, and returns the map if it was read or written.
    pub fn on_reply(&mut self, now: SystemTime, reply: PlatformReply) -> Option<OwnerMap> {
        match (std::mem::replace(&mut self.step, Step::Idle), reply) {
            (Step::ReadingMap, PlatformReply::Missing) => {
                self.map = Some(OwnerMap::default());
                None
            }
            (
                Step::ReadingMap,
                PlatformReply::Found { version, value: ObjectValue::OwnerMap(raw) },
            ) => {
                let map = OwnerMap { version, raw };
                self.lapsed.clear();
                self.map = Some(map.clone());
                Some(map)
            }
            (Step::ReadingLease(owner), reply) => {
                self.on_lease_read(now, owner, &reply);
                None
            }
            (Step::ClosingLease(record), PlatformReply::Written { .. }) => {
                self.lapsed.insert((record.holder, record.epoch));
                None
            }
            (Step::WritingMap(raw), PlatformReply::Written { version }) => {
                let map = OwnerMap { version, raw };
                self.map = Some(map.clone());
                Some(map)
            }
            // After a conflict or a call without an answer the map has to be read again.
            _ => {
                self.map = None;
                self.not_before = now + RETRY_PAUSE;
                None
            }
        }
    }

    fn on_lease_read(&mut self, now: SystemTime, owner: BalancerId, reply: &PlatformReply) {
        // Epochs of the leases under which this owner holds services in the map.
        let entries = self.map.iter().flat_map(|map| map.raw.entries.values());
        let owned: Vec<LeaseEpoch> =
            entries.filter(|entry| entry.owner == owner).map(|entry| entry.lease).collect();

        match reply {
            PlatformReply::Missing => {
                self.lapsed.extend(owned.into_iter().map(|epoch| (owner, epoch)));
            }
            PlatformReply::Found { version, value: ObjectValue::Lease(record) } => {
                // A balancer acquires a lease only once its previous one is over.
                for epoch in owned.iter().filter(|epoch| **epoch < record.epoch) {
                    self.lapsed.insert((owner, *epoch));
                }

                if record.closed {
                    self.lapsed.insert((owner, record.epoch));
                } else if !record.has_lapsed(now, self.clock_bound) {
                    self.not_before = now + RETRY_PAUSE;
                } else if owned.contains(&record.epoch) {
                    let closed = LeaseRecord { closed: true, ..record.clone() };
                    self.step = Step::CloseDue(*version, closed);
                }
            }
            _ => self.not_before = now + RETRY_PAUSE,
        }
    }
}

/// Returns the candidate with the fewest services; rendezvous hashing breaks ties.
fn pick_owner(
    service: ServiceId,
    entries: &BTreeMap<ServiceId, OwnerEntry>,
    candidates: &[OwnerCandidate],
) -> Option<OwnerCandidate> {
    let owned = |id: BalancerId| entries.values().filter(|entry| entry.owner == id).count();

    candidates
        .iter()
        .copied()
        .min_by_key(|candidate| (owned(candidate.id), mix(service.into(), candidate.id.into())))
}
