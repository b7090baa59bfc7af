//! Handover of all services, one after the other, before a planned stop.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, ServiceId};

use super::object_key::ObjectKey;
use super::owner_coordinator::OwnerCandidate;
use super::owner_handover::{HandoverOutcome, OwnerHandover};
use super::owner_map::OwnerMap;
use super::platform_call::{PlatformCall, PlatformReply};

/// Delay before a retry, after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Next action of the driver during a planned stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopStep {
    /// Export the service's claims and offer them to the next owner. New requests of the service
    /// are held back from then on.
    Offer {
        /// Balancer that gets the offer.
        to: BalancerId,
        /// Id of the service.
        service: ServiceId,
        /// Id of the handover.
        handover: u64,
    },
    /// Perform a platform call.
    Call(PlatformCall),
    /// Put the map in force, then process the requests that were held back.
    Settle {
        /// Id of the service.
        service: ServiceId,
        /// Whether the next owner owns the service now.
        moved: bool,
        /// Map that shows the result, if one was read or written.
        map: Option<OwnerMap>,
    },
}

#[derive(Debug, Clone)]
enum Progress {
    /// The service has to be offered to the first of these remaining candidates.
    Choosing(VecDeque<OwnerCandidate>),
    /// An offer is pending; these candidates remain if it is refused.
    Offering(VecDeque<OwnerCandidate>, OwnerHandover),
    /// A platform call is due.
    Writing(OwnerHandover, PlatformCall),
    /// A platform call is pending.
    Waiting(OwnerHandover),
    /// The result is known: whether the service was moved, and the map that shows it.
    Settling(bool, Option<OwnerMap>),
}

/// State machine that moves all services of a leaving balancer.
#[derive(Debug, Clone)]
pub struct PlannedStop {
    /// Leaving balancer, with the lease under which it owns the services.
    from: OwnerCandidate,
    /// Services still to be moved; the first one is in progress.
    services: VecDeque<ServiceId>,
    progress: Option<Progress>,
    not_before: SystemTime,
}

impl PlannedStop {
    /// Creates the state machine for the services that the balancer owns.
    pub fn new(
        from: OwnerCandidate,
        services: impl IntoIterator<Item = ServiceId>,
        now: SystemTime,
    ) -> Self {
        Self { from, services: services.into_iter().collect(), progress: None, not_before: now }
    }

    /// Reports whether all services are settled.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the next step, or `None` while an offer, a call or a retry delay is pending.
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
            Progress::Choosing(remaining) => Some(self.offer_next(now, service, remaining, map)),
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

    /// Returns the other candidates, those with fewer services first.
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
        mut remaining: VecDeque<OwnerCandidate>,
        map: &OwnerMap,
    ) -> StopStep {
        let next = remaining.pop_front();
        let handover = next.and_then(|to| OwnerHandover::new(service, map, self.from, to, now));

        match (next, handover) {
            (Some(to), Some(handover)) => {
                let id = handover.id;
                self.progress = Some(Progress::Offering(remaining, handover));
                StopStep::Offer { to: to.id, service, handover: id }
            }
            // No candidate takes the service, or another balancer owns it by now. Requests that
            // were held back go to the present owner.
            _ => {
                self.services.pop_front();
                StopStep::Settle { service, moved: false, map: None }
            }
        }
    }

    /// Handles the answer to an offer. A missing answer counts as a refusal.
    pub fn on_offered(&mut self, taken: bool) {
        if let Some(Progress::Offering(remaining, handover)) = self.progress.take() {
            self.progress = Some(if taken {
                let call = handover.call();
                Progress::Writing(handover, call)
            } else {
                Progress::Choosing(remaining)
            });
        }
    }

    /// Handles the reply to a platform call.
    ///
    /// While the result is not known, no request of the service is run here, because the next owner
    /// may own it already.
    pub fn on_reply(&mut self, now: SystemTime, reply: PlatformReply) {
        let Some(Progress::Waiting(handover)) = self.progress.take() else {
            return;
        };

        self.progress = Some(match handover.on_reply(reply) {
            HandoverOutcome::Call(call) => Progress::Writing(handover, call),
            HandoverOutcome::Moved(map) => Progress::Settling(true, Some(map)),
            HandoverOutcome::NotMoved(map) => Progress::Settling(false, Some(map)),
            HandoverOutcome::Unsettled => {
                self.not_before = now + RETRY_PAUSE;
                let call = PlatformCall::Read { key: ObjectKey::OwnerMap };
                Progress::Writing(handover, call)
            }
        });
    }
}
