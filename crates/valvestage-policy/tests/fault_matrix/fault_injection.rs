//! Fault injection: how each fault begins and ends.

use std::time::Duration;

use valvestage_core::ids::BalancerId;
use valvestage_policy::flows::{FlowToken, RelayHeader};

use crate::faults::Fault;
use crate::node::{LEASE_DURATION, Node, ProcessState};
use crate::operator::ConfigurationChange;
use crate::scenario::{Timer, balancers};
use crate::steps::PlannedChange;
use crate::world::{Event, NodeEvent, STEP_INTERVAL, World};

/// Duration of a freeze: longer than a lease, so that it expires, and shorter than the time to the
/// deadline of a request sent just before.
const FREEZE_DURATION: Duration = LEASE_DURATION.saturating_add(Duration::from_millis(1_750));
/// Time from the kill of a process to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Id of the first balancer that joins.
const FIRST_JOINING_ID: BalancerId = 20;

/// Returns how long a fault lasts.
pub fn fault_duration(fault: Fault) -> Duration {
    match fault {
        Fault::BalancerFrozen | Fault::BalancerFrozenSending => FREEZE_DURATION,
        Fault::BalancerKilled => RESTART_DELAY,
        Fault::BackendKilled | Fault::BackendsSlow => Duration::from_secs(4),
        Fault::BackendsShedding => Duration::from_millis(1_500),
        Fault::None
        | Fault::BalancerJoins
        | Fault::AnswersLost
        | Fault::OperatorsRace
        | Fault::AddressReused
        | Fault::TokensForged => Duration::from_secs(1),
        _ => Duration::from_secs(5),
    }
}

impl World {
    /// Injects the first (`count` 0) or second fault of the cell.
    pub fn inject_fault(&mut self, count: usize) {
        let fault = if count == 0 { self.cell.first } else { self.cell.second };
        let site = self.fault_site.expect("a fault is injected only after its step is reached");
        let is_running = self
            .nodes
            .get(&site.node)
            .is_some_and(|node| node.process_state == ProcessState::Running);
        let node = if is_running { site.node } else { self.owner_of_first_service() };
        let zone = self.zone(node).unwrap_or(0);
        self.log_event(format!("{} (balancer {node}, zone {zone})", fault.label()));
        self.schedule(fault_duration(fault), Event::Timer(Timer::EndFault(fault, zone)));

        match fault {
            Fault::None => {}
            Fault::BalancerKilled => self.kill(node),
            Fault::BalancerFrozen => self.freeze(node),
            Fault::BalancerFrozenSending => {
                let owner = self.owner_of_first_service();
                if self.held_packets.is_empty() && self.pending_freeze.is_none() {
                    self.pending_freeze = Some((owner, Vec::new()));
                }
            }
            Fault::BalancerJoins => {
                let id = FIRST_JOINING_ID + u32::try_from(count).unwrap_or(0);
                self.start_node(id, 0);
            }
            Fault::BackendKilled => {
                if let Some(vm) = site.vm.and_then(|vm| self.vms.get_mut(&vm)) {
                    vm.is_dead = true;
                    vm.running.clear();
                    vm.flows.clear();
                } else if let Some(vm) = self.vms.values_mut().next() {
                    vm.is_dead = true;
                    vm.running.clear();
                    vm.flows.clear();
                }
            }
            Fault::BackendsShedding => self.for_each_vm_of(1, |vm| vm.is_shedding = true),
            Fault::BackendsSlow => self.for_each_vm_of(1, |vm| {
                if vm.id() % 3 == 0 {
                    vm.slow_factor = 10;
                }
            }),
            Fault::PlatformDown => self.platform.is_down = true,
            Fault::PlatformSlow => self.network.platform_is_slow = true,
            Fault::AnswersLost => self.platform.lost_answers += 3,
            Fault::WatchLags => self.platform.watch_lags = true,
            Fault::ZoneCutFromZones => {
                self.network.zones_cut_from_zones.insert(zone);
            }
            Fault::ZoneCutFromPlatform => {
                self.network.zones_cut_from_platform.insert(zone);
            }
            Fault::ZoneCutFromAll => {
                self.network.zones_cut_from_zones.insert(zone);
                self.network.zones_cut_from_platform.insert(zone);
            }
            Fault::PacketsLost => self.network.loss_fraction = 0.05,
            Fault::PacketsDuplicated => self.network.duplicate_fraction = 0.2,
            Fault::PacketsReordered => self.network.reorder_fraction = 0.3,
            Fault::OperatorsRace => {
                let name = |which: &str| format!("race-{which}-{count}");
                self.add_operator(&name("a"), ConfigurationChange::Weight(4, 40));
                self.add_operator(&name("b"), ConfigurationChange::Weight(5, 200));
            }
            Fault::AddressReused => {
                let vm = site.vm.and_then(|vm| self.vms.get(&vm));
                let in_service = |vm: &&crate::backend::FakeBackend| vm.record.service == 1;
                let backend = vm.filter(in_service).or_else(|| self.vms.values().find(in_service));
                let backend = backend.map_or(1, |vm| vm.id());
                self.add_operator(
                    &format!("reuse-{count}"),
                    ConfigurationChange::ReuseAddress(backend),
                );
            }
            Fault::TokensForged => self.forge_tokens(),
        }

        let is_cut = matches!(fault, Fault::ZoneCutFromZones | Fault::ZoneCutFromAll);
        if is_cut && self.cell.kind == crate::cells::CellKind::Single {
            // Callers on both sides of the partition send requests once the balancers have noticed
            // it.
            for (zone, round) in (0..12).flat_map(|turn| [(zone, turn), ((zone + 1) % 3, turn)]) {
                let after = Duration::from_millis(1_600 + 250 * round);
                self.schedule(after, Event::Timer(Timer::ZoneRequest(zone)));
            }
        }
    }

