//! Handing all services over, one after the other, before a planned stop.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, ServiceId};

use super::object_key::ObjectKey;
use super::owner_coordinator::OwnerCandidate;
use super::owner_handover::{HandoverOutcome, OwnerHandover};
use super::owner_map::OwnerMap;
use super::platform_call::{PlatformCall, PlatformReply};

/// Pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// `StopStep` is what the driver has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopStep {
    /// Take the service's claims (its new work is held back from then on) and offer them.
    Offer {
        /// The next owner.
        to: BalancerId,
        /// The service.
        service: ServiceId,
        /// Names the handover.
        handover: u64,
    },
    /// Carry a platform call out.
    Call(PlatformCall),
    /// Put the map in force, then go on with what was held back.
    Settle {
        /// The service.
        service: ServiceId,
        /// Whether the next owner has it.
        moved: bool,
        /// The map that decides it, if it was read or written.
        map: Option<OwnerMap>,
    },
}

#[derive(Debug, Clone)]
enum Progress {
    /// The candidates that were not asked yet.
    Choosing(VecDeque<OwnerCandidate>),
    /// An offer is out.
    Offering(VecDeque<OwnerCandidate>, OwnerHandover),
    /// A call is due.
    Writing(OwnerHandover, PlatformCall),
    /// A call is out.
    Waiting(OwnerHandover),
    /// It is decided.
    Settling(bool, Option<OwnerMap>),
}

/// `PlannedStop` moves the services of a balancer that leaves.
#[derive(Debug, Clone)]
pub struct PlannedStop {
    /// The balancer that leaves, under the lease by which it owns the services.
    from: OwnerCandidate,
    /// Services still to be moved; the first one is under way.
    services: VecDeque<ServiceId>,
    progress: Option<Progress>,
    not_before: SystemTime,
}

impl PlannedStop {
    /// `new` takes the services that the balancer owns.
    pub fn new(
        from: OwnerCandidate,
        services: impl IntoIterator<Item = ServiceId>,
        now: SystemTime,
    ) -> Self {
        Self { from, services: services.into_iter().collect(), progress: None, not_before: now }
    }

    /// `is_done` tells whether every service is settled.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.services.is_empty()
    }

    /// `next` gives the next step; none while something is out.
    pub fn next(
        &mut self,
        now: SystemTime,
        map: &OwnerMap,
        candidates: &[OwnerCandidate],
    ) -> Option<StopStep> {
        let service = *self.services.front()?;
        if now < self.not_before {
            return None;
        }

        let progress =
            self.progress.take().unwrap_or_else(|| Progress::Choosing(self.rank(map, candidates)));
        match progress {
            Progress::Choosing(left) => Some(self.offer_next(now, service, left, map)),
            Progress::Writing(handover, call) => {
                self.progress = Some(Progress::Waiting(handover));
                Some(StopStep::Call(call))
            }
            Progress::Settling(moved, map) => {
                self.services.pop_front();
                Some(StopStep::Settle { service, moved, map })
            }
            out @ (Progress::Offering(..) | Progress::Waiting(_)) => {
                self.progress = Some(out);
                None
            }
        }
    }

    /// The other candidates, those with fewer services first.
    fn rank(&self, map: &OwnerMap, candidates: &[OwnerCandidate]) -> VecDeque<OwnerCandidate> {
        let owned = |id| map.raw.entries.values().filter(|entry| entry.owner == id).count();
        let mut others: Vec<_> =
            candidates.iter().filter(|candidate| candidate.id != self.from.id).copied().collect();

        others.sort_by_key(|candidate| owned(candidate.id));
        others.into()
    }

    fn offer_next(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        mut left: VecDeque<OwnerCandidate>,
        map: &OwnerMap,
    ) -> StopStep {
        let next = left.pop_front();
        let handover = next.and_then(|to| OwnerHandover::new(service, map, self.from, to, now));

        match (next, handover) {
            (Some(to), Some(handover)) => {
                let id = handover.id;
                self.progress = Some(Progress::Offering(left, handover));
                StopStep::Offer { to: to.id, service, handover: id }
            }
            // Nobody takes it, or it was taken away: what is held back goes to whoever owns it now.
            _ => {
                self.services.pop_front();
                StopStep::Settle { service, moved: false, map: None }
            }
        }
    }

    /// `on_offered` takes the answer to an offer; no answer counts as a refusal.
    pub fn on_offered(&mut self, taken: bool) {
        if let Some(Progress::Offering(left, handover)) = self.progress.take() {
            self.progress = Some(if taken {
                let call = handover.call();
                Progress::Writing(handover, call)
            } else {
                Progress::Choosing(left)
            });
        }
    }

    /// `on_reply` takes the reply to a platform call.
    ///
    /// While the result is open nothing of the service is run here: the next owner may have it.
    pub fn on_reply(&mut self, now: SystemTime, reply: PlatformReply) {
        let Some(Progress::Waiting(handover)) = self.progress.take() else {
            return;
        };

        self.progress = Some(match handover.on_reply(reply) {
            HandoverOutcome::Call(call) => Progress::Writing(handover, call),
            HandoverOutcome::Moved(map) => Progress::Settling(true, Some(map)),
            HandoverOutcome::Stays(map) => Progress::Settling(false, Some(map)),
            HandoverOutcome::Unsettled => {
                self.not_before = now + RETRY_PAUSE;
                let call = PlatformCall::Read { key: ObjectKey::OwnerMap };
                Progress::Writing(handover, call)
            }
        });
    }
}
