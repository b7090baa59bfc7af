//! Simulated world: its state, the event queue, and the handling of each event.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use valvestage_core::ids::{Attempt, BackendId, BalancerId, ObjectVersion, RequestId, ServiceId};
use valvestage_core::{Backend, PacketKind, RefusalReason, Segment};
use valvestage_policy::control::{
    ControlAction, Installation, ObjectKey, ObjectValue, PlannedStop, PlatformCall, PlatformReply,
    StateMachine, StopStep,
};
use valvestage_policy::flows::{
    Binding, ExceptionFinder, FlowPacket, FlowToken, FlowVerdict, MAX_HOPS, RelayHeader,
};
use valvestage_policy::membership::HeartbeatMessage;
use valvestage_policy::rendezvous::mix;
use valvestage_policy::requests::{BackendReply, ExportedClaim, Refusal, Request, RequestAction};

use crate::ablations::Ablation;
use crate::backend::{AdmissionResult, DispatchedRequest, FakeBackend};
use crate::caller::{self, CallerReply, Flow};
use crate::cells::Cell;
use crate::network::Network;
use crate::node::{Node, Payload, ProcessState};
use crate::operator::Operator;
use crate::oracle::{Oracle, Promise};
use crate::platform::FakePlatform;
use crate::scenario::Timer;
use crate::steps::Step;

/// Interval between two steps of a balancer.
pub const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Number of segments of each answer.
const ANSWER_SEGMENTS: u16 = 2;

/// Part of a balancer that called the platform and takes the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformCallSource {
    Machine(StateMachine),
    Stop,
}

/// Event that arrives at a balancer.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    Flow {
        flow: usize,
        opening: bool,
        token: Option<FlowToken>,
        hop: RelayHeader,
    },
    Binding(Binding),
    Request {
        request: Request<Payload>,
        hop: RelayHeader,
    },
    Answer {
        service: ServiceId,
        reply: BackendReply,
        place: Segment,
        payload: Payload,
    },
    Refused {
        service: ServiceId,
        reply: BackendReply,
        reason: RefusalReason,
    },
    BackendFlow {
        flow: usize,
        backend: Backend,
        opening: bool,
    },
    FlowRefused {
        flow: usize,
        backend: BackendId,
        reason: RefusalReason,
    },
    PlatformReply {
        source: PlatformCallSource,
        reply: PlatformReply,
    },
    Heartbeat {
        from: BalancerId,
        message: HeartbeatMessage,
    },
    HeartbeatAnswer(HeartbeatMessage),
    Fetch {
        from: BalancerId,
        key: ObjectKey,
    },
    Object {
        key: ObjectKey,
        version: ObjectVersion,
        value: ObjectValue,
    },
    Offer {
        from: BalancerId,
        service: ServiceId,
        handover: u64,
        claims: Vec<ExportedClaim<Payload>>,
    },
    OfferReply(bool),
    Bindings(Vec<Binding>),
    CopyExceptions,
}

/// Event of the simulation.
#[derive(Debug, Clone)]
pub enum Event {
    StepNode(BalancerId),
    Node(BalancerId, NodeEvent),
    Dispatch {
        address: SocketAddr,
        dispatched: DispatchedRequest,
        intended_service: ServiceId,
    },
    Cancel {
        address: SocketAddr,
        id: RequestId,
        attempt: Attempt,
        from: BalancerId,
    },
    RunFinished {
        address: SocketAddr,
        id: RequestId,
        attempt: Attempt,
        to: BalancerId,
        backend: Backend,
    },
    BackendFlow {
        address: SocketAddr,
        flow: usize,
        opening: bool,
        from: BalancerId,
        backend: Backend,
    },
    Platform {
        from: BalancerId,
        source: PlatformCallSource,
        call: PlatformCall,
    },
    CallerFlow {
        flow: usize,
        backend: Option<BackendId>,
        token: Option<FlowToken>,
        refused: bool,
    },
    CallerAnswer {
        id: RequestId,
        caller: SocketAddr,
        segments: Vec<Payload>,
    },
    CallerRefusal {
        id: RequestId,
        caller: SocketAddr,
        refusal: Refusal,
    },
    Timer(Timer),
}

