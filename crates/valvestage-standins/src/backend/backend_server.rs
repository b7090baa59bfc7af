//! Backend server that echoes the packets of flows, and runs each request in a slot for a random
//! time.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::{Duration, Instant, SystemTime};

use valvestage_core::ids::{Attempt, RequestId};
use valvestage_core::{LoadReport, Outcome, PacketKind, RefusalReason, Segment};
use valvestage_wire::envelope::{decode, encode};
use valvestage_wire::{Envelope, Header, Target};

use super::backend_options::BackendOptions;
use super::run_log::RunLog;
use crate::seeded_rng::SeededRng;

/// Longest wait for a packet before the stop flag is checked.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Size of the receive buffer; no datagram is longer.
const BUFFER_BYTES: usize = 2_048;

/// Request that occupies a slot.
#[derive(Debug)]
struct Run {
    id: RequestId,
    attempt: Attempt,
    caller: SocketAddr,
    service: SocketAddr,
    balancer: SocketAddr,
}

/// Backend server with a socket on the address of its record.
pub struct BackendServer {
    options: BackendOptions,
    log: Arc<RunLog>,
    socket: UdpSocket,
    rng: SeededRng,
    /// Running requests, at most one per slot, by the time they end and a number that makes the key
    /// unique.
    runs: BTreeMap<(Instant, u64), Run>,
    run_count: u64,
    /// Callers with an open flow.
    flows: HashSet<SocketAddr>,
    busy_slots: Arc<AtomicU16>,
}

impl BackendServer {
    /// Binds the socket.
    pub fn new(options: BackendOptions, log: Arc<RunLog>) -> io::Result<Self> {
        let socket = UdpSocket::bind(options.record.address)?;
        let rng = SeededRng::new(options.seed);

        Ok(Self {
            options,
            log,
            socket,
            rng,
            runs: BTreeMap::new(),
            run_count: 0,
            flows: HashSet::new(),
            busy_slots: Arc::default(),
        })
    }

    /// Returns the gauge of the slots in use, which stays up to date while the server runs.
    #[must_use]
    pub fn busy_slots(&self) -> Arc<AtomicU16> {
        self.busy_slots.clone()
    }

