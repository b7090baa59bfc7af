//! The parts of steering together.

use std::hash::Hasher;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;
use valvestage_core::ids::InstanceId;

use super::backend_choice::{ChoiceCandidate, ChoiceDoubt, choose};
use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEntry, BackendPhase};
use super::backend_health::BackendHealth;
use super::caller_packet::{CallerPacket, DropReason, FlowAddresses, PacketVerdict, ResetReason};
use super::flow_record::{FlowRecord, FlowSign};
use super::flow_tracker::FlowTracker;
use super::knowledge::Knowledge;
use super::steering_options::SteeringOptions;

/// `SteeringPolicy` decides where each packet of a caller goes.
#[derive(Debug)]
pub struct SteeringPolicy {
    options: SteeringOptions,
    flows: FlowTracker,
    health: BackendHealth,
}

impl SteeringPolicy {
    /// `new` knows nothing yet.
    #[must_use]
    pub fn new(options: SteeringOptions) -> Self {
        Self { options, flows: FlowTracker::default(), health: BackendHealth::default() }
    }

    /// `flow_count` gives the number of flows that are remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// `on_tick` forgets what is too old; to be called about once a second.
    pub fn on_tick(&mut self, knowledge: &mut Knowledge, now: Instant) {
        let idle_timeout = Duration::from_millis(knowledge.routes.idle_timeout_ms);

        self.flows.expire(now, idle_timeout);
        if let Some(before) = now.checked_sub(self.options.remember_gone) {
            knowledge.directory.forget_gone(before);
        }
        let directory = &knowledge.directory;
        self.health.forget(|instance| directory.get(instance).is_some());
    }

    /// `on_peer_suspects` takes in which backend servers seem dead to another balancer.
    pub fn on_peer_suspects(&mut self, suspects: &[InstanceId], now: Instant) {
        for instance in suspects {
            self.health.on_told(*instance, now);
        }
    }

