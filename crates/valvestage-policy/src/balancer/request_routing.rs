//! Which balancer decides for a request, and the change of owners.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, RequestId, ServiceId};
use valvestage_core::{Outcome, RefusalReason, Segment};

use super::balancer_policy::{BalancerPolicy, PendingImport};
use crate::control::OwnerMap;
use crate::flows::{HopMark, MAX_HOPS, RelayPurpose};
use crate::operations::{Decision, Subject};
use crate::requests::{
    Authority, BackendReply, ClaimState, HandedClaim, Refusal, Request, RequestAction,
};

/// When a caller may come back whose request's owner is out of reach.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests held for a service whose owner map is on its way.
pub(super) const MOST_HELD: usize = 1_000;

/// How long they are held at the most.
const HELD_FOR: Duration = Duration::from_secs(2);

impl<P: Clone> BalancerPolicy<P> {
    /// `authority` gives the right to decide for a service, if this balancer owns it under its
    /// present lease.
    #[must_use]
    pub fn authority(&self, service: ServiceId, now: SystemTime) -> Option<Authority> {
        let entry = self.owner_map.owner(service)?;
        let grant = self.grant?;
        let authority = Authority { covers_from: entry.covers_from(), fence: grant.fence };

        let is_owner = entry.owner == self.options.own && entry.lease == grant.epoch;
        (is_owner && authority.is_valid(now)).then_some(authority)
    }

    /// `on_request` takes a request from the fabric or from another balancer.
    pub fn on_request(
        &mut self,
        now: SystemTime,
        request: Request<P>,
        hop: HopMark,
        out: &mut Vec<RequestAction<P>>,
    ) {
        self.notice_pause(now);
        let first = out.len();

        self.route_request(now, request, hop, out);
        self.record_actions(now, &out[first..]);
    }

    fn route_request(
        &mut self,
        now: SystemTime,
        request: Request<P>,
        hop: HopMark,
        out: &mut Vec<RequestAction<P>>,
    ) {
        if self.director.history().current().is_none() {
            refuse_unclaimed(&request, RefusalReason::NoConfiguration, out);
            return;
        }

        match self.decider(&request, hop) {
            Decider::Own => self.accept(now, request, out),
            Decider::Peer(peer) => {
                let hop = HopMark {
                    count: hop.count + 1,
                    purpose: RelayPurpose::Home,
                    view_epoch: self.director.view().epoch(),
                };
                out.push(RequestAction::Relay { peer, hop, request });
            }
            Decider::Nobody => refuse_unclaimed(&request, RefusalReason::OwnerUnreachable, out),
        }
    }

    fn accept(&mut self, now: SystemTime, request: Request<P>, out: &mut Vec<RequestAction<P>>) {
        let authority = self.authority(request.service, now);
        let catches_up = self.is_catching_up(now);

        // The claims are here and the map is on its way: it decides.
        if authority.is_none()
            && let Some(pending) = self.imports.get_mut(&request.service)
            && now < pending.held_until
            && pending.held.len() < MOST_HELD
        {
            pending.held.push(request);
            return;
        }

        match self.dispatchers.get_mut(&request.service) {
            Some(known) if catches_up && known.claim(request.id).is_none() => {
                refuse_unclaimed(&request, RefusalReason::CatchingUp, out);
            }
            Some(dispatcher) => dispatcher.accept(now, request, authority, out),
            None => refuse_unclaimed(&request, RefusalReason::UnknownService, out),
        }
    }

    fn decider(&self, request: &Request<P>, hop: HopMark) -> Decider {
        let own = self.options.own;
        let view = self.director.view();
        let may_relay = hop.count < MAX_HOPS;

        // A claim of this balancer decides, whoever owns the service by now.
        let dispatcher = self.dispatchers.get(&request.service);
        if let Some(claim) = dispatcher.and_then(|dispatcher| dispatcher.claim(request.id)) {
            let former = self.former_owners.get(&request.service).copied();
            return match (&claim.state, former) {
                (ClaimState::Elsewhere, Some(former)) if may_relay && view.is_reachable(former) => {
                    Decider::Peer(former)
                }
                _ => Decider::Own,
            };
        }

        // Its claims are here: the former owner has sent it on, and the map is on its way.
        if hop.count > 0 && self.imports.contains_key(&request.service) {
            return Decider::Own;
        }

        let owner = self.owner_map.owner(request.service).map(|entry| entry.owner);
        match owner {
            Some(owner) if owner == own => Decider::Own,
            Some(owner) if may_relay && view.is_reachable(owner) => Decider::Peer(owner),
            // Work that may be repeated needs no owner: the balancers left agree on one of them.
            _ if request.repeatable => match view.service_home(request.service) {
                Some(home) if home != own && hop.count == 0 => Decider::Peer(home),
                _ => Decider::Own,
            },
            _ if hop.count > 0 => Decider::Own,
            _ => Decider::Nobody,
        }
    }

