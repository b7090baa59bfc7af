//! Timeline of a cell: start, load, planned change, faults, probes.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, BalancerId, ObjectVersion, RequestId, ServiceId};
use valvestage_core::{Backend, BackendState, RawConfiguration, RequestClass, Service};
use valvestage_policy::control::{ObjectKey, ObjectValue, PlatformCall};
use valvestage_policy::flows::{RawTokenKeys, RelayHeader};
use valvestage_policy::requests::Request;

use crate::ablations::Ablation;
use crate::backend::FakeBackend;
use crate::caller::{self, Flow, caller_address};
use crate::cells::{Cell, CellKind, CellResult};
use crate::fault_injection::fault_duration;
use crate::faults::Fault;
use crate::node::{MAX_DEADLINE, Payload, ProcessState, zone_name};
use crate::operator::ConfigurationChange;
use crate::steps::{PlannedChange, Step};
use crate::world::{Event, NodeEvent, World};

/// Backend server that a planned change drains or gives another weight.
pub const CHANGED_BACKEND: BackendId = 3;
/// Availability zone that a planned change stops.
pub const STOPPED_ZONE: usize = 2;

/// Number of flows that open before the planned change.
const FLOWS_BEFORE_CHANGE: usize = 24;
/// Number of flows that open after the planned change.
const FLOWS_AFTER_CHANGE: usize = 16;
const FLOW_PACKET_INTERVAL: Duration = Duration::from_millis(300);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
const FABRIC_REFRESH_INTERVAL: Duration = Duration::from_millis(200);
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
const MEAN_RUN_TIME: Duration = Duration::from_millis(60);

// Times of the phases, from the start of the simulation.
const LOAD_STARTS_AT: Duration = Duration::from_millis(2_500);
const PREPARE_FREEZE_AT: Duration = Duration::from_millis(5_500);
const AWAIT_STEP_AT: Duration = Duration::from_millis(5_900);
const CHANGE_AT: Duration = Duration::from_millis(6_000);
pub const LOAD_ENDS_AT: Duration = Duration::from_secs(20);
const PROBES_START_AT: Duration = Duration::from_secs(27);
const SIMULATION_ENDS_AT: Duration = Duration::from_secs(34);

/// Event that the timeline schedules for a later time.
#[derive(Debug, Clone)]
pub enum Timer {
    SendFlow(usize),
    NewRequest,
    Resend(RequestId),
    /// Sends a request to the balancers of one availability zone.
    ZoneRequest(usize),
    /// Sends a probe, which may be repeated if the flag is set.
    Probe(bool),
    Watch(BalancerId),
    RefreshFabric,
    PrepareFreeze,
    AwaitStep,
    MakeChange,
    OperatorReads(usize),
    OperatorWrites(usize),
    OfferTimeout(BalancerId),
    InjectFault(usize),
    EndFault(Fault, usize),
    Unfreeze(BalancerId),
    Restart(BalancerId),
    CheckInForce(ObjectVersion),
    LoadEnds,
}

/// Returns the id and availability zone of each balancer that runs from the start.
pub fn balancers() -> Vec<(BalancerId, usize)> {
    vec![(1, 0), (2, 1), (3, 2), (4, 0), (5, 1)]
}

fn backend(id: BackendId, service: ServiceId) -> Backend {
    let zone = (id as usize - 1) % 3;

    Backend {
        id,
        name: format!("backend-{id}"),
        service,
        zone: zone_name(zone),
        address: SocketAddr::from(([198, 51, 100, u8::try_from(id).unwrap()], 7_000)),
        incarnation: 1,
        slots: 2,
        connections: 2_000,
        weight: 100,
        state: BackendState::Active,
    }
}

fn configuration() -> RawConfiguration {
    let service = |id: ServiceId, name: &str| Service {
        id,
        name: name.to_owned(),
        address: SocketAddr::from(([203, 0, 113, u8::try_from(id).unwrap()], 80)),
    };
    let backends = (1..=6).map(|id| backend(id, 1)).chain((7..=9).map(|id| backend(id, 2)));

    RawConfiguration {
        change_id: "first".to_owned(),
        services: vec![service(1, "core"), service(2, "photos")],
        backends: backends.collect(),
        stopped_zones: std::collections::BTreeSet::new(),
    }
}

pub fn run_cell(cell: Cell, ablation: Ablation) -> CellResult {
    run_traced(cell, ablation, Vec::new())
}

/// Runs a cell and records every event of the traced requests in its log.
pub fn run_traced(cell: Cell, ablation: Ablation, traced: Vec<RequestId>) -> CellResult {
    let mut world = World::new(cell, ablation);
    world.traced_requests = traced;

    world.prepare();
    let end = world.start + SIMULATION_ENDS_AT;
    world.run_until(end);
    world.check_at_end();
    world.result()
}

