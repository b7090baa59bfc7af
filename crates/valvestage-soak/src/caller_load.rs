//! Callers of all zones, on one thread.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use valvestage_policy::steering::FlowAddresses;
use valvestage_standins::draws::Draws;
use valvestage_standins::packets::RequestId;

use crate::observation::{Observation, SeenEvent, StallWatch};
use crate::router_table::RouterTable;
use crate::site_plan::{COMING, STEADY, SWITCHING, SitePlan, ZONES};
use crate::soak_options::{Sabotage, SoakOptions};
use valvestage_standins::packets::caller_flow::{CallerFlow, FlowProgress, FlowStep};
use valvestage_standins::packets::flow_packet::{FlowPacket, flags};
use valvestage_standins::packets::packet_request::PacketRequest;
use valvestage_standins::packets::socket_set::SocketSet;

/// Longest wait for a packet.
const TURN: Duration = Duration::from_millis(3);

/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_secs(3);

/// Tries of one request.
const MAX_TRIES: u32 = 3;

/// Requests on a long flow.
const LONG_FLOW: u32 = 12;

/// Pause between two requests of a long flow.
const PAUSE: Duration = Duration::from_millis(400);

/// Sizes of answers: one packet, and three.
const ANSWER_BYTES: [u32; 2] = [600, 3_000];

/// Ports of flows.
const PORTS: std::ops::Range<u16> = 1_024..60_000;

/// One caller with what it wants.
struct CallerSession {
    flow: CallerFlow,
    zone: usize,
    request: PacketRequest,
    /// When the request began: its tries share it.
    began: Instant,
    tries: u32,
    requests_left: u32,
    /// When the next request on the resting flow begins.
    next_request: Option<Instant>,
}

impl CallerSession {
    fn deadline(&self) -> Instant {
        self.began + DEADLINE
    }
}

/// `CallerLoad` opens flows and asks on them.
pub struct CallerLoad {
    plan: SitePlan,
    router: RouterTable,
    sockets: SocketSet,
    observations: Sender<Observation>,
    draws: Draws,
    sessions: HashMap<FlowAddresses, CallerSession>,
    /// Time between two new flows of the whole site.
    interval: Duration,
    next_flow: Instant,
    flow_count: usize,
    request_count: RequestId,
    sabotage: Option<Sabotage>,
}

impl CallerLoad {
    /// `bind` takes the callers' addresses.
    pub fn bind(
        plan: SitePlan,
        router: RouterTable,
        observations: Sender<Observation>,
        options: &SoakOptions,
    ) -> io::Result<Self> {
        let callers: Vec<SocketAddrV4> = (0..ZONES).map(|zone| plan.caller(zone)).collect();

        Ok(Self {
            sockets: SocketSet::bind(&callers)?,
            plan,
            router,
            observations,
            draws: Draws::new(options.seed),
            sabotage: options.sabotage,
            sessions: HashMap::new(),
            interval: Duration::from_secs(1) / options.flows_per_second.max(1),
            next_flow: Instant::now(),
            flow_count: 0,
            request_count: 0,
        })
    }

    /// `run` asks until told to stop.
    pub fn run(mut self, stop: &Arc<AtomicBool>) -> io::Result<()> {
        let mut stalls = StallWatch::new(self.observations.clone());

        while !stop.load(Ordering::Relaxed) {
            let datagrams = self.sockets.receive(TURN)?;
            let now = stalls.turn();
            for datagram in datagrams {
                self.take(datagram.sender, &datagram.bytes, now);
            }
            self.begin_flows(now);
            self.step_sessions(now);
        }
        Ok(())
    }

    fn tell(&self, seen: SeenEvent) {
        // Nobody listens any more at the end of the run.
        let _ = self.observations.send(Observation { at: Instant::now(), seen });
    }

    fn begin_flows(&mut self, now: Instant) {
        while self.next_flow <= now {
            self.next_flow += self.interval;
            let zone = self.draws.below(ZONES);
            let service = match self.draws.below(10) {
                0 => COMING,
                1..4 => SWITCHING,
                _ => STEADY,
            };
            let is_long = self.draws.below(3) == 0;
            let request = self.next_request(is_long);
            let requests_left = if is_long { LONG_FLOW } else { 1 };
            self.open(zone, service, request, now, 1, requests_left);
        }
    }

    /// Long flows ask what may be repeated; others what may not, half of the time.
    fn next_request(&mut self, is_long: bool) -> PacketRequest {
        self.request_count += 1;
        let repeatable = is_long || self.draws.below(2) == 0;
        let answer_bytes = ANSWER_BYTES[self.draws.below(ANSWER_BYTES.len())];

        PacketRequest { id: self.request_count, repeatable, answer_bytes }
    }

    fn open(
        &mut self,
        zone: usize,
        service: SocketAddrV4,
        request: PacketRequest,
        began: Instant,
        tries: u32,
        requests_left: u32,
    ) {
        self.flow_count += 1;
        let port = usize::from(PORTS.start) + self.flow_count % PORTS.len();
        let caller =
            SocketAddrV4::new(*self.plan.caller(zone).ip(), u16::try_from(port).unwrap_or(1));
        let flow = FlowAddresses { caller, service };
        let sequence = u32::try_from(self.draws.word() >> 32).unwrap_or(0);
        let session = CallerSession {
            flow: CallerFlow::new(flow, sequence, request, Instant::now()),
            zone,
            request,
            began,
            tries,
            requests_left,
            next_request: None,
        };

        self.tell(SeenEvent::Begun { flow });
        self.send(zone, &session.flow.opening_packet(0));
        self.sessions.insert(flow, session);
    }

