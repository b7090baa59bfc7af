//! A backend as the page "Backends" describes it: it answers the client directly, works on three
//! requests at once and queues twelve more.

use std::collections::HashMap;
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;
use crate::site::Site;

const SLOTS: usize = 3;
const QUEUE: usize = 12;
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
const TRIES: u32 = 8;

/// Both ends of a flow: client, route.
pub type FlowKey = ((Ipv4Addr, u16), (Ipv4Addr, u16));

struct Flow {
    is_open: bool,
    echo: u32,
    /// Next byte to send, and the first one that is not acknowledged.
    next_seq: u32,
    acked: u32,
    /// Next byte expected from the client.
    expected: u32,
    /// The answer that is not acknowledged yet, with its first byte.
    unacked: Option<(u32, Vec<u8>)>,
    resend_at: Instant,
    resend_wait: Duration,
    resends: u32,
}

struct Job {
    flow: FlowKey,
    request: String,
    ready_at: Option<Instant>,
}

/// Flows that backends hold open, for the judge.
pub type OpenFlows = Arc<Mutex<HashMap<FlowKey, u8>>>;

/// Opening packets that a backend took for the first time, for the judge: the backend and the time.
pub type Openings = Arc<Mutex<Vec<(u8, Instant)>>>;

pub struct Backend {
    number: u8,
    id: u32,
    site: Site,
    socket: UdpSocket,
    flows: HashMap<FlowKey, Flow>,
    jobs: Vec<Job>,
    open_flows: OpenFlows,
    openings: Openings,
    record: Record,
    random: u32,
}

/// Returns the name of a backend's entry.
pub fn name_of(number: u8) -> String {
    format!("i-{:08x}", id_of(number))
}

fn id_of(number: u8) -> u32 {
    0x7f3a_0000 | u32::from(number) * 0x0101
}