    /// `suspects` gives the backend servers that seem dead from here.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        self.health.suspects(now)
    }

    /// `on_packet` decides about a packet.
    pub fn on_packet(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if !knowledge.is_complete() {
            return PacketVerdict::Drop(DropReason::NotReady);
        }

        if packet.opening {
            self.on_opening(knowledge, packet, now)
        } else {
            self.on_further(knowledge, packet, now)
        }
    }

    /// A packet that asks to open a flow.
    fn on_opening(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if let Some(verdict) = self.on_opening_copy(knowledge, packet, now) {
            return verdict;
        }

        let draw = draw_of(&packet.flow);
        let Some(service) = knowledge.routes.target(packet.flow.service, draw) else {
            return refuse_route(knowledge, now);
        };
        let Some(instance) = self.place(knowledge, service, None, draw, now) else {
            return PacketVerdict::Reset(ResetReason::NoBackend);
        };

        if self.flows.len() < self.options.max_flows {
            self.flows.insert(packet.flow, FlowRecord::open_at(instance, now));
        }
        forward(knowledge, instance)
    }

    /// A copy goes where the first one went, unless that backend server shows no life.
    fn on_opening_copy(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> Option<PacketVerdict> {
        /// Time in which a backend server answers. Copies come 200 ms apart; two that were read
        /// together show nothing.
        const ANSWER_TIME: Duration = Duration::from_millis(150);

        let record = self.flows.get(&packet.flow)?;
        if record.open && packet.acknowledged == 0 {
            // The caller uses the port again.
            return None;
        }
        let (instance, first_at) = (record.instance, record.last_packet);
        let sign = self.flows.observe(packet, now);
        if now.saturating_duration_since(first_at) >= ANSWER_TIME {
            self.health.observe(instance, packet.flow, sign, now);
        }

        let entry = knowledge.directory.get(instance)?;
        let takes_new = entry.phase == BackendPhase::Ready
            && knowledge.routes.leads_to(packet.flow.service, &entry.service);
        let unanswered = match sign {
            FlowSign::Unanswered(since) => {
                now.saturating_duration_since(first_at) >= ANSWER_TIME
                    && !self.health.shows_life_since(instance, since)
            }
            _ => false,
        };
        if takes_new && !unanswered {
            return Some(forward(knowledge, instance));
        }
        if !takes_new {
            return None;
        }

        let service = entry.service.clone();
        let other = self.place(knowledge, &service, Some(instance), draw_of(&packet.flow), now)?;
        self.flows.insert(packet.flow, FlowRecord::open_at(other, now));
        Some(forward(knowledge, other))
    }

    /// A packet of a flow that a backend server has answered.
    fn on_further(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if !knowledge.routes.routes.contains_key(&packet.flow.service) {
            return refuse_route(knowledge, now);
        }
        let Some(instance) = self.instance_of(knowledge, packet) else {
            return PacketVerdict::Drop(DropReason::UnknownToken);
        };

        let Some(entry) = knowledge.directory.get(instance) else {
            return PacketVerdict::Drop(DropReason::UnknownToken);
        };
        if !knowledge.may_lead_to(packet.flow.service, &entry.service) {
            return PacketVerdict::Drop(DropReason::WrongService);
        }

        self.observe(instance, packet, now);
        if entry.is_gone() && !packet.reset {
            self.flows.remove(&packet.flow);
            return PacketVerdict::Reset(ResetReason::BackendGone);
        }

        if packet.reset {
            self.flows.remove(&packet.flow);
        }
        forward(knowledge, instance)
    }

    /// The backend server of an open flow. The token goes before the record: a copy of the opening
    /// packet may have gone to another one than the one that the caller took.
    fn instance_of(&self, knowledge: &Knowledge, packet: &CallerPacket) -> Option<InstanceId> {
        let record = self.flows.get(&packet.flow);
        if let Some(record) = record
            && record.open
        {
            return Some(record.instance);
        }

        let named = knowledge.directory.by_token(packet.token).map(|entry| entry.instance);
        named.or(record.map(|record| record.instance))
    }

    fn observe(&mut self, instance: InstanceId, packet: &CallerPacket, now: Instant) {
        let known = self.flows.get(&packet.flow).is_some_and(|flow| flow.instance == instance);

        let sign = if known {
            self.flows.observe(packet, now)
        } else {
            if self.flows.len() < self.options.max_flows {
                let record = FlowRecord::taken_over(instance, packet, now);
                self.flows.insert(packet.flow, record);
            }
            FlowSign::Neutral
        };
        self.health.observe(instance, packet.flow, sign, now);
    }

    /// Chooses a backend server for a new flow.
    fn place(
        &self,
        knowledge: &Knowledge,
        service: &str,
        except: Option<InstanceId>,
        draw: u64,
        now: Instant,
    ) -> Option<InstanceId> {
        let takes_new = |entry: &&BackendEntry| {
            entry.service == service
                && entry.phase == BackendPhase::Ready
                && knowledge.directory.owns_token(entry.instance)
        };
        let candidates = knowledge.directory.iter().filter(takes_new);
        let candidates: Vec<ChoiceCandidate<'_>> =
            candidates.map(|entry| self.candidate(entry, except, now)).collect();

        choose(&candidates, draw)
    }

    fn candidate<'a>(
        &self,
        entry: &'a BackendEntry,
        except: Option<InstanceId>,
        now: Instant,
    ) -> ChoiceCandidate<'a> {
        let requests = self.flows.load(entry.instance).in_requests(self.options.resting_flow_load);
        let is_cold = entry.cold_until.is_some_and(|until| until > now);
        let factor = if is_cold { self.options.cold_factor } else { 1.0 };
        let distance =
            if entry.zone == self.options.zone { 0.0 } else { self.options.zone_preference };

        let is_silent =
            self.health.is_suspect(entry.instance, now) || except == Some(entry.instance);
        let doubt = match (entry.missing_until, is_silent) {
            (Some(_), _) => ChoiceDoubt::Missing,
            (None, true) => ChoiceDoubt::Silent,
            (None, false) => ChoiceDoubt::None,
        };

        ChoiceCandidate {
            entry,
            load: (requests + 1.0) * factor / f64::from(entry.slots) + distance,
            doubt,
        }
    }
}

/// The verdict on a packet for an address without a route. A configuration that may be out of date
/// refuses nothing: the caller sends the packet again.
fn refuse_route(knowledge: &Knowledge, now: Instant) -> PacketVerdict {
    if knowledge.is_certain(now) {
        PacketVerdict::Reset(ResetReason::NoRoute)
    } else {
        PacketVerdict::Drop(DropReason::NoRoute)
    }
}

/// The verdict that a packet goes to a backend server.
fn forward(knowledge: &Knowledge, instance: InstanceId) -> PacketVerdict {
    match knowledge.directory.get(instance) {
        Some(entry) => PacketVerdict::Forward {
            instance,
            address: entry.address,
            token: BackendDirectory::token_of(instance),
        },
        None => PacketVerdict::Drop(DropReason::UnknownToken),
    }
}

/// A number that is the same for a flow at every balancer.
fn draw_of(flow: &FlowAddresses) -> u64 {
    let mut hasher = SipHasher13::new();

    for address in [flow.caller, flow.service] {
        hasher.write(&address.ip().octets());
        hasher.write_u16(address.port());
    }
    hasher.finish()
}