    pub fn end_fault(&mut self, fault: Fault, zone: usize) {
        match fault {
            Fault::BackendKilled => {
                for vm in self.vms.values_mut() {
                    vm.is_dead = false;
                }
            }
            Fault::BackendsShedding => self.for_each_vm_of(1, |vm| vm.is_shedding = false),
            Fault::BackendsSlow => self.for_each_vm_of(1, |vm| vm.slow_factor = 1),
            Fault::PlatformDown => self.platform.is_down = false,
            Fault::PlatformSlow => self.network.platform_is_slow = false,
            Fault::WatchLags => self.platform.watch_lags = false,
            Fault::ZoneCutFromZones => {
                self.network.zones_cut_from_zones.remove(&zone);
            }
            Fault::ZoneCutFromPlatform => {
                self.network.zones_cut_from_platform.remove(&zone);
            }
            Fault::ZoneCutFromAll => {
                self.network.zones_cut_from_zones.remove(&zone);
                self.network.zones_cut_from_platform.remove(&zone);
            }
            Fault::PacketsLost => self.network.loss_fraction = 0.0,
            Fault::PacketsDuplicated => self.network.duplicate_fraction = 0.0,
            Fault::PacketsReordered => self.network.reorder_fraction = 0.0,
            _ => return,
        }
        self.log_event(format!("fault ended: {}", fault.label()));
    }

    /// Prepares the freeze before a drain or a zone stop: the owner is to freeze while it sends a
    /// packet to a backend server that the change removes.
    pub fn prepare_freeze(&mut self) {
        let freezes = self.cell.first == Fault::BalancerFrozenSending;
        let leaves = |vm: &crate::backend::FakeBackend| match self.cell.step.planned_change() {
            PlannedChange::Drain => vm.id() == crate::scenario::CHANGED_BACKEND,
            PlannedChange::StopZone => {
                crate::network::zone_of(&vm.record) == crate::scenario::STOPPED_ZONE
            }
            _ => false,
        };
        let leaving: Vec<_> =
            self.vms.iter().filter(|(_, vm)| leaves(vm)).map(|(address, _)| *address).collect();

        if freezes && !leaving.is_empty() {
            self.pending_freeze = Some((self.owner_of_first_service(), leaving));
        }
    }

