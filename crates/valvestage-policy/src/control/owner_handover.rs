//! The planned move of one service to another owner.

use std::time::SystemTime;

use valvestage_core::ids::ServiceId;
use valvestage_core::time::to_unix_millis;

use super::object_key::{ObjectKey, ObjectValue};
use super::owner_coordinator::OwnerCandidate;
use super::owner_map::{OwnerEntry, OwnerMap, RawOwnerMap};
use super::platform_call::{PlatformCall, PlatformReply};

/// `HandoverOutcome` says how a handover stands after a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// Another call is needed.
    Call(PlatformCall),
    /// The next owner owns the service.
    Moved(OwnerMap),
    /// The service stays: somebody else changed the map first.
    Stays(OwnerMap),
    /// No answer: ask again later. Until it is settled nothing may be run.
    Unsettled,
}

/// `OwnerHandover` moves one service, after its claims were handed to the next owner.
#[derive(Debug, Clone)]
pub struct OwnerHandover {
    service: ServiceId,
    /// Names the handover, in the map and towards the next owner.
    pub id: u64,
    base: OwnerMap,
    next: RawOwnerMap,
}

impl OwnerHandover {
    /// `new` prepares the move of a service; none if the balancer that hands over does not own it
    /// any more: then the claims are not its to hand over.
    #[must_use]
    pub fn new(
        service: ServiceId,
        base: &OwnerMap,
        from: OwnerCandidate,
        to: OwnerCandidate,
        now: SystemTime,
    ) -> Option<Self> {
        let is_owner = |entry: &&OwnerEntry| entry.owner == from.id && entry.lease == from.lease;
        let present = *base.owner(service).filter(is_owner)?;
        let id = to_unix_millis(now) << 16 | u64::from(service);
        let change_id = format!("handover-{}-{id}", present.owner);

        // What the claim table covers goes over with the claims.
        let entry = OwnerEntry { owner: to.id, lease: to.lease, handover: Some(id), ..present };
        let mut entries = base.raw.entries.clone();
        entries.insert(service, entry);

        Some(Self { service, id, base: base.clone(), next: RawOwnerMap { change_id, entries } })
    }

    /// `call` gives the conditional write that moves the service.
    #[must_use]
    pub fn call(&self) -> PlatformCall {
        PlatformCall::Write {
            key: ObjectKey::OwnerMap,
            expected: Some(self.base.version),
            value: ObjectValue::OwnerMap(self.next.clone()),
        }
    }

    /// `on_reply` takes the result of a call.
    #[must_use]
    pub fn on_reply(&self, reply: PlatformReply) -> HandoverOutcome {
        match reply {
            PlatformReply::Written { version } => {
                HandoverOutcome::Moved(OwnerMap { version, raw: self.next.clone() })
            }
            // Conflicting with a write of our own whose answer was lost is possible, too.
            PlatformReply::Conflict => {
                HandoverOutcome::Call(PlatformCall::Read { key: ObjectKey::OwnerMap })
            }
            PlatformReply::Found { version, value: ObjectValue::OwnerMap(raw) } => {
                self.settle(OwnerMap { version, raw })
            }
            _ => HandoverOutcome::Unsettled,
        }
    }

    fn settle(&self, map: OwnerMap) -> HandoverOutcome {
        let entry = map.owner(self.service);

        if entry.is_some_and(|entry| entry.handover == Some(self.id)) {
            return HandoverOutcome::Moved(map);
        }
        // The write may still be on its way; writing once more with the same condition settles it.
        if map.version == self.base.version {
            return HandoverOutcome::Call(self.call());
        }

        HandoverOutcome::Stays(map)
    }
}
