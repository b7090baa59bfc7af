//! Change of a service's owner.

use std::time::{Duration, SystemTime};

use valvestage_core::RefusalReason;
use valvestage_core::ids::{BalancerId, ServiceId};

use super::balancer_policy::{BalancerPolicy, PendingImport};
use super::request_routing::refuse_unclaimed;
use crate::control::OwnerMap;
use crate::flows::RelayHeader;
use crate::operations::{Decision, Subject};
use crate::requests::{ExportedClaim, RequestAction};

/// Maximum number of requests held per service until the owner map arrives.
pub(super) const MAX_HELD_REQUESTS: usize = 1_000;

/// Maximum time for which requests are held.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Retention, after [`HOLD_TIME`], of the claims of a handover that never comes into force: the
/// longest deadline that settings accept.
const IMPORT_RETENTION: Duration = Duration::from_secs(60);

impl<P: Clone> BalancerPolicy<P> {
    /// Installs a newer owner map. Returns whether it was newer.
    pub fn install_owner_map(
        &mut self,
        now: SystemTime,
        map: &OwnerMap,
        out: &mut Vec<RequestAction<P>>,
    ) -> bool {
        if map.version <= self.owner_map.version {
            return false;
        }

        let former = std::mem::replace(&mut self.owner_map, map.clone());
        for (service, entry) in &map.raw.entries {
            if former.owner(*service) == Some(entry) {
                continue;
            }

            let planned = entry.handover.is_some();
            let decision = Decision::Owner { owner: entry.owner, planned };
            self.record(now, Subject::Service(*service), decision);

            if entry.owner == self.options.own {
                let former_owner = former.owner(*service).map(|entry| entry.owner);
                self.finish_import(now, *service, entry.handover, former_owner, out);
            }
        }
        true
    }

    /// Completes the import of a service's claims. The claims count only if the owner map names the
    /// handover that brought them.
    fn finish_import(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        handover: Option<u64>,
        former_owner: Option<BalancerId>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let Some(pending) = self.imports.remove(&service) else {
            return;
        };

        if Some(pending.handover) == handover {
            if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
                dispatcher.import(now, pending.claims);
            }
            if let Some(former) = former_owner {
                self.former_owners.insert(service, former);
            }
        }
        for request in pending.held {
            self.on_request(now, request, RelayHeader::FIRST, out);
        }
    }

    /// Exports a service's claims for its next owner, and holds new work back.
    pub fn start_handover(&mut self, service: ServiceId) -> Vec<ExportedClaim<P>> {
        self.dispatchers.get_mut(&service).map(|d| d.start_handover()).unwrap_or_default()
    }

    /// Completes a handover if the owner map was written (`moved`), or aborts it, and routes the
    /// requests that were held back.
    ///
    /// The owner map in force has to be installed first, since it determines where these requests
    /// go.
    pub fn settle_handover(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        moved: bool,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let Some(dispatcher) = self.dispatchers.get_mut(&service) else {
            return;
        };
        let held = if moved { dispatcher.complete_handover() } else { dispatcher.abort_handover() };

        for request in held {
            self.on_request(now, request, RelayHeader::FIRST, out);
        }
    }

    /// Stores the claims that the present owner of a service hands over; they count once the owner
    /// map names this handover.
    pub fn offer_handover(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        handover: u64,
        claims: Vec<ExportedClaim<P>>,
    ) {
        let held_until = now + HOLD_TIME;
        let pending = PendingImport { handover, claims, held: Vec::new(), held_until };

        self.imports.insert(service, pending);
    }

    /// Refuses the requests held for owner maps that did not arrive in time, and drops expired
    /// claims.
    pub(super) fn refuse_expired_held(&mut self, now: SystemTime, out: &mut Vec<RequestAction<P>>) {
        self.imports.retain(|_, pending| now < pending.held_until + IMPORT_RETENTION);
        let overdue = self.imports.values_mut().filter(|pending| now >= pending.held_until);

        for request in overdue.flat_map(|pending| pending.held.drain(..)) {
            refuse_unclaimed(&request, RefusalReason::OwnerUnreachable, out);
        }
    }
}