impl World {
    fn prepare(&mut self) {
        let raw = configuration();
        for record in &raw.backends {
            self.vms.insert(record.address, FakeBackend::new(record.clone(), MEAN_RUN_TIME));
        }
        let keys = RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] };
        for (key, value) in [
            (ObjectKey::Configuration, ObjectValue::Configuration(raw)),
            (ObjectKey::TokenKeys, ObjectValue::TokenKeys(keys)),
        ] {
            self.platform.call(&PlatformCall::Write { key, expected: None, value });
        }
        for (id, zone) in balancers() {
            self.start_node(id, zone);
        }

        for number in 0..FLOWS_BEFORE_CHANGE + FLOWS_AFTER_CHANGE {
            let service = if number % 4 == 3 { 2 } else { 1 };
            let flow = self.add_flow(u32::try_from(number).unwrap(), service, number % 2 == 0);
            let after = if number < FLOWS_BEFORE_CHANGE {
                LOAD_STARTS_AT + Duration::from_millis(40 * number as u64)
            } else {
                CHANGE_AT + Duration::from_millis(150 * (number - FLOWS_BEFORE_CHANGE) as u64)
            };
            self.schedule(after, Event::Timer(Timer::SendFlow(flow)));
        }
        for (after, timer) in [
            (Duration::ZERO, Timer::RefreshFabric),
            (LOAD_STARTS_AT, Timer::NewRequest),
            (PREPARE_FREEZE_AT, Timer::PrepareFreeze),
            (AWAIT_STEP_AT, Timer::AwaitStep),
            (CHANGE_AT, Timer::MakeChange),
            (LOAD_ENDS_AT, Timer::LoadEnds),
        ] {
            self.schedule(after, Event::Timer(timer));
        }
        for number in 0..12u64 {
            let after = PROBES_START_AT + Duration::from_millis(100 * number);
            self.schedule(after, Event::Timer(Timer::Probe(number % 2 == 0)));
        }
    }

    pub fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::SendFlow(flow) => self.send_flow(flow),
            Timer::NewRequest => self.new_load_request(),
            Timer::Resend(id) => self.send_request(id),
            Timer::ZoneRequest(zone) => {
                let id = self.add_request(1, true, Some(zone));
                self.send_request(id);
            }
            Timer::Probe(repeatable) => {
                let id = self.add_request(1, repeatable, None);
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_probe = true;
                }
                self.send_request(id);
            }
            Timer::Watch(id) => self.watch(id),
            Timer::RefreshFabric => {
                let ready = self.nodes.values().filter(|node| node.is_ready());
                self.fabric = ready.map(|node| node.id).collect();
                self.schedule(FABRIC_REFRESH_INTERVAL, Event::Timer(Timer::RefreshFabric));
                self.check_reverts();
            }
            Timer::PrepareFreeze => self.prepare_freeze(),
            Timer::AwaitStep => self.awaited_step = Some(self.cell.step),
            Timer::MakeChange => self.make_change(),
            Timer::OperatorReads(index) => self.operator_reads(index),
            Timer::OperatorWrites(index) => self.operator_writes(index),
            Timer::OfferTimeout(id) => {
                if let Some(stop) = self.nodes.get_mut(&id).and_then(|node| node.stop.as_mut()) {
                    stop.on_offered(false);
                }
            }
            Timer::InjectFault(count) => {
                self.inject_fault(count);
                self.schedule_second_fault(count);
            }
            Timer::EndFault(fault, zone) => self.end_fault(fault, zone),
            Timer::Unfreeze(id) => self.unfreeze(id),
            Timer::Restart(id) => self.restart(id),
            Timer::CheckInForce(version) => self.check_in_force(version),
            Timer::LoadEnds => self.check_flows(),
        }
    }

    fn schedule_second_fault(&mut self, count: usize) {
        if count > 0 {
            return;
        }

        let after = match self.cell.kind {
            CellKind::Single => return,
            CellKind::Pair => Duration::from_millis(300 + self.draw() % 600),
            CellKind::Twice => fault_duration(self.cell.first) + Duration::from_millis(500),
        };
        self.schedule(after, Event::Timer(Timer::InjectFault(1)));
    }

    pub fn is_under_load(&self) -> bool {
        self.now < self.start + LOAD_ENDS_AT
    }

    pub fn add_flow(&mut self, caller: u32, service: ServiceId, echoes_token: bool) -> usize {
        self.flows.push(Flow {
            caller: caller_address(caller),
            service,
            echoes_token,
            token: None,
            backend: None,
            opened: None,
            last_answer: None,
            broken: None,
            is_attacker: false,
        });

        self.flows.len() - 1
    }

    fn send_flow(&mut self, flow: usize) {
        if !self.is_under_load() {
            return;
        }

        let state = &self.flows[flow];
        let opening = state.backend.is_none();
        let token = state.token.filter(|_| state.echoes_token);
        if state.broken.is_none() {
            self.send_by_fabric(
                None,
                NodeEvent::Flow { flow, opening, token, hop: RelayHeader::FIRST },
            );
        }
        self.schedule(FLOW_PACKET_INTERVAL, Event::Timer(Timer::SendFlow(flow)));
    }

    fn new_load_request(&mut self) {
        if !self.is_under_load() {
            return;
        }

        let service = if self.draw() % 10 < 7 { 1 } else { 2 };
        let repeatable = self.draw().is_multiple_of(2);
        let id = self.add_request(service, repeatable, None);
        self.send_request(id);
        self.schedule(REQUEST_INTERVAL, Event::Timer(Timer::NewRequest));
    }

    fn add_request(
        &mut self,
        service: ServiceId,
        repeatable: bool,
        zone: Option<usize>,
    ) -> RequestId {
        let number = u32::try_from(self.requests.len()).unwrap();
        let id = RequestId::from(self.draw()) << 32 | RequestId::from(number);

        self.requests.insert(
            id,
            caller::Request {
                id,
                caller: caller_address(100_000 + number),
                service,
                repeatable,
                sent: self.now,
                deadline: self.now + MAX_DEADLINE,
                replies: Vec::new(),
                runs: 0,
                got_wrong_answer: false,
                is_probe: false,
                from_zone: zone,
            },
        );
        id
    }

    /// Sends a request, and resends it until its caller has a reply or its deadline has passed.
    fn send_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.replies.is_empty() || request.deadline <= self.now {
            return;
        }

        let zone = request.from_zone;
        let packet = Request {
            id,
            caller: request.caller,
            service: request.service,
            deadline: request.deadline,
            repeatable: request.repeatable,
            class: if request.repeatable { RequestClass::Bulk } else { RequestClass::Urgent },
            payload: Payload { id, segment: 0 },
        };
        self.send_by_fabric(zone, NodeEvent::Request { request: packet, hop: RelayHeader::FIRST });
        self.schedule(RESEND_INTERVAL, Event::Timer(Timer::Resend(id)));
    }

    /// Does what the balancer's watch task does: hands the objects that a watch shows to the
    /// control policy.
    fn watch(&mut self, id: BalancerId) {
        self.schedule(WATCH_INTERVAL, Event::Timer(Timer::Watch(id)));
        let now = self.now;
        let Some(node) =
            self.nodes.get_mut(&id).filter(|node| node.process_state == ProcessState::Running)
        else {
            return;
        };
        if !node.control.should_watch(now) || self.network.is_cut_from_platform(node.zone) {
            return;
        }

        let Some(shown) = self.platform.watch() else {
            return;
        };
        node.control.record_platform_contact(now);
        let mut actions = Vec::new();
        for (key, version, value) in shown {
            let _ = node.control.on_object(key, version, value, &mut actions);
        }
        self.perform_control(id, actions);
    }

    fn make_change(&mut self) {
        let change = match self.cell.step.planned_change() {
            PlannedChange::None => return,
            PlannedChange::Weight => ConfigurationChange::Weight(CHANGED_BACKEND, 30),
            PlannedChange::Drain => ConfigurationChange::Drain(CHANGED_BACKEND),
            PlannedChange::StopZone => ConfigurationChange::StopZone(STOPPED_ZONE),
            PlannedChange::StopBalancer => return self.stop_balancer(),
        };

        self.add_operator("planned", change);
    }

    fn stop_balancer(&mut self) {
        let now = self.now;
        let owner = self.owner_of_first_service();
        let Some(node) = self.nodes.get_mut(&owner) else {
            return;
        };

        node.control.leave();
        node.stop = Some(node.control.planned_stop(now));
        node.stop_began = Some(now);
        self.on_step_reached(Step::StopAnnounced, owner, None);
    }

    /// Reports the step of the planned change when a balancer puts a configuration in force.
    pub fn on_configuration_in_force(&mut self, id: BalancerId, change_id: &str) {
        if change_id != "planned" {
            return;
        }

        let step = match self.cell.step.planned_change() {
            PlannedChange::Weight => Step::ChangeInForce,
            PlannedChange::Drain => Step::DrainInForce,
            PlannedChange::StopZone => Step::ZoneStopInForce,
            PlannedChange::None | PlannedChange::StopBalancer => return,
        };
        self.on_step_reached(step, id, None);
    }

    pub fn owner_of_first_service(&mut self) -> BalancerId {
        let reply = self.platform.get(ObjectKey::OwnerMap).cloned();
        let owner = match reply {
            Some((_, ObjectValue::OwnerMap(map))) => map.entries.get(&1).map(|entry| entry.owner),
            _ => None,
        };

        owner.unwrap_or(1)
    }

    pub fn elapsed(&self, at: SystemTime) -> u128 {
        at.duration_since(self.start).unwrap_or_default().as_millis()
    }
}