/// State of the simulation of one cell.
pub struct World {
    pub now: SystemTime,
    pub start: SystemTime,
    pub seed: u64,
    pub ablation: Ablation,
    pub nodes: BTreeMap<BalancerId, Node>,
    pub platform: FakePlatform,
    /// VMs of backend servers by address, which a VM keeps when it is reassigned to another
    /// service.
    pub vms: BTreeMap<SocketAddr, FakeBackend>,
    pub flows: Vec<Flow>,
    pub requests: BTreeMap<RequestId, caller::Request>,
    pub oracle: Oracle,
    pub network: Network,
    /// Number of events handled so far, which is the same in each run with the same seed.
    pub events: u64,
    /// Lines that say what happened in the cell, and when.
    pub event_log: Vec<String>,
    /// Requests of which every event is logged.
    pub traced_requests: Vec<RequestId>,
    /// Step that triggers the first fault, until it is reached.
    pub awaited_step: Option<Step>,
    /// Where the step was reached.
    pub fault_site: Option<FaultSite>,
    /// Balancer that is to freeze at its next dispatch to one of these addresses, or to any if
    /// there are none.
    pub pending_freeze: Option<(BalancerId, Vec<SocketAddr>)>,
    /// Packets that frozen balancers had decided to send. They leave when a balancer resumes.
    pub held_packets: Vec<(BalancerId, Event)>,
    pub cell: Cell,
    /// Balancers among which the fabric spreads the packets of callers.
    pub fabric: Vec<BalancerId>,
    pub operators: Vec<Operator>,
    /// Backend servers that a change removes from service, and when the change was accepted.
    pub leaving_backends: Option<(Vec<SocketAddr>, SystemTime)>,
    queue: BinaryHeap<Queued>,
    sequence: u64,
    draws: u64,
}

/// Balancer and backend server at which the awaited step was reached.
#[derive(Debug, Clone, Copy)]
pub struct FaultSite {
    pub node: BalancerId,
    pub vm: Option<SocketAddr>,
}

struct Queued {
    at: SystemTime,
    sequence: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    /// Orders the earliest event first in the queue, which is a max-heap.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl World {
    pub fn new(cell: Cell, ablation: Ablation) -> Self {
        let start = UNIX_EPOCH + Duration::from_secs(1_800_000_000);

        Self {
            now: start,
            start,
            seed: cell.seed,
            ablation,
            nodes: BTreeMap::new(),
            platform: FakePlatform::default(),
            vms: BTreeMap::new(),
            flows: Vec::new(),
            requests: BTreeMap::new(),
            oracle: Oracle::default(),
            network: Network::default(),
            events: 0,
            event_log: Vec::new(),
            traced_requests: Vec::new(),
            awaited_step: None,
            fault_site: None,
            pending_freeze: None,
            held_packets: Vec::new(),
            cell,
            fabric: Vec::new(),
            operators: Vec::new(),
            leaving_backends: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            draws: 0,
        }
    }

    /// Draws the next pseudo-random number, which depends only on the seed.
    pub fn draw(&mut self) -> u64 {
        self.draws += 1;

        mix(self.seed, self.draws)
    }

    /// Draws a number from 0 up to, but not including, 1.
    pub fn draw_fraction(&mut self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let random_bits = (self.draw() >> 11) as f64;

        random_bits / 9_007_199_254_740_992.0
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;

        self.queue.push(Queued { at: self.now + after, sequence: self.sequence, event });
    }

    pub fn log_event(&mut self, text: String) {
        let at = self.now.duration_since(self.start).unwrap_or_default();

        self.event_log.push(format!("{:>6} ms  {text}", at.as_millis()));
    }

