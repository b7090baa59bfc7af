//! Log of the policy's decisions as JSON lines.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Map, Value, json};
use valvestage_core::StorePosition;
use valvestage_policy::steering::knowledge::backend_name::{incarnation_digits, number_digits};
use valvestage_policy::steering::placement::backend_choice::ChoiceDoubt;
use valvestage_policy::steering::{
    BackendPhase, Decision, DroppedPacket, FlowAddresses, FlowPlacement, IncompleteAnswer,
    ShortageReport, UpdateSource,
};
use valvestage_process::log_ring::LogRing;
use valvestage_process::structured_log::unix_time_ms;

use crate::log_rate_limiter::LogRateLimiter;

/// Rate-limited log of decisions.
pub struct DecisionLog {
    ring: Option<LogRing>,
    /// Name of this VM, which is part of each line.
    vm: String,
    rate_limiter: LogRateLimiter,
}

impl DecisionLog {
    /// Creates a log that writes to `ring`, or writes nothing if it is `None`.
    #[must_use]
    pub fn new(ring: Option<LogRing>, vm: String) -> Self {
        Self { ring, vm, rate_limiter: LogRateLimiter::default() }
    }

    /// Returns the number of lines that were dropped because the ring was full, and that no written
    /// line has reported yet.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.ring.as_ref().map_or(0, LogRing::dropped_lines)
    }

    /// Writes a decision unless the rate limit of its event is reached.
    pub fn write(&mut self, decision: &Decision, now: Instant) {
        let is_ordinary = is_ordinary(decision);

        self.write_line(event_name(decision), is_ordinary, now, |line| fill(line, decision));
    }

    /// Writes that datagrams could not be sent, unless the rate limit of this event is reached.
    pub fn write_unsent(&mut self, unsent: UnsentDatagrams, now: Instant) {
        self.write_line("unsent", false, now, |line| {
            line.put("datagrams", unsent.count);
            line.put_text("peer", unsent.peer);
            line.put_text("cause", unsent.cause);
        });
    }

    fn write_line(
        &mut self,
        event: &'static str,
        is_ordinary: bool,
        now: Instant,
        fill: impl FnOnce(&mut LogLineFields),
    ) {
        let Some(ring) = &self.ring else { return };
        let Some(omitted) = self.rate_limiter.admit(event, is_ordinary, now) else { return };

        let mut line = LogLineFields::new(event);
        line.put("vm", self.vm.as_str());
        if omitted > 0 {
            line.put("left_out_before", omitted);
        }
        fill(&mut line);
        ring.write(Value::Object(line.fields).to_string().into_bytes());
    }
}

/// Datagrams that the operating system did not accept in one iteration of the data thread's loop.
#[derive(Debug, Clone, Copy)]
pub struct UnsentDatagrams {
    /// Number of these datagrams.
    pub count: u64,
    /// Destination of the last one.
    pub peer: SocketAddr,
    /// Why the operating system did not accept the last one.
    pub cause: io::ErrorKind,
}

