//! State of one balancer's policy, and installation of the state that the control part learns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use valvestage_core::ids::{BackendId, BalancerId, FlowKey, ServiceId};
use valvestage_core::time::{Deadline, to_unix_millis};
use valvestage_core::{Configuration, PacketKind, RefusalReason};

use super::balancer_options::BalancerOptions;
use crate::control::{LeaseGrant, OwnerMap};
use crate::flows::{FlowDirector, FlowPacket, FlowSource, FlowVerdict, TokenKeys};
use crate::membership::LiveView;
use crate::operations::{Decision, DecisionLog, DecisionRecord, Subject};
use crate::requests::{ExportedClaim, Request, RequestAction, ServiceDispatcher, ServiceLoad};

/// Claims of a handover that is not complete yet.
#[derive(Debug, Clone)]
pub(super) struct PendingImport<P> {
    pub(super) handover: u64,
    pub(super) claims: Vec<ExportedClaim<P>>,
    /// Requests that the former owner relayed before the owner map arrived; at most
    /// [`super::MAX_HELD_REQUESTS`].
    pub(super) held: Vec<Request<P>>,
    /// Time until which the requests are held.
    pub(super) held_until: Deadline,
}

/// Decides about flow packets and requests for one balancer.
#[derive(Debug)]
pub struct BalancerPolicy<P> {
    pub(super) options: BalancerOptions,
    pub(super) director: FlowDirector,
    /// One dispatcher for each service of the configuration in force, and for other services that
    /// still have open work.
    pub(super) dispatchers: BTreeMap<ServiceId, ServiceDispatcher<P>>,
    pub(super) owner_map: OwnerMap,
    pub(super) grant: Option<LeaseGrant>,
    pub(super) imports: BTreeMap<ServiceId, PendingImport<P>>,
    /// Former owner that a service's claims came from; retransmissions of requests that run there
    /// are relayed to it.
    pub(super) former_owners: BTreeMap<ServiceId, BalancerId>,
    pub(super) log: DecisionLog,
    /// Time of the latest event or tick; `None` before the first.
    latest: Option<SystemTime>,
    /// Time until which no new work is dispatched, because the process was paused.
    catching_up_until: Option<SystemTime>,
}

impl<P: Clone> BalancerPolicy<P> {
    /// Creates a policy without a configuration, a view or a lease.
    #[must_use]
    pub fn new(options: BalancerOptions) -> Self {
        Self {
            director: FlowDirector::new(options.own, options.flows),
            dispatchers: BTreeMap::new(),
            owner_map: OwnerMap::default(),
            grant: None,
            imports: BTreeMap::new(),
            former_owners: BTreeMap::new(),
            log: DecisionLog::new(options.kept_decisions),
            latest: None,
            catching_up_until: None,
            options,
        }
    }

    /// Returns the verdict for a flow packet.
    pub fn on_flow(&mut self, now: SystemTime, packet: &FlowPacket) -> FlowVerdict {
        self.detect_pause(now);
        let verdict = if packet.opening && self.is_catching_up(now) {
            FlowVerdict::Drop(RefusalReason::CatchingUp)
        } else {
            self.director.decide(now, packet)
        };

        // Packets of established flows, nearly all packets, are not recorded.
        let decision = match verdict {
            FlowVerdict::Forward { backend, source, .. }
                if packet.opening || source == FlowSource::History =>
            {
                let version = self.director.version_in_force();
                Some(Decision::FlowBound { backend, source, version })
            }
            FlowVerdict::Relay { peer, hop } if packet.opening => {
                Some(Decision::Relayed { peer, hops: hop.count })
            }
            FlowVerdict::Refuse(reason) | FlowVerdict::Drop(reason) => {
                Some(Decision::FlowRefused { reason })
            }
            FlowVerdict::Forward { .. } | FlowVerdict::Relay { .. } => None,
        };
        if let Some(decision) = decision {
            self.record(now, Subject::Flow(packet.key), decision);
        }

        verdict
    }