    /// Serves flows and requests until the flag is set.
    pub fn run(mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut buffer = [0; BUFFER_BYTES];

        while !stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            self.finish_due_runs(now);

            let next = self.runs.first_key_value().map(|((end, _), _)| *end - now);
            let wait = next.unwrap_or(MAX_WAIT).clamp(Duration::from_micros(100), MAX_WAIT);
            self.socket.set_read_timeout(Some(wait))?;
            if let Ok((length, source)) = self.socket.recv_from(&mut buffer) {
                self.on_packet(source, &buffer[..length]);
            }
        }
        Ok(())
    }

    fn on_packet(&mut self, source: SocketAddr, datagram: &[u8]) {
        let Ok(envelope) = decode(datagram) else {
            return;
        };
        if envelope.header.target != Some(self.target()) {
            self.log.update_summary(|summary| summary.misdelivered += 1);
            self.refuse(source, &envelope, RefusalReason::BackendMismatch);
            return;
        }

        match envelope.header.kind {
            PacketKind::Open => self.on_open(source, &envelope),
            PacketKind::Data => self.echo(source, &envelope),
            PacketKind::Close => {
                self.flows.remove(&envelope.caller);
                self.echo(source, &envelope);
            }
            PacketKind::Request => self.on_request(source, &envelope),
            PacketKind::Cancel => self.on_cancel(source, &envelope),
            PacketKind::Answer | PacketKind::Refusal | PacketKind::Binding => {}
        }
    }

    fn on_open(&mut self, source: SocketAddr, envelope: &Envelope<'_>) {
        let is_full = self.flows.len() >= usize::from(self.options.record.connections);
        if is_full && !self.flows.contains(&envelope.caller) {
            self.refuse(source, envelope, RefusalReason::BackendConnections);
            return;
        }

        self.flows.insert(envelope.caller);
        self.echo(source, envelope);
    }

    /// Sends the payload back after the backend server's id, so that callers see which backend
    /// server answers.
    fn echo(&self, source: SocketAddr, envelope: &Envelope<'_>) {
        let mut payload = self.options.record.id.to_be_bytes().to_vec();
        payload.extend_from_slice(envelope.payload);

        let header = self.header(envelope.header.kind);
        self.send(source, &Envelope { header, payload: &payload, ..*envelope });
    }

    fn on_request(&mut self, source: SocketAddr, envelope: &Envelope<'_>) {
        let header = &envelope.header;
        let (Some(id), Some(attempt), Some(deadline)) =
            (header.request, header.attempt, header.deadline)
        else {
            return;
        };

        if deadline <= SystemTime::now() {
            self.log.update_summary(|summary| summary.late += 1);
            self.refuse(source, envelope, RefusalReason::BackendDeadline);
            return;
        }
        if self.runs.len() >= usize::from(self.options.record.slots) {
            self.log.update_summary(|summary| summary.shed += 1);
            self.refuse(source, envelope, RefusalReason::BackendShedding);
            return;
        }

        self.log.record_run(id, header.repeatable);
        let end = Instant::now() + self.rng.exponential(self.options.mean_run_time);
        let run = Run {
            id,
            attempt,
            caller: envelope.caller,
            service: envelope.service,
            balancer: source,
        };
        self.run_count += 1;
        self.runs.insert((end, self.run_count), run);
        self.publish_busy_slots();
    }

    fn on_cancel(&mut self, source: SocketAddr, envelope: &Envelope<'_>) {
        let Header { request: Some(id), attempt: Some(attempt), .. } = envelope.header else {
            return;
        };
        let found = self.runs.iter().find(|(_, run)| run.id == id && run.attempt == attempt);
        let Some(key) = found.map(|(key, _)| *key) else {
            return;
        };

        self.runs.remove(&key);
        self.publish_busy_slots();
        self.refuse(source, envelope, RefusalReason::Cancelled);
    }

    fn finish_due_runs(&mut self, now: Instant) {
        while let Some(entry) = self.runs.first_entry() {
            if entry.key().0 > now {
                return;
            }

            let run = entry.remove();
            self.publish_busy_slots();
            self.answer(&run);
        }
    }

    /// Sends the segments of the answer. The payload of each is the request id, so that callers
    /// detect an answer that belongs to another request.
    fn answer(&self, run: &Run) {
        let count = self.options.answer_segments;

        for index in 0..count {
            let mut header = self.header(PacketKind::Answer);
            header.request = Some(run.id);
            header.attempt = Some(run.attempt);
            header.segment = Some(Segment { index, count });

            let payload = run.id.to_be_bytes();
            let envelope =
                Envelope { caller: run.caller, service: run.service, header, payload: &payload };
            self.send(run.balancer, &envelope);
        }
    }

    /// Sends a refusal that returns the payload, so that the balancer can send it to another
    /// backend server.
    fn refuse(&self, source: SocketAddr, envelope: &Envelope<'_>, reason: RefusalReason) {
        let mut header = self.header(PacketKind::Refusal);
        header.request = envelope.header.request;
        header.attempt = envelope.header.attempt;
        header.refusal = Some((Outcome::NotRun, reason));

        self.send(source, &Envelope { header, ..*envelope });
    }

    fn header(&self, kind: PacketKind) -> Header {
        let mut header = Header::new(kind);

        header.target = Some(self.target());
        header.load = Some(LoadReport {
            busy_slots: u16::try_from(self.runs.len()).unwrap_or(u16::MAX),
            open_flows: u16::try_from(self.flows.len()).unwrap_or(u16::MAX),
        });
        header
    }

    fn target(&self) -> Target {
        let record = &self.options.record;

        Target { service: record.service, backend: record.id, incarnation: record.incarnation }
    }

    fn publish_busy_slots(&self) {
        let busy_slots = u16::try_from(self.runs.len()).unwrap_or(u16::MAX);
        self.busy_slots.store(busy_slots, Ordering::Relaxed);

        let percent = u64::from(busy_slots) * 100 / u64::from(self.options.record.slots);
        self.log.update_summary(|summary| {
            summary.peak_slots_percent = summary.peak_slots_percent.max(percent);
        });
    }

    fn send(&self, to: SocketAddr, envelope: &Envelope<'_>) {
        if let Ok(datagram) = encode(envelope) {
            let _ = self.socket.send_to(&datagram, to);
        }
    }
}