    /// Logs an event of a request, if the request is traced.
    pub fn log_request_event(&mut self, id: RequestId, text: impl FnOnce() -> String) {
        if self.traced_requests.contains(&id) {
            let text = text();
            self.log_event(format!("request {id:x} {text}"));
        }
    }

    pub fn run_until(&mut self, end: SystemTime) {
        while let Some(queued) = self.queue.pop() {
            if queued.at > end {
                return;
            }

            self.now = queued.at;
            self.events += 1;
            self.handle(queued.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StepNode(id) => self.step_node(id),
            Event::Node(id, event) => self.deliver_to_node(id, event),
            Event::Dispatch { address, dispatched, intended_service } => {
                self.on_dispatch(address, dispatched, intended_service);
            }
            Event::Cancel { address, id, attempt, from } => {
                self.on_cancel(address, id, attempt, from);
            }
            Event::RunFinished { address, id, attempt, to, backend } => {
                self.on_done(address, id, attempt, to, &backend);
            }
            Event::BackendFlow { address, flow, opening, from, backend } => {
                self.on_backend_flow(address, flow, opening, from, &backend);
            }
            Event::Platform { from, source, call } => self.on_platform_call(from, source, &call),
            Event::CallerFlow { flow, backend, token, refused } => {
                self.on_caller_flow(flow, backend, token, refused);
            }
            Event::CallerAnswer { id, caller, segments } => {
                self.on_caller_answer(id, caller, &segments);
            }
            Event::CallerRefusal { id, caller, refusal } => {
                self.log_request_event(id, || {
                    format!("was refused as {:?} ({})", refusal.outcome, refusal.reason.label())
                });
                self.on_caller_reply(id, caller, CallerReply::Refused(refusal.outcome));
            }
            Event::Timer(timer) => self.on_timer(timer),
        }
    }

    /// Takes note of a step, and schedules the first fault if the cell waits for this step.
    pub fn on_step_reached(&mut self, step: Step, node: BalancerId, vm: Option<SocketAddr>) {
        if self.awaited_step == Some(step) {
            self.awaited_step = None;
            self.fault_site = Some(FaultSite { node, vm });
            self.log_event(format!("step reached: {} at balancer {node}", step.label()));
            self.schedule(Duration::ZERO, Event::Timer(Timer::InjectFault(0)));
        }
    }

    fn step_node(&mut self, id: BalancerId) {
        self.schedule(STEP_INTERVAL, Event::StepNode(id));
        let now = self.now;
        let Some(node) =
            self.nodes.get_mut(&id).filter(|node| node.process_state == ProcessState::Running)
        else {
            return;
        };

        let mut actions = Vec::new();
        node.control.step(now, &mut actions);
        let mut requests = Vec::new();
        node.policy.tick(now, &mut requests);
        self.perform_control(id, actions);
        self.perform_requests(id, requests);
        self.step_stop(id);
    }

    fn deliver_to_node(&mut self, id: BalancerId, event: NodeEvent) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };

