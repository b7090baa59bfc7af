//! Simulation of all backend servers of a site, on one thread.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use valvestage_core::ids::InstanceId;
use valvestage_platform::packet::{HEADER_BYTES, PREFIX_BYTES};
use valvestage_policy::steering::FlowAddresses;
use valvestage_standins::seeded_rng::SeededRng;

use crate::backend_behaviour::BackendBehaviour;
use crate::link_table::{LinkTable, LinkTarget};
use crate::observation::{Observation, ObservedEvent, StallDetector};
use crate::site_plan::SitePlan;
use crate::slot_schedule::SlotSchedule;
use crate::soak_options::{InjectedDefect, SoakOptions};
use valvestage_standins::packets::backend_flow::BackendFlow;
use valvestage_standins::packets::flow_packet::{FlowPacket, flags};
use valvestage_standins::packets::socket_set::SocketSet;

/// Longest wait for a packet before due deliveries and answers are checked.
const POLL_TIMEOUT: Duration = Duration::from_millis(3);

/// Shortest processing time of a request.
const MIN_WORK: Duration = Duration::from_millis(5);

/// Largest random addition to the shortest processing time.
const MAX_EXTRA_WORK: Duration = Duration::from_millis(25);

/// Factor by which a slow backend server's processing time is longer.
const SLOW_FACTOR: u32 = 5;

/// Command that changes one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendCommand {
    /// Starts a new instance at a place, where no instance runs any more.
    Start(usize, InstanceId),
    /// Stops the instance at a place without notice to anyone.
    Stop(usize),
    /// Changes how the instance at a place responds to requests.
    SetBehaviour(usize, BackendBehaviour),
}

/// Packet that is delivered to its backend server at `due`.
struct DelayedPacket {
    due: Instant,
    balancer: usize,
    place: usize,
    bytes: Vec<u8>,
}

/// Answers to a packet, and the observations made while it was handled.
#[derive(Default)]
struct PacketOutcome {
    answers: Vec<FlowPacket>,
    events: Vec<ObservedEvent>,
}

/// Running instance of a backend server.
struct RunningBackend {
    instance: InstanceId,
    flows: HashMap<FlowAddresses, BackendFlow>,
    closed: HashSet<FlowAddresses>,
    behaviour: BackendBehaviour,
    slots: SlotSchedule,
    requests: u64,
}

/// Simulated backend servers, which answer packets as the platform's backend servers do.
pub struct BackendServers {
    plan: SitePlan,
    links: LinkTable,
    sockets: SocketSet,
    running: HashMap<usize, RunningBackend>,
    commands: Receiver<BackendCommand>,
    observations: Sender<Observation>,
    delayed: Vec<DelayedPacket>,
    rng: SeededRng,
    defect: Option<InjectedDefect>,
}

impl BackendServers {
    /// Binds the addresses of all places. No backend server runs until a [`BackendCommand::Start`].
    pub fn bind(
        plan: SitePlan,
        links: LinkTable,
        commands: Receiver<BackendCommand>,
        observations: Sender<Observation>,
        options: &SoakOptions,
    ) -> io::Result<Self> {
        let places: Vec<SocketAddrV4> =
            (0..plan.backends).map(|number| plan.backend(number)).collect();

        Ok(Self {
            sockets: SocketSet::bind(&places)?,
            plan,
            links,
            running: HashMap::new(),
            commands,
            observations,
            delayed: Vec::new(),
            rng: SeededRng::new(options.seed),
            defect: options.defect,
        })
    }

    /// Serves packets and applies commands until `stop` is set.
    pub fn run(mut self, stop: &Arc<AtomicBool>) -> io::Result<()> {
        let mut stalls = StallDetector::new(self.observations.clone());

        while !stop.load(Ordering::Relaxed) {
            let datagrams = self.sockets.receive(POLL_TIMEOUT)?;
            let now = stalls.tick();
            self.apply_commands();
            for datagram in datagrams {
                if let Some(balancer) = self.plan.balancer_at(*datagram.sender.ip()) {
                    self.schedule_delivery(balancer, datagram.socket, datagram.bytes, now);
                }
            }
            self.deliver_due(now);
            self.send_due_answers(now);
        }
        Ok(())
    }

    fn report(&self, event: ObservedEvent) {
        // The receiver is gone at the end of the run.
        let _ = self.observations.send(Observation { at: Instant::now(), event });
    }

