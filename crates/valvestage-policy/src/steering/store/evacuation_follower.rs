//! What the store says of evacuated zones, put together.

use std::collections::BTreeSet;
use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_core::ids::ZoneName;

use super::store_follower::{
    Completeness, FollowerNews, StoreCall, StoreFollower, StoreKind, StoreReply,
};
use crate::steering::decision::Decision;
use crate::steering::knowledge::evacuated_zones::{EvacuatedZones, EvacuationReport};

/// `EvacuationNews` is what the store says of the evacuation of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationNews {
    /// The zone.
    pub zone: ZoneName,
    /// The store's position at the change.
    pub position: StorePosition,
    /// Whether it is asked for; else it was taken back.
    pub is_asked: bool,
}

/// `EvacuationFollower` follows the operator's evacuations.
#[derive(Debug)]
pub struct EvacuationFollower {
    follower: StoreFollower,
    /// Zones that there are. An evacuation of another one was written by somebody who does not know the deployment.
    zones: BTreeSet<ZoneName>,
    /// What the list that is being read has so far.
    listed: BTreeSet<ZoneName>,
}

impl EvacuationFollower {
    /// Creates a follower that begins with a list, which may be cached: a balancer that has just started is told of changes since by others, or
    /// watches for them by itself, before an evacuation has to be in force.
    #[must_use]
    pub fn new(zones: BTreeSet<ZoneName>) -> Self {
        let mut follower = StoreFollower::new(StoreKind::Evacuations);
        follower.allow_cached_lists();

        Self { follower, zones, listed: BTreeSet::new() }
    }

    /// Returns whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.follower.is_failing()
    }

    /// Returns what was noticed of the store since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.follower.take_decisions()
    }

    /// Returns the call to make now; none while one is under way or a pause lasts. What others have told is gone
    /// on from, which saves the list of each one that begins to follow.
    pub fn next_call(&mut self, known: &EvacuatedZones, now: Instant) -> Option<StoreCall> {
        if known.is_known() {
            self.follower.go_on_from(known.as_of());
        }

        self.follower.next_call(known.as_of(), now)
    }

    /// Processes an answer. Returns what is the case by now; none if that is not known.
    pub fn on_reply(
        &mut self,
        known: &EvacuatedZones,
        reply: StoreReply<EvacuationNews>,
        now: Instant,
    ) -> Option<EvacuationReport> {
        let FollowerNews { mut objects, completes } = self.follower.on_reply(reply, now);
        objects.retain(|news| self.zones.contains(&news.zone));

        match completes {
            Completeness::Until(until) => changed(known, &objects, until),
            Completeness::ListBegins => {
                self.listed.clear();
                self.list(objects);
                None
            }
            Completeness::ListEnds { position, single_page, .. } => {
                if single_page {
                    self.listed.clear();
                }
                self.list(objects);
                let zones = std::mem::take(&mut self.listed).into_iter().collect();
                Some(EvacuationReport { as_of: position, zones })
            }
            Completeness::Unchanged => {
                self.list(objects);
                None
            }
        }
    }

    fn list(&mut self, objects: Vec<EvacuationNews>) {
        let asked = objects.into_iter().filter(|news| news.is_asked);

        self.listed.extend(asked.map(|news| news.zone));
    }
}

/// What is known with changes up to a revision, of which those up to what is known count for nothing.
fn changed(
    known: &EvacuatedZones,
    changes: &[EvacuationNews],
    until: StorePosition,
) -> Option<EvacuationReport> {
    let mut zones = known.zones().clone();
    for news in changes.iter().filter(|news| news.position > known.as_of()) {
        if news.is_asked {
            zones.insert(news.zone.clone());
        } else {
            zones.remove(&news.zone);
        }
    }

    (until > known.as_of())
        .then(|| EvacuationReport { as_of: until, zones: zones.into_iter().collect() })
}