    /// Detects that the process was paused. After a pause the policy has an old configuration and
    /// view, and packets may have waited for the whole pause, so it dispatches no new work until
    /// the control part has had the time to catch up.
    pub(super) fn detect_pause(&mut self, now: SystemTime) {
        let latest = self.latest.replace(now);
        let gap = latest.and_then(|latest| now.duration_since(latest).ok()).unwrap_or_default();
        if gap < self.options.pause_limit {
            return;
        }

        let until = now + self.options.catch_up;
        self.catching_up_until = Some(until);
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.hold_dispatch_until(until);
        }
    }

    pub(super) fn is_catching_up(&self, now: SystemTime) -> bool {
        self.catching_up_until.is_some_and(|until| now < until)
    }

    /// Records a flow packet from a backend server.
    pub fn on_backend_packet(&mut self, key: FlowKey, backend: BackendId, kind: PacketKind) {
        self.director.on_packet_from(backend);

        if kind == PacketKind::Close {
            self.director.on_closed(key);
        }
    }

    /// Puts a newer configuration in force. Returns whether it was put in force.
    pub fn install_configuration(&mut self, now: SystemTime, next: &Arc<Configuration>) -> bool {
        if !self.director.install_configuration(next.clone()) {
            return false;
        }

        for service in next.services() {
            let options = &self.options;
            self.dispatchers.entry(service.id).or_insert_with(|| {
                ServiceDispatcher::new(service.id, options.requests, options.pool.clone())
            });
        }
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.install(next, now);
        }
        self.propagate_lost_zones();

        let decision = Decision::InForce { change_id: next.change_id.clone() };
        self.record(now, Subject::Change(next.version), decision);
        true
    }

    /// Replaces the view of live balancers. Returns whether it differs from the former one.
    pub fn install_view(&mut self, view: LiveView) -> bool {
        let is_new = self.director.install_view(view);

        if is_new {
            self.propagate_lost_zones();
        }
        is_new
    }

    fn propagate_lost_zones(&mut self) {
        let Some(configuration) = self.director.history().current() else {
            return;
        };

        let lost = self.director.view().lost_zones(configuration);
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.pool_mut().set_lost_zones(lost.clone());
        }
    }

    /// Puts newer token keys in force. Returns whether they were newer.
    pub fn install_keys(&mut self, keys: TokenKeys) -> bool {
        self.director.install_keys(keys)
    }

    /// Sets the present lease; `None` if the balancer holds none.
    pub fn install_grant(&mut self, grant: Option<LeaseGrant>) {
        self.grant = grant;
    }

    /// Runs all actions that are due.
    pub fn tick(&mut self, now: SystemTime, out: &mut Vec<RequestAction<P>>) {
        self.detect_pause(now);
        let first = out.len();
        let services: Vec<ServiceId> = self.dispatchers.keys().copied().collect();

        for service in services {
            let authority = self.authority(service, now);
            if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
                dispatcher.tick(now, authority, out);
            }
        }
        self.refuse_expired_held(now, out);
        self.record_actions(now, &out[first..]);
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn open_work(&self) -> usize {
        self.dispatchers.values().map(ServiceDispatcher::open_work).sum()
    }

    /// Iterates over the services, each with its load as this balancer counts it.
    pub fn loads(&self, now: SystemTime) -> impl Iterator<Item = (ServiceId, ServiceLoad)> {
        self.dispatchers.iter().map(move |(service, dispatcher)| (*service, dispatcher.load(now)))
    }

    /// Returns the dispatcher of a service, if the service is known.
    #[must_use]
    pub fn dispatcher(&self, service: ServiceId) -> Option<&ServiceDispatcher<P>> {
        self.dispatchers.get(&service)
    }

    /// Returns the flow part.
    #[must_use]
    pub fn director(&self) -> &FlowDirector {
        &self.director
    }

    /// Returns the flow part for changes.
    pub fn director_mut(&mut self) -> &mut FlowDirector {
        &mut self.director
    }

    /// Returns the owner map as known to this balancer.
    #[must_use]
    pub fn owner_map(&self) -> &OwnerMap {
        &self.owner_map
    }

    /// Returns the kept decisions about a subject, oldest first.
    #[must_use]
    pub fn decisions_about(&self, subject: Subject) -> Vec<DecisionRecord> {
        self.log.about(subject)
    }

    pub(super) fn record(&mut self, now: SystemTime, subject: Subject, decision: Decision) {
        let at_ms = to_unix_millis(now);

        self.log.push(DecisionRecord { at_ms, balancer: self.options.own, subject, decision });
    }

    pub(super) fn record_actions(&mut self, now: SystemTime, actions: &[RequestAction<P>]) {
        for action in actions {
            let (id, decision) = match action {
                RequestAction::Dispatch { backend, attempt, retry, request, .. } => {
                    let dispatcher = self.dispatchers.get(&request.service);
                    let load = dispatcher.map(|d| d.load(now)).unwrap_or_default();
                    let decision = Decision::Dispatched {
                        backend: *backend,
                        attempt: *attempt,
                        retry: *retry,
                        busy_slots: load.busy_slots,
                        waiting: load.waiting,
                    };
                    (request.id, decision)
                }
                RequestAction::Answer { id, .. } => (*id, Decision::Answered),
                RequestAction::Refuse { id, refusal, .. } => {
                    let decision = Decision::Refused {
                        outcome: refusal.outcome,
                        reason: refusal.reason,
                        retry_after: refusal.retry_after,
                    };
                    (*id, decision)
                }
                RequestAction::Relay { peer, hop, request } => {
                    (request.id, Decision::Relayed { peer: *peer, hops: hop.count })
                }
                RequestAction::Cancel { .. } => continue,
            };

            self.record(now, Subject::Request(id), decision);
        }
    }
}