    fn apply_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                BackendCommand::Start(place, instance) => {
                    let backend = RunningBackend {
                        instance,
                        flows: HashMap::new(),
                        closed: HashSet::new(),
                        behaviour: BackendBehaviour::default(),
                        slots: SlotSchedule::new(Instant::now()),
                        requests: 0,
                    };
                    self.running.insert(place, backend);
                }
                BackendCommand::Stop(place) => {
                    self.running.remove(&place);
                }
                BackendCommand::SetBehaviour(place, behaviour) => {
                    if let Some(backend) = self.running.get_mut(&place) {
                        backend.behaviour = behaviour;
                    }
                }
            }
        }
    }

    fn schedule_delivery(&mut self, balancer: usize, place: usize, bytes: Vec<u8>, now: Instant) {
        let target = LinkTarget::BackendIn(SitePlan::zone_of(place));

        if let Some(delay) = self.links.datagram_delay(balancer, target, &mut self.rng, now) {
            self.delayed.push(DelayedPacket { due: now + delay, balancer, place, bytes });
        }
    }

    fn deliver_due(&mut self, now: Instant) {
        let (due, later) =
            std::mem::take(&mut self.delayed).into_iter().partition(|packet| packet.due <= now);
        self.delayed = later;

        for DelayedPacket { balancer, place, bytes, .. } in due {
            self.deliver(balancer, place, &bytes, now);
        }
    }

    fn deliver(&mut self, balancer: usize, place: usize, bytes: &[u8], now: Instant) {
        let place = self.delivery_place(place, bytes);
        let mut bytes = bytes.to_vec();
        if self.defect == Some(InjectedDefect::CorruptPackets)
            && let Some(last) = bytes.last_mut()
        {
            *last ^= 1;
        }
        let Some(backend) = self.running.get_mut(&place) else { return };
        let Some((prefix, packet)) = bytes.split_at_checked(PREFIX_BYTES) else { return };
        // An instance ignores packets that are addressed to another instance.
        let is_addressed = prefix == backend.instance.to_be_bytes();
        if !is_addressed && self.defect != Some(InjectedDefect::Misroute) {
            return;
        }
        let (Some(decoded), true) =
            (FlowPacket::decode(packet), FlowPacket::has_valid_checksum(packet))
        else {
            return self.report(ObservedEvent::Altered);
        };

        let PacketOutcome { answers, events } =
            backend.handle_packet(&decoded, balancer, &mut self.rng, now);
        let caller = SocketAddrV4::new(*decoded.source.ip(), self.plan.data_port);
        for answer in answers {
            self.sockets.send(place, caller, &answer.encode());
        }
        for event in events {
            let runs_again = self.defect == Some(InjectedDefect::RunTwice)
                && matches!(event, ObservedEvent::Executed { .. });
            if runs_again {
                self.report(event.clone());
            }
            self.report(event);
        }
    }

    /// Returns the place that a packet is delivered to: the one that the balancer sent it to,
    /// unless the run misroutes packets on purpose.
    fn delivery_place(&self, place: usize, bytes: &[u8]) -> usize {
        let has_no_data = bytes.len() == PREFIX_BYTES + HEADER_BYTES;
        let is_past_opening = bytes.get(PREFIX_BYTES).is_some_and(|bits| bits & flags::SYN == 0);

        if self.defect == Some(InjectedDefect::Misroute) && is_past_opening && has_no_data {
            (place + 1) % self.plan.backends
        } else {
            place
        }
    }

    fn send_due_answers(&mut self, now: Instant) {
        for (place, backend) in &mut self.running {
            for flow in backend.flows.values_mut() {
                for mut packet in flow.due_packets(now) {
                    if self.defect == Some(InjectedDefect::CorruptAnswers) {
                        packet.data[0] ^= 1;
                    }
                    let caller = SocketAddrV4::new(*packet.destination.ip(), self.plan.data_port);
                    self.sockets.send(*place, caller, &packet.encode());
                }
            }
        }
    }
}

impl RunningBackend {
    fn handle_packet(
        &mut self,
        packet: &FlowPacket,
        balancer: usize,
        rng: &mut SeededRng,
        now: Instant,
    ) -> PacketOutcome {
        let flow = packet.flow();
        if packet.has_flag(flags::SYN) {
            let sequence = u32::try_from(rng.next_u64() >> 32).unwrap_or(0);
            let open = || BackendFlow::new(packet.clone(), sequence, balancer, now);
            let held = self.flows.entry(flow).or_insert_with(open);
            return PacketOutcome { answers: vec![held.opening_answer()], events: Vec::new() };
        }
        if packet.has_flag(flags::RST) {
            self.flows.remove(&flow);
            return PacketOutcome::default();
        }

        let instance = self.instance;
        let Some(held) = self.flows.get_mut(&flow) else {
            if self.closed.contains(&flow) {
                return PacketOutcome::default();
            }
            let misrouted = ObservedEvent::Misrouted { flow, instance, balancer };
            return PacketOutcome { answers: vec![reset_for(packet)], events: vec![misrouted] };
        };
        let mut events = Vec::new();
        if !held.is_open {
            if !held.is_acknowledged_by(packet) {
                let misrouted = ObservedEvent::Misrouted { flow, instance, balancer };
                return PacketOutcome { answers: Vec::new(), events: vec![misrouted] };
            }
            held.is_open = true;
            let (balancer, arrived) = (held.balancer, held.opening_received_at);
            events.push(ObservedEvent::Opened { flow, instance, balancer, arrived });
        }
        events.push(ObservedEvent::Delivered { flow });

        if let Some(request) = held.on_packet(packet) {
            self.requests += 1;
            let is_slow = self.behaviour == BackendBehaviour::Slow;
            let factor = if is_slow { SLOW_FACTOR } else { 1 };
            let work = (MIN_WORK + MAX_EXTRA_WORK.mul_f64(rng.next_f64())) * factor;
            let is_lost =
                self.behaviour == BackendBehaviour::Failing && self.requests.is_multiple_of(2);
            let added = self.slots.add(work, now);
            if added.is_ok() {
                events.push(ObservedEvent::Executed {
                    request: request.id,
                    repeatable: request.repeatable,
                });
            }
            match added {
                Ok(end) if !is_lost => held.start_request(end, request),
                Ok(_) => {}
                Err(at) => held.reject_request(at),
            }
        }
        let mut answers = Vec::new();
        if !packet.data.is_empty() || packet.has_flag(flags::FIN) {
            answers.push(held.acknowledgement());
        }
        if packet.has_flag(flags::FIN) {
            self.flows.remove(&flow);
            self.closed.insert(flow);
        }
        PacketOutcome { answers, events }
    }
}

/// Returns the reset with which a backend server answers a packet of an unknown flow.
fn reset_for(packet: &FlowPacket) -> FlowPacket {
    FlowPacket {
        flags: flags::RST | flags::ACK,
        token: packet.token,
        sequence: packet.acknowledged,
        acknowledged: packet.sequence,
        source: packet.destination,
        destination: packet.source,
        data: Vec::new(),
    }
}