/// Returns the event name of a decision in logs and metrics.
#[must_use]
pub fn event_name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Placed(placement) if placement.instead_of.is_some() => "moved",
        Decision::Placed(_) => "placed",
        Decision::Reset { .. } => "reset",
        Decision::Dropped(_) => "dropped",
        Decision::Held(_) => "held",
        Decision::Suspected { .. } => "suspected",
        Decision::Cleared { .. } => "cleared",
        Decision::Refuted { .. } => "refuted",
        Decision::Avoided { .. } => "avoided",
        Decision::AvoidedByPeer { .. } => "avoided_as_told",
        Decision::Slowed { .. } => "slowed",
        Decision::SpillBegan { .. } => "spill_began",
        Decision::SpillEnded { .. } => "spill_ended",
        Decision::Recovered { .. } => "recovered",
        Decision::ShortageBegan(_) => "shortage_began",
        Decision::SharesUpdated(_) => "admission_shares",
        Decision::ShortageEnded(_) => "shortage_ended",
        Decision::Refused(_) => "refused",
        Decision::RoutesInForce { .. } => "routes_in_force",
        Decision::BackendChanged { .. } => "backend_changed",
        Decision::Evacuation { .. } => "evacuation",
        Decision::ZoneReturned { .. } => "zone_returned",
        Decision::Isolated { .. } => "isolated",
        Decision::BackendMissing { .. } => "backend_missing",
        Decision::BirthMissing { .. } => "birth_missing",
        Decision::EndCorrected { .. } => "end_corrected",
        Decision::WatchRole { .. } => "watch_role",
        Decision::StoreLink { .. } => "store_link",
        Decision::StoreEra { .. } => "store_era",
        Decision::HistoryGone { .. } => "history_gone",
        Decision::PeerFound { .. } => "peer_found",
        Decision::PeerLost { .. } => "peer_lost",
        Decision::Certainty { .. } => "certainty",
        Decision::Asked { .. } => "asked",
        Decision::Answered { .. } => "answered",
        Decision::AnswerIncomplete(_) => "answer_incomplete",
        Decision::RemovalsConcluded { .. } => "removals_concluded",
        Decision::Paused { .. } => "paused",
    }
}

/// Reports whether a decision is of the kind that is made for every new flow.
fn is_ordinary(decision: &Decision) -> bool {
    matches!(decision, Decision::Placed(placement) if placement.instead_of.is_none())
}

/// Fields of a log line.
struct LogLineFields {
    fields: Map<String, Value>,
}

impl LogLineFields {
    fn new(event: &'static str) -> Self {
        let mut line = Self { fields: Map::new() };

        line.put("time_ms", unix_time_ms());
        line.put("event", event);
        line
    }

    fn put(&mut self, name: &str, value: impl Into<Value>) {
        self.fields.insert(name.to_owned(), value.into());
    }

    fn put_text(&mut self, name: &str, value: impl Display) {
        self.put(name, value.to_string());
    }

    /// Puts an instance in hexadecimal digits, as in the names of the store's entries.
    fn put_instance(&mut self, name: &str, instance: u64) {
        self.put(name, format!("{:x}", number_digits(instance)));
    }

    /// Puts the instance of a backend server, and its incarnation digest, which distinguishes
    /// restarts under the same name.
    fn put_backend(&mut self, instance: u64) {
        self.put_instance("backend", instance);
        self.put("birth", format!("{:x}", incarnation_digits(instance)));
    }