    pub fn freeze(&mut self, id: BalancerId) {
        let now = self.now;
        let Some(node) =
            self.nodes.get_mut(&id).filter(|node| node.process_state == ProcessState::Running)
        else {
            return;
        };

        node.process_state = ProcessState::Frozen;
        node.last_frozen = Some(now);
        self.log_event(format!("balancer {id} is frozen"));
        self.schedule(FREEZE_DURATION, Event::Timer(Timer::Unfreeze(id)));
    }

    /// Resumes a frozen process: the packets that it had decided to send leave first, and then it
    /// handles the events that waited.
    pub fn unfreeze(&mut self, id: BalancerId) {
        let now = self.now;
        let Some(node) =
            self.nodes.get_mut(&id).filter(|node| node.process_state == ProcessState::Frozen)
        else {
            return;
        };
        node.process_state = ProcessState::Running;
        node.last_frozen = Some(now);
        let waiting = std::mem::take(&mut node.inbox);
        self.log_event(format!("balancer {id} resumes"));

        let held = std::mem::take(&mut self.held_packets);
        for (from, event) in held {
            if let Event::Dispatch { address, .. } = event {
                self.send_to_vm(from, address, event);
            }
        }
        for event in waiting {
            self.schedule(Duration::ZERO, Event::Node(id, event));
        }
    }

    fn kill(&mut self, id: BalancerId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.process_state = ProcessState::Dead;
            node.inbox.clear();
            self.schedule(RESTART_DELAY, Event::Timer(Timer::Restart(id)));
        }
    }

    /// Starts a new process, without any state, on the VM of a killed one.
    pub fn restart(&mut self, id: BalancerId) {
        let Some(former) =
            self.nodes.get(&id).filter(|node| node.process_state == ProcessState::Dead)
        else {
            return;
        };
        let (zone, highest) = (former.zone, former.highest_version_in_force);

        let mut node = Node::new(id, zone, &balancers(), self.ablation, self.now);
        node.highest_version_in_force = highest;
        self.nodes.insert(id, node);
        self.log_event(format!("balancer {id} restarts"));
    }

    pub fn start_node(&mut self, id: BalancerId, zone: usize) {
        let node = Node::new(id, zone, &balancers(), self.ablation, self.now);

        self.nodes.insert(id, node);
        // Spreads the steps of the balancers over the interval.
        let offset = STEP_INTERVAL.mul_f64(f64::from(id % 7) / 7.0);
        self.schedule(offset, Event::StepNode(id));
        self.schedule(offset, Event::Timer(Timer::Watch(id)));
    }

    fn for_each_vm_of(&mut self, service: u16, change: impl Fn(&mut crate::backend::FakeBackend)) {
        for vm in self.vms.values_mut().filter(|vm| vm.record.service == service) {
            change(vm);
        }
    }

    /// Lets callers that never opened a flow send forged tokens and tokens issued to other flows.
    fn forge_tokens(&mut self) {
        let issued: Vec<FlowToken> = self.flows.iter().filter_map(|flow| flow.token).collect();
        let forged = FlowToken { key_id: 1, service: 1, backend: 1, incarnation: 1, mac: 0 };

        for (number, token) in issued.into_iter().chain([forged]).take(12).enumerate() {
            let service = if number % 2 == 0 { 1 } else { 2 };
            let caller = 50_000 + u32::try_from(number).unwrap_or(0);
            let flow = self.add_flow(caller, service, false);
            let hop = RelayHeader::FIRST;
            self.flows[flow].is_attacker = true;
            self.send_by_fabric(
                None,
                NodeEvent::Flow { flow, opening: false, token: Some(token), hop },
            );
        }
    }
}