    /// `on_answer` takes one segment of a backend server's answer.
    pub fn on_answer(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        reply: BackendReply,
        place: Segment,
        payload: P,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let first = out.len();
        let authority = self.authority(service, now);

        if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
            dispatcher.on_answer(now, reply, place, payload, authority, out);
        }
        self.record_actions(now, &out[first..]);
    }

    /// `on_refused` takes a backend server's refusal of a try.
    pub fn on_refused(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        reply: BackendReply,
        reason: RefusalReason,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let first = out.len();
        let authority = self.authority(service, now);

        if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
            dispatcher.on_refused(now, reply, reason, authority, out);
        }
        self.record_actions(now, &out[first..]);
    }

    /// `on_cancel` withdraws a request for its caller, and gives the balancer to pass it on to
    /// if another one decides for it.
    pub fn on_cancel(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        id: RequestId,
        caller: SocketAddr,
        out: &mut Vec<RequestAction<P>>,
    ) -> Option<BalancerId> {
        let first = out.len();

        if let Some(dispatcher) = self.dispatchers.get_mut(&service)
            && dispatcher.claim(id).is_some()
        {
            dispatcher.on_cancel(now, id, caller, out);
            self.record_actions(now, &out[first..]);
            return None;
        }

        let owner = self.owner_map.owner(service)?.owner;
        (owner != self.options.own).then_some(owner)
    }

    /// `install_owner_map` takes a newer map of owners.
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

    /// The claims count only if the map names the handover that brought them.
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
            self.on_request(now, request, HopMark::FIRST, out);
        }
    }

    /// `start_handover` copies a service's claims for its next owner and holds new work back.
    pub fn start_handover(&mut self, service: ServiceId) -> Vec<HandedClaim<P>> {
        self.dispatchers.get_mut(&service).map(|d| d.start_handover()).unwrap_or_default()
    }

    /// `settle_handover` goes on after the owner map was written, or was not.
    ///
    /// The map in force has to be installed first: it decides where the requests held back go.
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
            self.on_request(now, request, HopMark::FIRST, out);
        }
    }

    /// `offer_handover` takes the claims that the present owner of a service hands over; they
    /// count once the owner map names this handover.
    pub fn offer_handover(
        &mut self,
        now: SystemTime,
        service: ServiceId,
        handover: u64,
        claims: Vec<HandedClaim<P>>,
    ) {
        let held_until = now + HELD_FOR;
        let pending = PendingImport { handover, claims, held: Vec::new(), held_until };

        self.imports.insert(service, pending);
    }

    /// The map did not come in time: what was held is refused at once.
    pub(super) fn give_up_held(&mut self, now: SystemTime, out: &mut Vec<RequestAction<P>>) {
        let overdue = self.imports.values_mut().filter(|pending| now >= pending.held_until);

        for request in overdue.flat_map(|pending| pending.held.drain(..)) {
            refuse_unclaimed(&request, RefusalReason::OwnerUnreachable, out);
        }
    }
}

/// Who decides for a request.
enum Decider {
    Own,
    Peer(BalancerId),
    Nobody,
}

/// A refusal without a claim: a copy may have reached another balancer, so it is in doubt.
fn refuse_unclaimed<P>(
    request: &Request<P>,
    reason: RefusalReason,
    out: &mut Vec<RequestAction<P>>,
) {
    let refusal = Refusal { outcome: Outcome::InDoubt, reason, retry_after: OWNER_RETRY_AFTER };

    out.push(RequestAction::Refuse {
        id: request.id,
        service: request.service,
        caller: request.caller,
        refusal,
    });
}