    fn put_time(&mut self, name: &str, time: Duration) {
        self.put(name, u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }

    fn put_flow(&mut self, flow: &FlowAddresses) {
        self.put_text("caller", flow.caller);
        self.put_text("address", flow.service);
    }

    /// Puts the revision of a position under `key`, and its era under `era`.
    fn put_position(&mut self, key: &'static str, position: StorePosition) {
        self.put(key, position.revision);
        self.put("era", position.era);
    }

    fn put_source(&mut self, source: UpdateSource) {
        match source {
            UpdateSource::Store => self.put("source", "store"),
            UpdateSource::Peer(peer) => self.put_text("source", peer),
        }
    }
}

fn fill(line: &mut LogLineFields, decision: &Decision) {
    match decision {
        Decision::Placed(placement) => fill_placement(line, placement),
        Decision::Reset { flow, reason, instance } => {
            line.put_flow(flow);
            line.put("reason", reason.name());
            if let Some(instance) = instance {
                line.put_backend(*instance);
            }
        }
        Decision::Dropped(dropped) | Decision::Held(dropped) => fill_dropped(line, dropped),
        Decision::Suspected { instance, flows, waited } => {
            line.put_backend(*instance);
            line.put("flows", *flows);
            line.put_time("waited_ms", *waited);
        }
        Decision::Refuted { instance, peer, age } => {
            line.put_backend(*instance);
            line.put_text("source", peer);
            line.put_time("answered_ago_ms", *age);
        }
        Decision::Avoided { instance, count, reporting_peers, avoided_for } => {
            line.put_backend(*instance);
            line.put("requests", round_to_hundredths(count.total()));
            line.put("poor", round_to_hundredths(count.poor));
            line.put("expected", round_to_hundredths(count.expected));
            line.put("told_by", *reporting_peers);
            line.put_time("avoided_ms", *avoided_for);
        }
        Decision::SpillBegan { service, share } => {
            line.put("service", service.as_str());
            line.put("share", round_to_hundredths(*share));
        }
        Decision::SpillEnded { service } => line.put("service", service.as_str()),
        Decision::AvoidedByPeer { instance, peer, left } => {
            line.put_backend(*instance);
            line.put_text("source", peer);
            line.put_time("avoided_ms", *left);
        }
        Decision::Slowed { instance, factor, answers, reporting_peers }
        | Decision::Recovered { instance, factor, answers, reporting_peers } => {
            line.put_backend(*instance);
            line.put("pace", round_to_hundredths(*factor));
            line.put("answers", round_to_hundredths(*answers));
            line.put("told_by", *reporting_peers);
        }
        Decision::ShortageBegan(report)
        | Decision::SharesUpdated(report)
        | Decision::ShortageEnded(report) => fill_shortage(line, report),
        Decision::Refused(refusal) => {
            line.put_flow(&refusal.flow);
            line.put("service", refusal.service.as_str());
            line.put("priority", refusal.priority);
            line.put("share", round_to_thousandths(refusal.share));
            line.put("draw", round_to_thousandths(refusal.draw));
        }
        Decision::Cleared { instance } | Decision::BackendMissing { instance } => {
            line.put_backend(*instance);
        }
        Decision::BirthMissing { name, position } => {
            line.put_instance("backend", name.number);
            line.put_position("revision", *position);
        }
        Decision::EndCorrected { instance, ended_at, listed_at } => {
            line.put_backend(*instance);
            line.put_position("revision", *ended_at);
            line.put("listed_revision", listed_at.revision);
        }
        Decision::RoutesInForce { version, former, addresses, source } => {
            line.put("version", *version);
            line.put("former_version", *former);
            line.put("addresses", *addresses);
            line.put_source(*source);
        }
        Decision::BackendChanged { instance, position, service, phase, source } => {
            line.put_backend(*instance);
            line.put_position("revision", *position);
            line.put("service", service.as_str());
            line.put("phase", phase_name(*phase));
            line.put_source(*source);
        }
        Decision::Evacuation { zone, phase, position, source, age } => {
            line.put("zone", zone.as_str());
            line.put("phase", phase.name());
            line.put_position("revision", *position);
            line.put_source(*source);
            if let Some(age) = age {
                line.put_time("knowledge_age_ms", *age);
            }
        }
        Decision::ZoneReturned { zone } => line.put("zone", zone.as_str()),
        Decision::Isolated { is_isolated } => line.put("isolated", *is_isolated),
        Decision::WatchRole { is_watching, others } => {
            line.put("follows_store", *is_watching);
            line.put("others", *others);
        }
        Decision::StoreLink { kind, answers } => {
            line.put("kind", format!("{kind:?}"));
            line.put("answers", *answers);
        }
        Decision::StoreEra { kind, former, position } => {
            line.put("kind", format!("{kind:?}"));
            line.put("former_era", *former);
            line.put_position("revision", *position);
        }
        Decision::HistoryGone { kind, position } => {
            line.put("kind", format!("{kind:?}"));
            line.put_position("revision", *position);
        }
        Decision::PeerFound { peer } | Decision::PeerLost { peer } => line.put_text("peer", peer),
        Decision::Certainty { is_certain, version } => {
            line.put("certain", *is_certain);
            line.put("version", *version);
        }
        Decision::Asked { peer, version, known_until } => {
            line.put_text("peer", peer);
            line.put("version", *version);
            line.put_position("known_until", *known_until);
        }
        Decision::Answered { peer, version, datagrams } => {
            line.put_text("peer", peer);
            line.put("version", *version);
            line.put("datagrams", *datagrams);
        }
        Decision::AnswerIncomplete(answer) => fill_incomplete(line, answer),
        Decision::RemovalsConcluded { source, removals } => {
            line.put("basis", removals.basis.name());
            line.put("count", removals.count);
            line.put_position("revision", removals.position);
            line.put_source(*source);
        }
        Decision::Paused { time } => line.put_time("paused_ms", *time),
    }
}

fn fill_placement(line: &mut LogLineFields, placement: &FlowPlacement) {
    line.put_flow(&placement.flow);
    line.put("service", placement.service.as_str());
    line.put_backend(placement.instance);
    line.put("zone", placement.zone.as_str());
    if let Some(zone) = &placement.drawn_zone {
        line.put("drawn_zone", zone.as_str());
    }
    line.put("load", round_to_hundredths(placement.load));
    if placement.pace > 1.0 {
        line.put("pace", round_to_hundredths(placement.pace));
    }
    line.put("candidates", placement.candidates);
    if placement.excluded > 0 {
        line.put("left_out", placement.excluded);
    }
    line.put("version", placement.version);
    match placement.doubt {
        ChoiceDoubt::None => {}
        ChoiceDoubt::Silent => line.put("doubt", "silent"),
        ChoiceDoubt::Missing => line.put("doubt", "missing"),
    }
    if let Some(former) = placement.instead_of {
        line.put_instance("instead_of", former);
    }
    if let Some(age) = placement.age {
        line.put_time("knowledge_age_ms", age);
    }
}

fn fill_shortage(line: &mut LogLineFields, report: &ShortageReport) {
    let ShortageReport { service, load, shares } = report;
    let classes = load.classes.iter().map(|(priority, class)| {
        json!({
            "priority": priority,
            "opening": round_to_hundredths(class.opening),
            "further": round_to_hundredths(class.further),
            "share": round_to_thousandths(shares.share(*priority)),
        })
    });

    line.put("service", service.as_str());
    line.put("in_flight", round_to_hundredths(load.in_flight));
    line.put("slots", round_to_hundredths(load.slots));
    line.put("answers", round_to_hundredths(load.completed));
    line.put("target", round_to_hundredths(shares.target_rate()));
    line.put("classes", classes.collect::<Vec<_>>());
    line.put("told_by", load.reporters);
    line.put_time("reports_age_ms", load.age);
    line.put("usable", load.is_usable);
}

fn fill_dropped(line: &mut LogLineFields, dropped: &DroppedPacket) {
    line.put_flow(&dropped.flow);
    line.put("reason", dropped.reason.name());
    line.put("token", dropped.token);
    line.put_position("known_until", dropped.known_until);
    if let Some(instance) = dropped.instance {
        line.put_backend(instance);
    }
    if let Some(age) = dropped.age {
        line.put_time("knowledge_age_ms", age);
    }
}

fn fill_incomplete(line: &mut LogLineFields, answer: &IncompleteAnswer) {
    line.put_text("peer", answer.peer);
    line.put("kind", format!("{:?}", answer.kind));
    line.put("state", answer.state);
    line.put("came", answer.received);
    line.put("expected", answer.expected);
    line.put_time("waited_ms", answer.waited);
}

/// Rounds to two decimal places, which is precise enough for a reader of the log.
fn round_to_hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Rounds to three decimal places, which tells a share from a draw just above it in most cases.
fn round_to_thousandths(number: f64) -> f64 {
    (number * 1_000.0).round() / 1_000.0
}

fn phase_name(phase: BackendPhase) -> &'static str {
    match phase {
        BackendPhase::Ready => "ready",
        BackendPhase::Draining => "draining",
        BackendPhase::Unusable => "unusable",
        BackendPhase::Gone { .. } => "gone",
    }
}
