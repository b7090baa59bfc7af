//! Selection of the balancer that decides for a request.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, RequestId, ServiceId};
use valvestage_core::{Outcome, RefusalReason, Segment};

use super::balancer_policy::BalancerPolicy;
use super::owner_change::MAX_HELD_REQUESTS;
use crate::flows::{MAX_HOPS, RelayHeader, RelayPurpose};
use crate::requests::{Authority, BackendReply, ClaimState, Refusal, Request, RequestAction};

/// Retry delay given to a caller if the owner of its request's service is unreachable.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<P: Clone> BalancerPolicy<P> {
    /// Returns the authority to decide for a service, if this balancer owns it under its present
    /// lease.
    #[must_use]
    pub fn authority(&self, service: ServiceId, now: SystemTime) -> Option<Authority> {
        let entry = self.owner_map.owner(service)?;
        let grant = self.grant?;
        let authority = Authority { covers_from: entry.covers_from(), fence: grant.fence };

        let is_owner = entry.owner == self.options.own && entry.lease == grant.epoch;
        (is_owner && authority.is_valid(now)).then_some(authority)
    }

    /// Routes a request from the fabric or from another balancer.
    pub fn on_request(
        &mut self,
        now: SystemTime,
        request: Request<P>,
        hop: RelayHeader,
        out: &mut Vec<RequestAction<P>>,
    ) {
        self.detect_pause(now);
        let first = out.len();

        self.route_request(now, request, hop, out);
        self.record_actions(now, &out[first..]);
    }

    fn route_request(
        &mut self,
        now: SystemTime,
        request: Request<P>,
        hop: RelayHeader,
        out: &mut Vec<RequestAction<P>>,
    ) {
        if self.director.history().current().is_none() {
            refuse_unclaimed(&request, RefusalReason::NoConfiguration, out);
            return;
        }

        match self.decider(&request, hop) {
            Decider::Own => self.accept(now, request, out),
            Decider::Peer(peer) => {
                let hop = RelayHeader {
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

        // The claims have arrived before the owner map, which decides about the request.
        if authority.is_none()
            && let Some(pending) = self.imports.get_mut(&request.service)
            && now < pending.held_until
            && pending.held.len() < MAX_HELD_REQUESTS
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

    fn decider(&self, request: &Request<P>, hop: RelayHeader) -> Decider {
        let own = self.options.own;
        let view = self.director.view();
        let may_relay = hop.count < MAX_HOPS;

        // A claim of this balancer decides, whichever balancer owns the service by now.
        let dispatcher = self.dispatchers.get(&request.service);
        if let Some(claim) = dispatcher.and_then(|dispatcher| dispatcher.claim(request.id)) {
            let former = self.former_owners.get(&request.service).copied();
            return match (&claim.state, former) {
                (ClaimState::RunningAtPreviousOwner, Some(former))
                    if may_relay && view.is_reachable(former) =>
                {
                    Decider::Peer(former)
                }
                _ => Decider::Own,
            };
        }

        // The claims of the service have arrived, and the former owner has relayed the request, so
        // the owner map is about to arrive.
        if hop.count > 0 && self.imports.contains_key(&request.service) {
            return Decider::Own;
        }

        let owner = self.owner_map.owner(request.service).map(|entry| entry.owner);
        match owner {
            Some(owner) if owner == own => Decider::Own,
            Some(owner) if may_relay && view.is_reachable(owner) => Decider::Peer(owner),
            // Repeatable requests need no owner: balancers with the same view select the same
            // balancer.
            _ if request.repeatable => match view.service_home(request.service) {
                Some(home) if home != own && hop.count == 0 => Decider::Peer(home),
                _ => Decider::Own,
            },
            _ if hop.count > 0 => Decider::Own,
            _ => Decider::Nobody,
        }
    }

    /// Handles one segment of a backend server's answer.
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

    /// Handles a backend server's refusal of one attempt to run a request.
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

    /// Cancels a request for its caller. Returns the balancer to pass the cancellation on to, if
    /// another one decides for the request.
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
}

/// Balancer that decides for a request.
enum Decider {
    Own,
    Peer(BalancerId),
    Nobody,
}

/// Refuses a request without a claim. Its outcome is in doubt, since an earlier transmission may
/// have reached another balancer.
pub(super) fn refuse_unclaimed<P>(
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
