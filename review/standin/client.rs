//! A client with long flows: requests with pauses on each, and the retransmissions that the pages
//! describe.

use std::net::{Ipv4Addr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;
use crate::router::Router;
use crate::site::Site;

const SYN_COPIES_MS: [u64; 2] = [200, 600];
const SYN_GIVES_UP: Duration = Duration::from_millis(1_400);
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
const DEADLINE: Duration = Duration::from_millis(3_000);
/// A packet that no second one follows is acknowledged after this time.
const LONE_ACK: Duration = Duration::from_millis(40);

/// A reset that a client got on an open flow from somebody else than the flow's backend.
#[derive(Debug, Clone)]
pub struct SystemReset {
    pub client: u8,
    pub flow: ((Ipv4Addr, u16), (Ipv4Addr, u16)),
    /// Time since the flow last carried a packet of either end.
    pub idle: Duration,
}

/// The route that clients are to use, with a number that rises with each change.
pub type CurrentRoute = Arc<Mutex<(u32, (Ipv4Addr, u16))>>;

#[derive(Clone)]
pub struct ClientOptions {
    pub number: u8,
    pub zone: &'static str,
    pub flows: u16,
    /// Shortest pause between two requests of a flow, and the length that chance adds at most.
    pub pause: (Duration, Duration),
    /// Whenever it changes, each flow is ended and another one opened on the new route.
    pub route: CurrentRoute,
    /// Whether each request has a flow of its own.
    pub has_flow_each: bool,
}

enum Phase {
    Opening { since: Instant, copies: u32 },
    Open,
    Closed { retry_at: Instant },
}

struct Flow {
    port: u16,
    route: (u32, (Ipv4Addr, u16)),
    phase: Phase,
    echo: u32,
    next_seq: u32,
    expected: u32,
    /// Request under way: its first byte, its bytes, its start.
    request: Option<(u32, Vec<u8>, Instant)>,
    is_request_acked: bool,
    resend_at: Instant,
    resend_wait: Duration,
    next_request_at: Instant,
    unacked_packets: u32,
    ack_due: Option<Instant>,
    last_packet: Instant,
}

pub struct Client {
    options: ClientOptions,
    site: Site,
    socket: UdpSocket,
    router: Router,
    record: Record,
    flows: Vec<Flow>,
    next_port: u16,
    requests: u32,
    answers: Arc<Mutex<(u32, u32)>>,
    resets: Arc<Mutex<Vec<SystemReset>>>,
    /// While set, all datagrams on the way to this client are lost.
    is_downlink_full: Arc<AtomicBool>,
    random: u32,
}

/// What a client tells the case.
pub struct ClientHandle {
    pub resets: Arc<Mutex<Vec<SystemReset>>>,
    /// Requests sent, and answers received.
    pub answers: Arc<Mutex<(u32, u32)>>,
    pub is_downlink_full: Arc<AtomicBool>,
}

impl Client {
    pub fn start(
        site: Site,
        options: ClientOptions,
        router: Router,
        record: Record,
    ) -> Result<ClientHandle, String> {
        let socket = UdpSocket::bind((site.client(options.number), site.data_port));
        let socket = socket.map_err(|error| format!("client {}: {error}", options.number))?;
        socket.set_read_timeout(Some(Duration::from_millis(2))).map_err(|e| e.to_string())?;
        let handle = ClientHandle {
            resets: Arc::default(),
            answers: Arc::default(),
            is_downlink_full: Arc::default(),
        };
        let mut client = Self {
            site,
            socket,
            router,
            record,
            flows: Vec::new(),
            next_port: 10_000,
            requests: 0,
            answers: handle.answers.clone(),
            resets: handle.resets.clone(),
            is_downlink_full: handle.is_downlink_full.clone(),
            random: std::process::id().wrapping_mul(0x85eb_ca6b) ^ u32::from(options.number) << 11 | 1,
            options,
        };

        thread::spawn(move || {
            for _ in 0..client.options.flows {
                let later = client.pause() / 4;
                let flow = client.new_flow(Instant::now() + later);
                client.flows.push(flow);
            }
            client.run();
        });
        Ok(handle)
    }

    fn draw(&mut self) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 17;
        self.random ^= self.random << 5;
        self.random
    }

    fn pause(&mut self) -> Duration {
        let (shortest, more) = self.options.pause;
        let share = f64::from(self.draw() >> 8) / f64::from(1 << 24);

        shortest + more.mul_f64(share)
    }

    /// Returns a flow that opens at a time, from a new port.
    fn new_flow(&mut self, at: Instant) -> Flow {
        self.next_port += 1;
        Flow {
            port: self.next_port,
            route: *self.options.route.lock().unwrap(),
            phase: Phase::Closed { retry_at: at },
            echo: 0,
            next_seq: 0,
            expected: 0,
            request: None,
            is_request_acked: false,
            resend_at: at,
            resend_wait: FIRST_RESEND,
            next_request_at: at,
            unacked_packets: 0,
            ack_due: None,
            last_packet: at,
        }
    }

    fn run(&mut self) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                if !self.is_downlink_full.load(Ordering::Relaxed) {
                    self.on_datagram(&buffer[..length]);
                }
            }
            for place in 0..self.flows.len() {
                self.step(place);
            }
        }
    }

    fn send(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>) {
        let src = (self.site.client(self.options.number), flow.port);
        let dst = flow.route.1;
        let packet = Packet { flags, echo, seq, ack, src, dst, data, is_sound: true };
        let key = (src.0, src.1, dst.0, dst.1);
        if let Some(balancer) = self.router.pick(self.options.zone, key) {
            let _ = self.socket.send_to(&packet.encode(), (balancer, self.site.data_port));
        }
    }

    fn step(&mut self, place: usize) {
        let now = Instant::now();
        match self.flows[place].phase {
            Phase::Closed { retry_at } if retry_at <= now => {
                let mut flow = self.new_flow(now);
                flow.phase = Phase::Opening { since: now, copies: 0 };
                flow.next_seq = self.draw();
                self.send(&flow, SYN, flow.next_seq, 0, 0, Vec::new());
                self.flows[place] = flow;
            }
            Phase::Closed { .. } => {}
            Phase::Opening { since, copies } => {
                let waited = now - since;
                if waited >= SYN_GIVES_UP {
                    let retry_at = now + self.pause();
                    self.flows[place].phase = Phase::Closed { retry_at };
                } else if SYN_COPIES_MS
                    .get(copies as usize)
                    .is_some_and(|at| waited >= Duration::from_millis(*at))
                {
                    self.flows[place].phase = Phase::Opening { since, copies: copies + 1 };
                    let flow = &self.flows[place];
                    self.send(flow, SYN, flow.next_seq, copies + 1, 0, Vec::new());
                }
            }
            Phase::Open => self.step_open(place, now),
        }
    }

    fn step_open(&mut self, place: usize, now: Instant) {
        let newest = self.options.route.lock().unwrap().0;
        let flow = &self.flows[place];
        if flow.route.0 != newest && flow.request.is_none() {
            self.send(flow, FIN | ACK, flow.next_seq, flow.expected, flow.echo, Vec::new());
            self.flows[place].phase = Phase::Closed { retry_at: now };
            return;
        }
        if self.flows[place].ack_due.is_some_and(|due| due <= now) {
            self.acknowledge(place);
        }
        let flow = &self.flows[place];
        match &flow.request {
            None if flow.next_request_at <= now => {
                self.requests += 1;
                let number = self.options.number;
                let text = format!(
                    "GET /feed?id={number}-{} HTTP/1.1\r\nRequest-Id: {number}-{}\r\n\r\n",
                    self.requests, self.requests
                );
                self.record.line(&format!("client {number} port {} sends {number}-{}", flow.port, self.requests));
                self.answers.lock().unwrap().0 += 1;
                let flow = &mut self.flows[place];
                let (seq, data) = (flow.next_seq, text.into_bytes());
                flow.next_seq = seq.wrapping_add(data.len() as u32);
                flow.request = Some((seq, data.clone(), now));
                flow.is_request_acked = false;
                flow.resend_wait = FIRST_RESEND;
                flow.resend_at = now + FIRST_RESEND;
                flow.last_packet = now;
                flow.unacked_packets = 0;
                flow.ack_due = None;
                let flow = &self.flows[place];
                self.send(flow, ACK, seq, flow.expected, flow.echo, data);
            }
            Some((_, _, since)) if now - *since >= DEADLINE => {
                self.record.line(&format!(
                    "client {} port {} gives up its request",
                    self.options.number, flow.port
                ));
                let retry_at = now + self.pause();
                self.flows[place].phase = Phase::Closed { retry_at };
            }
            Some((seq, data, _)) if !flow.is_request_acked && flow.resend_at <= now => {
                let (seq, data) = (*seq, data.clone());
                let flow = &mut self.flows[place];
                flow.resend_wait = (flow.resend_wait * 2).min(LAST_RESEND);
                flow.resend_at = now + flow.resend_wait;
                flow.last_packet = now;
                let flow = &self.flows[place];
                self.send(flow, ACK, seq, flow.expected, flow.echo, data);
            }
            _ => {}
        }
    }

    fn acknowledge(&mut self, place: usize) {
        self.flows[place].unacked_packets = 0;
        self.flows[place].ack_due = None;
        let flow = &self.flows[place];
        self.send(flow, ACK, flow.next_seq, flow.expected, flow.echo, Vec::new());
    }

    fn on_datagram(&mut self, datagram: &[u8]) {
        let Some(packet) = Packet::decode(datagram) else { return };
        let now = Instant::now();
        let Some(place) = self.flows.iter().position(|flow| flow.port == packet.dst.1) else { return };

        if packet.flags & RST != 0 {
            self.on_reset(place, &packet, packet.is_system_reset(datagram), now);
            return;
        }
        if !packet.is_sound {
            self.record.say(&format!("client {}: a packet was changed", self.options.number));
            return;
        }
        let flow = &mut self.flows[place];
        if packet.flags & SYN != 0 {
            if matches!(flow.phase, Phase::Opening { .. }) {
                flow.phase = Phase::Open;
                flow.echo = packet.echo;
                flow.next_seq = flow.next_seq.wrapping_add(1);
                flow.expected = packet.seq.wrapping_add(1);
                flow.next_request_at = now;
                flow.last_packet = now;
                self.acknowledge(place);
            }
            return;
        }
        if !matches!(flow.phase, Phase::Open) {
            return;
        }
        flow.last_packet = now;
        flow.echo = packet.echo;
        if packet.ack == flow.next_seq {
            flow.is_request_acked = true;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq != flow.expected {
            self.acknowledge(place);
            return;
        }
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        flow.unacked_packets += 1;
        flow.ack_due = Some(now + LONE_ACK);
        let is_second = flow.unacked_packets >= 2;
        if flow.request.take().is_some() {
            self.answers.lock().unwrap().1 += 1;
            let pause = self.pause();
            self.flows[place].next_request_at = now + pause;
            if self.options.has_flow_each {
                let flow = &self.flows[place];
                self.send(flow, FIN | ACK, flow.next_seq, flow.expected, flow.echo, Vec::new());
                self.flows[place].phase = Phase::Closed { retry_at: now + pause };
                return;
            }
        }
        if is_second {
            self.acknowledge(place);
        }
    }

    fn on_reset(&mut self, place: usize, packet: &Packet, is_systems: bool, now: Instant) {
        let number = self.options.number;
        let flow = &self.flows[place];
        let is_open = matches!(flow.phase, Phase::Open);
        let is_near = packet.seq.wrapping_sub(flow.expected).wrapping_add(76_800) <= 153_600;
        if is_open && !is_near {
            return;
        }
        let who = if is_systems { "the system" } else { "a backend" };
        let idle = now.saturating_duration_since(flow.last_packet);
        self.record.line(&format!(
            "client {number} port {}: reset by {who}, open: {is_open}, idle for {} ms",
            flow.port,
            idle.as_millis()
        ));
        if is_open && is_systems {
            let client = (self.site.client(number), flow.port);
            let reset = SystemReset { client: number, flow: (client, flow.route.1), idle };
            self.resets.lock().unwrap().push(reset);
        }
        let retry_at = now + Duration::from_millis(100) + self.pause() / 4;
        self.flows[place].phase = Phase::Closed { retry_at };
    }
}
