//! Following the evacuated availability zones in the store.

use std::collections::BTreeSet;
use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_core::ids::ZoneName;

use super::store_follower::{
    Completeness, FollowerUpdate, StoreCall, StoreFollower, StoreKind, StoreReply,
};
use crate::steering::decision::Decision;
use crate::steering::knowledge::evacuated_zones::{EvacuatedZones, EvacuationReport};

/// A change of the evacuation of one availability zone, as reported by the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// The availability zone.
    pub zone: ZoneName,
    /// The store's position at the change.
    pub position: StorePosition,
    /// Whether the evacuation is requested; `false` if the operator has ended it.
    pub is_requested: bool,
}

/// Follows the operator's evacuations and assembles the set of evacuated availability zones.
#[derive(Debug)]
pub struct EvacuationFollower {
    follower: StoreFollower,
    /// The availability zones of the deployment. Evacuations of other zones are ignored, since they
    /// were not written for this deployment.
    zones: BTreeSet<ZoneName>,
    /// The evacuated zones in the pages read so far of the current list.
    listed: BTreeSet<ZoneName>,
}

impl EvacuationFollower {
    /// Creates a follower that begins with a list, which may come from the store's cache: a
    /// balancer that has just started learns of later changes from its peers or by its own watch
    /// before an evacuation has to be in force.
    #[must_use]
    pub fn new(zones: BTreeSet<ZoneName>) -> Self {
        let mut follower = StoreFollower::new(StoreKind::Evacuations);
        follower.allow_cached_lists();

        Self { follower, zones, listed: BTreeSet::new() }
    }

    /// Reports whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.follower.is_failing()
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.follower.take_decisions()
    }

    /// Returns the call to make now; `None` while a call is in flight or a pause lasts. Watching
    /// continues from what peers have reported, so a balancer that begins to follow the store does
    /// not need a list of its own.
    pub fn next_call(&mut self, known: &EvacuatedZones, now: Instant) -> Option<StoreCall> {
        if known.is_known() {
            self.follower.resume_from(known.as_of());
        }

        self.follower.next_call(known.as_of(), now)
    }

    /// Processes a reply. Returns the set of evacuated zones; `None` if it is not completely known
    /// or has not advanced.
    pub fn on_reply(
        &mut self,
        known: &EvacuatedZones,
        reply: StoreReply<EvacuationUpdate>,
        now: Instant,
    ) -> Option<EvacuationReport> {
        let FollowerUpdate { mut objects, completes } = self.follower.on_reply(reply, now);
        objects.retain(|change| self.zones.contains(&change.zone));

        match completes {
            Completeness::Until(until) => apply_changes(known, &objects, until),
            Completeness::ListBegins => {
                self.listed.clear();
                self.add_listed(objects);
                None
            }
            Completeness::ListEnds { position, single_page, .. } => {
                if single_page {
                    self.listed.clear();
                }
                self.add_listed(objects);
                let zones = std::mem::take(&mut self.listed).into_iter().collect();
                Some(EvacuationReport { as_of: position, zones })
            }
            Completeness::Unchanged => {
                self.add_listed(objects);
                None
            }
        }
    }

    fn add_listed(&mut self, objects: Vec<EvacuationUpdate>) {
        let requested = objects.into_iter().filter(|change| change.is_requested);

        self.listed.extend(requested.map(|change| change.zone));
    }
}

/// Applies changes to the known evacuations. Changes at or before the known position are skipped,
/// since they are already included.
fn apply_changes(
    known: &EvacuatedZones,
    changes: &[EvacuationUpdate],
    until: StorePosition,
) -> Option<EvacuationReport> {
    let mut zones = known.zones().clone();
    for change in changes.iter().filter(|change| change.position > known.as_of()) {
        if change.is_requested {
            zones.insert(change.zone.clone());
        } else {
            zones.remove(&change.zone);
        }
    }

    (until > known.as_of())
        .then(|| EvacuationReport { as_of: until, zones: zones.into_iter().collect() })
}