        match node.process_state {
            ProcessState::Running => self.on_node_event(id, event),
            ProcessState::Frozen => node.inbox.push(event),
            ProcessState::Dead => {}
        }
    }

    fn on_node_event(&mut self, id: BalancerId, event: NodeEvent) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let mut requests = Vec::new();
        let mut controls = Vec::new();

        match event {
            NodeEvent::Flow { flow, opening, token, hop } => {
                self.on_flow(id, flow, opening, token, hop);
            }
            NodeEvent::Binding(binding) => node.policy.director_mut().on_binding(now, binding),
            NodeEvent::Request { request, hop } => {
                let (service, once_only) = (request.service, !request.repeatable);
                let traced = request.id;
                node.policy.on_request(now, request, hop, &mut requests);
                let is_owner = node.policy.authority(service, now).is_some();
                let owner = node.policy.owner_map().owner(service).map(|entry| entry.owner);
                self.log_request_event(traced, || {
                    format!(
                        "reached balancer {id} ({} relays, owner {owner:?}, authority {is_owner})",
                        hop.count
                    )
                });
                if once_only && is_owner && service == 1 {
                    self.on_step_reached(Step::RequestAccepted, id, None);
                }
            }
            NodeEvent::Answer { service, reply, place, payload } => {
                node.policy.on_answer(now, service, reply, place, payload, &mut requests);
            }
            NodeEvent::Refused { service, reply, reason } => {
                node.policy.on_refused(now, service, reply, reason, &mut requests);
            }
            NodeEvent::BackendFlow { flow, backend, opening } => {
                self.on_flow_answer(id, flow, &backend, opening);
            }
            NodeEvent::FlowRefused { flow, backend, reason } => {
                self.on_flow_refused(id, flow, backend, reason);
            }
            NodeEvent::PlatformReply { source: PlatformCallSource::Machine(machine), reply } => {
                let _ = node.control.on_reply(now, machine, reply, &mut controls);
            }
            NodeEvent::PlatformReply { source: PlatformCallSource::Stop, reply } => {
                if let Some(stop) = &mut node.stop {
                    stop.on_reply(now, reply);
                }
            }
            NodeEvent::Heartbeat { from, message } => {
                let answer = node.control.on_heartbeat(now, message);
                self.send_to_node(id, from, NodeEvent::HeartbeatAnswer(answer));
            }
            NodeEvent::HeartbeatAnswer(answer) => node.control.on_heartbeat_answer(now, answer),
            NodeEvent::Fetch { from, key } => {
                if let Some((version, value)) = node.control.object(key).cloned() {
                    self.send_to_node(id, from, NodeEvent::Object { key, version, value });
                }
            }
            NodeEvent::Object { key, version, value } => {
                let _ = node.control.on_object(key, version, value, &mut controls);
            }
            NodeEvent::Offer { from, service, handover, claims } => {
                let accepts = node.control.is_serving() && node.control.grant().is_some();
                if accepts {
                    node.policy.offer_handover(now, service, handover, claims);
                }
                self.send_to_node(id, from, NodeEvent::OfferReply(accepts));
            }
            NodeEvent::OfferReply(accepted) => {
                if let Some(stop) = &mut node.stop {
                    stop.on_offered(accepted);
                }
            }
            NodeEvent::Bindings(bindings) => {
                for binding in bindings {
                    node.policy.director_mut().on_binding(now, binding);
                }
            }
            NodeEvent::CopyExceptions => self.copy_exceptions(id),
        }

        self.perform_control(id, controls);
        self.perform_requests(id, requests);
    }

    pub fn perform_control(&mut self, id: BalancerId, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Call { machine, call } => {
                    self.call_platform(id, PlatformCallSource::Machine(machine), call);
                }
                ControlAction::Heartbeat { to, message } => {
                    self.send_to_node(id, to.id, NodeEvent::Heartbeat { from: id, message });
                }
                ControlAction::Fetch { from, key } => {
                    self.send_to_node(id, from.id, NodeEvent::Fetch { from: id, key });
                }
                ControlAction::Install(installation) => self.install(id, installation),
            }
        }
    }

    fn install(&mut self, id: BalancerId, installation: Installation) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };

        match installation {
            Installation::Configuration(configuration) => {
                node.policy.install_configuration(now, &configuration);
                let change = configuration.change_id.clone();
                self.schedule(
                    Duration::from_millis(100),
                    Event::Node(id, NodeEvent::CopyExceptions),
                );
                self.check_reverts();
                self.on_configuration_in_force(id, &change);
            }
            Installation::OwnerMap(map) => {
                let mut requests = Vec::new();
                node.policy.install_owner_map(now, &map, &mut requests);
                self.perform_requests(id, requests);
            }
            Installation::Keys(keys) => {
                node.policy.install_keys(keys);
            }
            Installation::View { view, .. } => {
                node.policy.install_view(view);
                self.schedule(
                    Duration::from_millis(100),
                    Event::Node(id, NodeEvent::CopyExceptions),
                );
            }
            Installation::Grant(grant) => node.policy.install_grant(grant),
        }
    }

    fn copy_exceptions(&mut self, id: BalancerId) {
        if self.ablation == Ablation::History {
            return;
        }
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let director = node.policy.director();
        let finder = ExceptionFinder::new(id, director.history(), director.view().clone());
        let Some(finder) = finder else {
            return;
        };

        for (target, bindings) in finder.copies(&director.bindings()) {
            self.send_to_node(id, target, NodeEvent::Bindings(bindings));
        }
    }

    fn step_stop(&mut self, id: BalancerId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(stop) = &mut node.stop else {
            return;
        };

        let map = node.control.owner_map().clone();
        let candidates = node.control.candidates(now);
        match stop.next(now, &map, &candidates) {
            Some(StopStep::Offer { to, service, handover }) => {
                let claims = node.policy.start_handover(service);
                let offer = NodeEvent::Offer { from: id, service, handover, claims };
                self.send_to_node(id, to, offer);
                self.on_step_reached(Step::StopOffered, id, None);
                // An offer without an answer after 1 s counts as refused.
                self.schedule(Duration::from_secs(1), Event::Timer(Timer::OfferTimeout(id)));
            }
            Some(StopStep::Call(call)) => self.call_platform(id, PlatformCallSource::Stop, call),
            Some(StopStep::Settle { service, moved, map }) => {
                let mut controls = Vec::new();
                let mut requests = Vec::new();
                if let Some(map) = map {
                    node.control.on_owner_map(map, &mut controls);
                }
                self.perform_control(id, controls);
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.policy.settle_handover(now, service, moved, &mut requests);
                }
                self.perform_requests(id, requests);
                self.on_step_reached(Step::StopWritten, id, None);
            }
            None => self.finish_stop(id),
        }
    }

    /// Does what the stop task of the balancer does: gives the lease back, and ends the process
    /// once no work is open and the other balancers have had time to notice the stop.
    fn finish_stop(&mut self, id: BalancerId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if !node.stop.as_ref().is_some_and(PlannedStop::is_done) {
            return;
        }

        node.control.release_lease();
        let noticed = node.stop_began.is_some_and(|began| now >= began + crate::node::DEAD_AFTER);
        if noticed && node.policy.open_work() == 0 && node.control.is_lease_released() {
            node.process_state = ProcessState::Dead;
            self.log_event(format!("balancer {id} has stopped as planned"));
        }
    }

    fn on_flow(
        &mut self,
        id: BalancerId,
        flow: usize,
        opening: bool,
        token: Option<FlowToken>,
        hop: RelayHeader,
    ) {
        let now = self.now;
        let (caller, service) = (self.flows[flow].caller, self.flows[flow].service);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(keys) = node.policy.director().keys() else {
            return;
        };

        let key = keys.hasher().key(caller, service);
        let packet = FlowPacket { key, service, opening, closing: false, token, hop };
        match node.policy.on_flow(now, &packet) {
            FlowVerdict::Forward { backend, reply_with_binding, .. } => {
                let unchecked = self.ablation == Ablation::ServiceCheck;
                let history = node.policy.director().history();
                let found = if unchecked {
                    history.current().and_then(|configuration| configuration.backend(backend))
                } else {
                    history.find(service, backend)
                };
                let Some(record) = found.cloned() else {
                    return;
                };
                let home = node.policy.director().view().home(key);
                if opening {
                    self.on_step_reached(Step::FlowOpening, id, Some(record.address));
                }
                self.send_flow_to_vm(id, flow, opening, record);
                if let Some(home) = home.filter(|home| reply_with_binding && *home != id) {
                    self.send_to_node(id, home, NodeEvent::Binding(Binding { key, backend }));
                }
            }
            FlowVerdict::Relay { peer, hop } => {
                self.send_to_node(id, peer, NodeEvent::Flow { flow, opening, token, hop });
            }
            FlowVerdict::Drop(_) => {}
            FlowVerdict::Refuse(_) => {
                self.send_to_caller(Event::CallerFlow {
                    flow,
                    backend: None,
                    token: None,
                    refused: true,
                });
            }
        }
    }

    fn on_flow_answer(&mut self, id: BalancerId, flow: usize, backend: &Backend, opening: bool) {
        let (caller, service) = (self.flows[flow].caller, self.flows[flow].service);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(keys) = node.policy.director().keys().cloned() else {
            return;
        };

        let key = keys.hasher().key(caller, service);
        node.policy.on_backend_packet(key, backend.id, PacketKind::Data);
        let known = node.policy.director().history().find(service, backend.id);
        let token = known.filter(|_| opening).and_then(|record| keys.issue(key, record));
        let backend = Some(backend.id);
        self.send_to_caller(Event::CallerFlow { flow, backend, token, refused: false });
    }

    fn on_flow_refused(
        &mut self,
        id: BalancerId,
        flow: usize,
        backend: BackendId,
        reason: RefusalReason,
    ) {
        let now = self.now;
        let (caller, service) = (self.flows[flow].caller, self.flows[flow].service);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(keys) = node.policy.director().keys() else {
            return;
        };

        if reason == RefusalReason::BackendConnections {
            let key = keys.hasher().key(caller, service);
            let until = now + Duration::from_secs(1);
            node.policy.director_mut().on_connections_full(key, backend, until);
            let hop = RelayHeader { count: MAX_HOPS, ..RelayHeader::FIRST };
            self.on_flow(id, flow, true, None, hop);
        }
    }

    pub fn perform_requests(&mut self, id: BalancerId, actions: Vec<RequestAction<Payload>>) {
        for action in actions {
            match action {
                RequestAction::Dispatch {
                    backend,
                    incarnation,
                    attempt,
                    deadline,
                    request,
                    ..
                } => {
                    let dispatched = DispatchedRequest {
                        id: request.id,
                        attempt,
                        repeatable: request.repeatable,
                        deadline,
                        from: id,
                        service: request.service,
                        incarnation,
                    };
                    self.log_request_event(request.id, || {
                        format!(
                            "attempt {attempt} sent by balancer {id} to backend server {backend}"
                        )
                    });
                    self.send_dispatch(id, backend, dispatched, &request);
                }
                RequestAction::Cancel { backend, id: request, attempt, service, .. } => {
                    if let Some(address) = self.vm_address(id, service, backend) {
                        let event = Event::Cancel { address, id: request, attempt, from: id };
                        self.send_to_vm(id, address, event);
                    }
                }
                RequestAction::Answer { id, caller, segments, .. } => {
                    self.send_to_caller(Event::CallerAnswer { id, caller, segments });
                }
                RequestAction::Refuse { id, caller, refusal, .. } => {
                    self.send_to_caller(Event::CallerRefusal { id, caller, refusal });
                }
                RequestAction::Relay { peer, hop, request } => {
                    self.send_to_node(id, peer, NodeEvent::Request { request, hop });
                }
            }
        }
    }

    fn send_dispatch(
        &mut self,
        id: BalancerId,
        backend: BackendId,
        dispatched: DispatchedRequest,
        request: &Request<Payload>,
    ) {
        let Some(address) = self.vm_address(id, request.service, backend) else {
            return;
        };
        let event = Event::Dispatch { address, dispatched, intended_service: request.service };

        // The process freezes after the decision, before the packet reaches the socket.
        let freezes_now = self.pending_freeze.as_ref().is_some_and(|(node, addresses)| {
            *node == id && (addresses.is_empty() || addresses.contains(&address))
        });
        if freezes_now && !request.repeatable {
            self.pending_freeze = None;
            self.held_packets.push((id, event));
            self.freeze(id);
            return;
        }

        if !request.repeatable && request.service == 1 {
            self.on_step_reached(Step::RequestDispatched, id, Some(address));
        }
        self.send_to_vm(id, address, event);
    }

    fn vm_address(
        &self,
        id: BalancerId,
        service: ServiceId,
        backend: BackendId,
    ) -> Option<SocketAddr> {
        let history = self.nodes.get(&id)?.policy.director().history();

        history.find(service, backend).map(|record| record.address)
    }

    fn on_dispatch(
        &mut self,
        address: SocketAddr,
        dispatched: DispatchedRequest,
        intended_service: ServiceId,
    ) {
        let unchecked = self.ablation == Ablation::ServiceCheck;
        let now = self.now;
        let Some(vm) = self.vms.get_mut(&address) else {
            return;
        };
        let checked = if unchecked {
            DispatchedRequest {
                service: vm.record.service,
                incarnation: vm.record.incarnation,
                ..dispatched
            }
        } else {
            dispatched
        };
        let backend = vm.record.clone();
        let reply =
            BackendReply { backend: backend.id, id: dispatched.id, attempt: dispatched.attempt };

        let admission = vm.admit(now, &checked);
        let at = vm.id();
        self.log_request_event(dispatched.id, || format!("at backend server {at}: {admission:?}"));
        let Some(vm) = self.vms.get_mut(&address) else {
            return;
        };
        match admission {
            AdmissionResult::Started(end) => {
                let service = vm.record.service;
                let slots = usize::from(vm.record.slots);
                let running = vm.running.len();
                self.oracle.check(Promise::NeverWrongService, service == intended_service, || {
                    format!(
                        "request {:x} for service {intended_service} ran at service {service}",
                        dispatched.id
                    )
                });
                self.oracle.check(Promise::SlotsAreNeverExceeded, running <= slots, || {
                    format!("backend server {} ran {running} of {slots}", backend.id)
                });
                if let Some(request) = self.requests.get_mut(&dispatched.id) {
                    request.runs += 1;
                }
                let after = end.duration_since(now).unwrap_or_default();
                let done = Event::RunFinished {
                    address,
                    id: dispatched.id,
                    attempt: dispatched.attempt,
                    to: dispatched.from,
                    backend,
                };
                self.schedule(after, done);
                if !dispatched.repeatable && service == 1 {
                    self.on_step_reached(Step::RequestRunning, dispatched.from, Some(address));
                }
            }
            AdmissionResult::Refused(reason) => {
                let service = if reason == RefusalReason::BackendMismatch {
                    intended_service
                } else {
                    backend.service
                };
                self.send_from_vm(
                    address,
                    dispatched.from,
                    NodeEvent::Refused { service, reply, reason },
                );
            }
            AdmissionResult::NoAnswer => {}
        }
    }

    fn on_cancel(
        &mut self,
        address: SocketAddr,
        id: RequestId,
        attempt: Attempt,
        from: BalancerId,
    ) {
        let Some(vm) = self.vms.get_mut(&address).filter(|vm| !vm.is_dead) else {
            return;
        };

        if vm.running.remove(&(id, attempt)) {
            let reply = BackendReply { backend: vm.id(), id, attempt };
            let (service, reason) = (vm.record.service, RefusalReason::Cancelled);
            self.send_from_vm(address, from, NodeEvent::Refused { service, reply, reason });
        }
    }

    fn on_done(
        &mut self,
        address: SocketAddr,
        id: RequestId,
        attempt: Attempt,
        to: BalancerId,
        backend: &Backend,
    ) {
        let Some(vm) = self.vms.get_mut(&address).filter(|vm| !vm.is_dead) else {
            return;
        };
        if !vm.running.remove(&(id, attempt)) {
            return;
        }

        if self.requests.get(&id).is_some_and(|request| !request.repeatable && request.service == 1)
        {
            self.on_step_reached(Step::RequestAnswered, to, Some(address));
        }
        let reply = BackendReply { backend: backend.id, id, attempt };
        for index in 0..ANSWER_SEGMENTS {
            let place = Segment { index, count: ANSWER_SEGMENTS };
            let payload = Payload { id, segment: index };
            let event = NodeEvent::Answer { service: backend.service, reply, place, payload };
            self.send_from_vm(address, to, event);
        }
    }

    fn on_backend_flow(
        &mut self,
        address: SocketAddr,
        flow: usize,
        opening: bool,
        from: BalancerId,
        backend: &Backend,
    ) {
        let now = self.now;
        let unchecked = self.ablation == Ablation::ServiceCheck;
        let (caller, intended_service) = (self.flows[flow].caller, self.flows[flow].service);
        let Some(vm) = self.vms.get_mut(&address).filter(|vm| !vm.is_dead) else {
            return;
        };
        let record = vm.record.clone();
        let matches = record.id == backend.id
            && record.incarnation == backend.incarnation
            && record.service == intended_service;

        if !matches && !unchecked {
            let reason = RefusalReason::BackendMismatch;
            self.send_from_vm(
                address,
                from,
                NodeEvent::FlowRefused { flow, backend: backend.id, reason },
            );
            return;
        }
        let is_full = vm.flows.len() >= usize::from(record.connections);
        if opening && is_full && !vm.flows.contains(&caller) {
            let reason = RefusalReason::BackendConnections;
            self.send_from_vm(
                address,
                from,
                NodeEvent::FlowRefused { flow, backend: record.id, reason },
            );
            return;
        }

        if opening && vm.flows.insert(caller) {
            vm.last_new_work = Some(now);
        }
        self.oracle.check(Promise::NeverWrongService, record.service == intended_service, || {
            format!("a flow of service {intended_service} reached service {}", record.service)
        });
        self.on_step_reached(Step::FlowEstablished, from, Some(address));
        self.send_from_vm(address, from, NodeEvent::BackendFlow { flow, backend: record, opening });
    }

    fn on_caller_flow(
        &mut self,
        flow: usize,
        backend: Option<BackendId>,
        token: Option<FlowToken>,
        refused: bool,
    ) {
        let now = self.now;
        let flow = &mut self.flows[flow];

        if refused {
            if flow.backend.is_some() && flow.broken.is_none() {
                flow.broken = Some((now, "refused"));
            }
            return;
        }
        match flow.backend {
            None => {
                flow.backend = backend;
                flow.opened = Some(now);
            }
            Some(_) if flow.backend == backend => {}
            Some(_) => {
                flow.broken.get_or_insert((now, "moved"));
            }
        }
        flow.token = token.or(flow.token);
        flow.last_answer = Some(now);
    }

    fn on_caller_answer(&mut self, id: RequestId, caller: SocketAddr, segments: &[Payload]) {
        let expected = (0..ANSWER_SEGMENTS).map(|segment| Payload { id, segment });
        let is_complete = segments.iter().copied().eq(expected);

        if let Some(request) = self.requests.get_mut(&id) {
            request.got_wrong_answer |= !is_complete || request.caller != caller;
        }
        self.on_caller_reply(id, caller, CallerReply::Answered);
    }

    fn on_caller_reply(&mut self, id: RequestId, caller: SocketAddr, reply: CallerReply) {
        let now = self.now;
        self.log_request_event(id, || format!("reply received by the caller: {reply:?}"));

        if let Some(request) = self.requests.get_mut(&id).filter(|r| r.caller == caller) {
            request.replies.push((now, reply));
        }
    }

    fn on_platform_call(
        &mut self,
        from: BalancerId,
        source: PlatformCallSource,
        call: &PlatformCall,
    ) {
        let Some(zone) = self.nodes.get(&from).map(|node| node.zone) else {
            return;
        };
        let reply = if self.network.is_cut_from_platform(zone) {
            PlatformReply::Unknown
        } else {
            self.platform.call(call)
        };

        let delay = self.network.platform_delay();
        self.schedule(delay, Event::Node(from, NodeEvent::PlatformReply { source, reply }));
    }
}