    /// Hands a packet to the routers.
    fn send(&self, zone: usize, packet: &FlowPacket) {
        if let Some(number) = self.router.pick(zone, &packet.flow()) {
            let balancer = SocketAddrV4::new(self.plan.balancer(number), self.plan.data_port);
            self.sockets.send(zone, balancer, &packet.encode());
        }
    }

    fn take(&mut self, sender: SocketAddrV4, bytes: &[u8], now: Instant) {
        let Some(packet) = FlowPacket::decode(bytes) else {
            return self.tell(SeenEvent::Forged);
        };
        let flow = FlowAddresses { caller: packet.destination, service: packet.source };
        if !self.sessions.contains_key(&flow) {
            return;
        }

        if self.sabotage == Some(Sabotage::ForgeResets) && !packet.data.is_empty() {
            let balancer = SocketAddrV4::new(self.plan.balancer(0), self.plan.data_port);
            return self.take_reset(flow, balancer, now);
        }
        if FlowPacket::is_from_balancer(bytes) {
            self.take_reset(flow, sender, now);
        } else if !FlowPacket::is_genuine(bytes) {
            self.tell(SeenEvent::Forged);
        } else if packet.has(flags::RST) {
            self.retry(flow, now);
        } else {
            self.progress(flow, now, |session| session.take(&packet, now));
        }
    }

    fn take_reset(&mut self, flow: FlowAddresses, sender: SocketAddrV4, now: Instant) {
        let open = self.sessions.get(&flow).is_some_and(|session| session.flow.is_open());

        match self.plan.balancer_at(*sender.ip()) {
            Some(balancer) => self.tell(SeenEvent::Reset { flow, open, balancer }),
            None => self.tell(SeenEvent::Forged),
        }
        self.retry(flow, now);
    }

    fn step_sessions(&mut self, now: Instant) {
        let flows: Vec<FlowAddresses> = self.sessions.keys().copied().collect();

        for flow in flows {
            let Some(session) = self.sessions.get_mut(&flow) else { continue };
            match session.next_request {
                Some(at) if at <= now => self.ask_again(flow, now),
                Some(_) => {}
                None if session.deadline() <= now => self.give_up(flow),
                None => self.progress(flow, now, |session| session.on_time(now)),
            }
        }
    }

    /// Lets a flow act, sends what it gives, and goes on as it has progressed.
    fn progress(
        &mut self,
        flow: FlowAddresses,
        now: Instant,
        act: impl FnOnce(&mut CallerFlow) -> FlowStep,
    ) {
        let Some(session) = self.sessions.get_mut(&flow) else { return };
        let zone = session.zone;
        let FlowStep { packets, progress } = act(&mut session.flow);
        for packet in packets {
            self.send(zone, &packet);
        }

        match progress {
            FlowProgress::None => {}
            FlowProgress::Unopened => self.retry(flow, now),
            FlowProgress::Answered { whole } => self.on_answer(flow, whole, now),
        }
    }

    fn on_answer(&mut self, flow: FlowAddresses, whole: bool, now: Instant) {
        let Some(session) = self.sessions.get_mut(&flow) else { return };
        let (request, began) = (session.request.id, session.began);
        session.requests_left -= 1;
        let goes_on = session.requests_left > 0;
        session.next_request = Some(now + PAUSE);

        self.tell(SeenEvent::Answered { request, whole, began, address: flow.service });
        if !goes_on {
            self.close(flow);
        }
    }

    fn ask_again(&mut self, flow: FlowAddresses, now: Instant) {
        let request = self.next_request(true);
        let Some(session) = self.sessions.get_mut(&flow) else { return };
        session.request = request;
        session.began = now;
        session.tries = 1;
        session.next_request = None;

        let (zone, packet) = (session.zone, session.flow.ask(request, now));
        self.send(zone, &packet);
    }

    /// The flow is over. Its request is asked again on another one if that is allowed: what may not be
    /// repeated only if the flow never opened.
    fn retry(&mut self, flow: FlowAddresses, now: Instant) {
        let Some(session) = self.sessions.remove(&flow) else { return };
        self.tell(SeenEvent::Closed { flow });
        if session.next_request.is_some() {
            return;
        }

        let may_run_again = session.request.repeatable || !session.flow.is_open();
        if may_run_again && session.tries < MAX_TRIES && now < session.deadline() {
            let CallerSession { zone, request, began, tries, requests_left, .. } = session;
            self.open(zone, flow.service, request, began, tries + 1, requests_left);
        } else {
            let (request, began) = (session.request.id, session.began);
            self.tell(SeenEvent::Failed { request, began, address: flow.service });
        }
    }

    fn give_up(&mut self, flow: FlowAddresses) {
        if let Some(session) = self.sessions.get(&flow) {
            let (request, began) = (session.request.id, session.began);
            self.tell(SeenEvent::Failed { request, began, address: flow.service });
        }

        self.close(flow);
    }

    fn close(&mut self, flow: FlowAddresses) {
        if let Some(session) = self.sessions.remove(&flow) {
            if session.flow.is_open() {
                self.send(session.zone, &session.flow.closing_packet());
            }
            self.tell(SeenEvent::Closed { flow });
        }
    }
}
