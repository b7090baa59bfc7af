//! The planned handover of one service to another owner.

use std::time::SystemTime;

use valvestage_core::ids::ServiceId;
use valvestage_core::time::to_unix_millis;

use super::object_key::{ObjectKey, ObjectValue};
use super::owner_coordinator::OwnerCandidate;
use super::owner_map::{OwnerEntry, OwnerMap, RawOwnerMap};
use super::platform_call::{PlatformCall, PlatformReply};

/// State of a handover after a platform reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// Another platform call is needed.
    Call(PlatformCall),
    /// The next owner owns the service, by this map.
    Moved(OwnerMap),
    /// The service was not moved, because another balancer changed the map first.
    NotMoved(OwnerMap),
    /// The result is not known: the map has to be read later. Until then no request of the service
    /// may be run.
    Unsettled,
}

/// State machine that moves one service after its claims were transferred to the next owner.
#[derive(Debug, Clone)]
pub struct OwnerHandover {
    service: ServiceId,
    /// Id of the handover, in the owner map and in messages to the next owner.
    pub id: u64,
    base: OwnerMap,
    next: RawOwnerMap,
}

impl OwnerHandover {
    /// Prepares the move of a service. Returns `None` if the balancer `from` does not own it under
    /// its lease any more, because its claims are then no longer authoritative.
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

        // The claims move along, so the start of the covered time range stays the same.
        let entry = OwnerEntry { owner: to.id, lease: to.lease, handover: Some(id), ..present };
        let mut entries = base.raw.entries.clone();
        entries.insert(service, entry);

        Some(Self { service, id, base: base.clone(), next: RawOwnerMap { change_id, entries } })
    }

    /// Returns the conditional write that moves the service.
    #[must_use]
    pub fn call(&self) -> PlatformCall {
        PlatformCall::Write {
            key: ObjectKey::OwnerMap,
            expected: Some(self.base.version),
            value: ObjectValue::OwnerMap(self.next.clone()),
        }
    }

    /// Handles the reply to a call.
    #[must_use]
    pub fn on_reply(&self, reply: PlatformReply) -> HandoverOutcome {
        match reply {
            PlatformReply::Written { version } => {
                HandoverOutcome::Moved(OwnerMap { version, raw: self.next.clone() })
            }
            // The conflicting write may be an earlier one of this handover whose answer was lost.
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
        // The write may still take effect later; repeating it with the same condition settles it.
        if map.version == self.base.version {
            return HandoverOutcome::Call(self.call());
        }

        HandoverOutcome::NotMoved(map)
    }
}