impl Backend {
    /// Starts backend `number` on a thread of its own.
    pub fn start(
        site: Site,
        number: u8,
        open_flows: OpenFlows,
        openings: Openings,
        record: Record,
    ) -> Result<(), String> {
        let socket = UdpSocket::bind((site.backend(number), site.backend_port()));
        let socket = socket.map_err(|error| format!("backend {number}: {error}"))?;
        socket.set_read_timeout(Some(Duration::from_millis(2))).map_err(|e| e.to_string())?;
        let mut backend = Self {
            number,
            id: id_of(number),
            site,
            socket,
            flows: HashMap::new(),
            jobs: Vec::new(),
            open_flows,
            openings,
            record,
            random: 0x9e37_79b9 ^ u32::from(number) << 7,
        };

        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            loop {
                if let Ok((length, _)) = backend.socket.recv_from(&mut buffer) {
                    backend.on_datagram(&buffer[..length]);
                }
                backend.work();
                backend.resend();
            }
        });
        Ok(())
    }

    fn draw(&mut self) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 17;
        self.random ^= self.random << 5;
        self.random
    }

    fn on_datagram(&mut self, datagram: &[u8]) {
        let Some((meant, packet)) = datagram.split_at_checked(8) else { return };
        let meant = u64::from_be_bytes(meant.try_into().unwrap());
        if meant != 0 && meant != u64::from(self.id) {
            return;
        }
        let Some(packet) = Packet::decode(packet) else { return };
        if !packet.is_sound {
            self.record.say(&format!("backend {}: a packet was changed", self.number));
            return;
        }
        let key = (packet.src, packet.dst);

        if packet.flags & SYN != 0 {
            let start = self.draw() | 0x1000_0000;
            if !self.flows.contains_key(&key) {
                self.openings.lock().unwrap().push((self.number, Instant::now()));
                self.record.line(&format!("backend {} takes the flow {key:?}", self.number));
            }
            let flow = self.flows.entry(key).or_insert_with(|| Flow {
                is_open: false,
                echo: packet.echo,
                next_seq: start.wrapping_add(1),
                acked: start.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                unacked: None,
                resend_at: Instant::now(),
                resend_wait: FIRST_RESEND,
                resends: 0,
            });
            flow.echo = packet.echo;
            if !flow.is_open {
                let seq = flow.next_seq.wrapping_sub(1);
                let answer = reply(flow, key, SYN | ACK, seq, Vec::new());
                self.send(&answer);
            }
            return;
        }
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            self.open_flows.lock().unwrap().remove(&key);
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            self.record.line(&format!("backend {}: unknown flow {key:?}, sends RST", self.number));
            let reset = Packet {
                flags: RST | ACK,
                echo: packet.echo,
                seq: packet.ack,
                ack: packet.seq,
                src: packet.dst,
                dst: packet.src,
                data: Vec::new(),
                is_sound: true,
            };
            self.send(&reset);
            return;
        };
        flow.echo = packet.echo;
        if !flow.is_open {
            if packet.ack != flow.next_seq {
                return;
            }
            flow.is_open = true;
            self.open_flows.lock().unwrap().insert(key, self.number);
        }
        if packet.flags & ACK != 0 {
            flow.acked = packet.ack;
            if flow.acked == flow.next_seq {
                flow.unacked = None;
            }
        }
        let mut answers = Vec::new();
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                let request = String::from_utf8_lossy(&packet.data);
                let request = request.split('\r').next().unwrap_or("").to_owned();
                if self.jobs.len() < SLOTS + QUEUE {
                    self.jobs.push(Job { flow: key, request, ready_at: None });
                }
            }
            answers.push(reply(flow, key, ACK, flow.next_seq, Vec::new()));
        }
        if packet.flags & FIN != 0 {
            flow.expected = flow.expected.wrapping_add(1);
            answers.push(reply(flow, key, FIN | ACK, flow.next_seq, Vec::new()));
            self.flows.remove(&key);
            self.open_flows.lock().unwrap().remove(&key);
        }
        for answer in answers {
            self.send(&answer);
        }
    }

    /// Starts and finishes requests.
    fn work(&mut self) {
        let now = Instant::now();
        for place in 0..self.jobs.len().min(SLOTS) {
            if self.jobs[place].ready_at.is_none() {
                let work = Duration::from_millis(20 + u64::from(self.draw() % 60));
                self.jobs[place].ready_at = Some(now + work);
                let Job { flow, request, .. } = &self.jobs[place];
                self.record.line(&format!("backend {} runs {request} of {flow:?}", self.number));
            }
        }
        let is_done = |job: &Job| job.ready_at.is_some_and(|at| at <= now);
        let done: Vec<Job> = self.jobs.extract_if(.., |job| is_done(job)).collect();
        for Job { flow: key, request, .. } in done {
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            let body = format!("HTTP/1.1 200 OK\r\n\r\n{request} {}", "x".repeat(500));
            let data = body.into_bytes();
            let seq = flow.next_seq;
            flow.next_seq = seq.wrapping_add(data.len() as u32);
            flow.unacked = Some((seq, data.clone()));
            flow.resend_wait = FIRST_RESEND;
            flow.resend_at = now + FIRST_RESEND;
            flow.resends = 0;
            let answer = reply(flow, key, ACK, seq, data);
            self.send(&answer);
        }
    }

    fn resend(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for (key, flow) in &mut self.flows {
            let Some((seq, data)) = flow.unacked.clone() else { continue };
            if flow.resend_at <= now && flow.resends < TRIES {
                flow.resends += 1;
                flow.resend_wait = (flow.resend_wait * 2).min(LAST_RESEND);
                flow.resend_at = now + flow.resend_wait;
                packets.push(reply(flow, *key, ACK, seq, data));
            }
        }
        for packet in packets {
            self.send(&packet);
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), (packet.dst.0, self.site.data_port));
    }
}

fn reply(flow: &Flow, key: FlowKey, flags: u8, seq: u32, data: Vec<u8>) -> Packet {
    let (client, route) = key;
    let (echo, ack) = (flow.echo, flow.expected);

    Packet { flags, echo, seq, ack, src: route, dst: client, data, is_sound: true }
}
