//! The messages between balancers, one per datagram.
//!
//! A heartbeat says how much its sender knows, and a balancer that knows less pulls the rest. All
//! knowledge carries a version or a revision of the store, and only what is newer is applied, so
//! messages may be lost, duplicated or delayed.
//!
//! Messages are not authenticated: the settings hold no secret, and one from the store could not be
//! read while the store is unreachable, which is when peers matter most. Addresses of balancers can
//! be reached only from the deployment's own network, and a message can add nothing that the
//! backend server it names would not check itself.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use valvestage_core::StorePosition;
use valvestage_core::ids::{ConfigurationVersion, InstanceId, ShortToken, ZoneName};

use super::route_chunk::{ChunkDigest, RouteChunk};
use crate::steering::health::caller_digest::CallerDigest;
use crate::steering::health::outcome_count::OutcomeCount;
use crate::steering::knowledge::backend_directory::LiveDigest;
use crate::steering::knowledge::backend_name::{BackendName, IncarnationDigest, StartMillis};
use crate::steering::knowledge::evacuated_zones::EvacuationReport;
use crate::steering::knowledge::request_class::RoutePriority;

/// Maximum payload of one datagram in bytes, so that none is fragmented on an Ethernet link.
pub const MAX_MESSAGE_BYTES: usize = 1_400;

/// Maximum number of datagrams in one answer. 22 KB take 18 ms on a link of 10 Mbit/s, and two
/// answers at once fit into a queue of 64 KB. With 8 datagrams, the 68 chunks of a configuration of
/// 4,245 addresses would take nine pulls instead of five.
pub const ANSWER_WINDOW: usize = 16;

/// A message between balancers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Announces how much the sender knows.
    Heartbeat(PeerHeartbeat),
    /// Asks for the index of a newer configuration.
    RoutesPull(RoutesPull),
    /// Some or all of the index of a configuration.
    RoutesIndex(RoutesIndex),
    /// Asks for some chunks of a configuration.
    ChunksPull(ChunksPull),
    /// A chunk of a configuration.
    RoutesChunk(RouteChunk),
    /// Asks for changes of backend servers.
    BackendsPull(BackendsPull),
    /// Some changes of backend servers.
    Backends(BackendsPart),
    /// Asks for signs of life of backend servers that seem dead to the sender.
    SuspicionQuery(SuspicionQuery),
    /// Reports signs of life of backend servers that the receiver suspects.
    Refutation(SuspicionRefutation),
}

impl PeerMessage {
    /// Returns the size of the message on a link in bytes: an estimate for parts of a
    /// configuration, which are seldom full, and the maximum for other messages.
    #[must_use]
    pub fn bytes(&self) -> usize {
        /// Bytes of the headers of a datagram and of the fields before a chunk.
        const HEADER_BYTES: usize = 60;

        match self {
            Self::RoutesIndex(index) => {
                (HEADER_BYTES + size_of_val(index.digests.as_slice())).min(MAX_MESSAGE_BYTES)
            }
            Self::RoutesChunk(chunk) => (HEADER_BYTES + chunk.bytes()).min(MAX_MESSAGE_BYTES),
            _ => MAX_MESSAGE_BYTES,
        }
    }
}

/// Announces how much its sender knows, and what it observes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Whether a receiver that knows more is to answer at once. An answer never sets this, so that
    /// two balancers that each know something the other does not know don't answer each other
    /// endlessly.
    pub wants_answer: bool,
    /// Version of its configuration.
    pub version: ConfigurationVersion,
    /// The sender knows every change of backend servers up to this position.
    pub complete_until: StorePosition,
    /// Position of the last change that it knows.
    pub changed_at: StorePosition,
    /// The store's position when it was first listed in its present era.
    pub era_head: StorePosition,
    /// Digest of the backend servers that it counts as live.
    pub live_digest: LiveDigest,
    /// Time since the store confirmed this state to the sender or to the balancer that reported it,
    /// in milliseconds.
    pub age_ms: u32,
    /// Time since the store last failed to answer the sender, or a balancer whose failure was
    /// reported to it, in milliseconds.
    pub outage_age_ms: u32,
    /// Balancers that follow the store, including the sender if it does.
    pub watchers: Vec<WatcherSighting>,
    /// Some balancers that it has heard from recently.
    pub peers: Vec<SocketAddrV4>,
    /// What it has observed of backend servers in trouble.
    pub health: HealthReport,
    /// The availability zones that operators have evacuated; `None` if that is not known, or if
    /// operators cannot evacuate zones here.
    pub evacuations: Option<EvacuationReport>,
    /// Demand of its callers for the services with the highest demand; `None` if this heartbeat
    /// carries no demand.
    pub demands: Option<Vec<ServiceDemand>>,
    /// Load of the services that its callers use most; empty unless admission control is enabled.
    pub loads: Vec<ServiceLoadReport>,
    /// Tokens of flows whose backend servers it does not know; a receiver that knows them answers
    /// with their entries.
    pub unresolved_tokens: Vec<ShortToken>,
}

impl PeerHeartbeat {
    /// Adds the time that the heartbeat has waited to be read, which is `waited` at most, to the
    /// ages of the store confirmations and signs of life in it. If they were forwarded as fresh, the other balancers
    /// would not notice that the store no longer answers any balancer.
    ///
    /// The age of the last outage stays as it is: to take an outage for a later one does no harm.
    pub fn add_age(&mut self, waited: Duration) {
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);

        self.age_ms = self.age_ms.saturating_add(waited_ms);
        for sighting in &mut self.watchers {
            sighting.age_ms = sighting.age_ms.saturating_add(waited_ms);
        }
        add_age_to_lives(&mut self.health.alive, waited);
    }
}

fn add_age_to_lives(lives: &mut [LifeReport], waited: Duration) {
    let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);

    for life in lives {
        life.answered_ago_ms = life.answered_ago_ms.saturating_add(waited_ms);
    }
}

/// Digest that identifies a service, the same at every balancer.
pub type ServiceDigest = u32;

/// Demand of one balancer's callers for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceDigest,
    /// Number of requests under way, averaged over a second, in hundredths.
    pub busy_hundredths: u32,
}

impl ServiceDemand {
    /// Creates a report of an average number of requests under way.
    #[must_use]
    pub fn new(service: ServiceDigest, busy: f64) -> Self {
        Self { service, busy_hundredths: fixed_point(busy, 100.0) }
    }

    /// Returns the reported number of requests under way.
    #[must_use]
    pub fn busy(&self) -> f64 {
        f64::from(self.busy_hundredths) / 100.0
    }
}

/// Load that one balancer's callers put on a service. Rates are moving averages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoadReport {
    /// The service.
    pub service: ServiceDigest,
    /// Requests under way at backend servers that are not suspected to be dead, in hundredths.
    pub in_flight_hundredths: u32,
    /// Number of open flows.
    pub open_flows: u32,
    /// Ordinary answers per second, in tenths.
    pub completed_tenths: u32,
    /// Rejected requests per second, in tenths.
    pub rejected_tenths: u32,
    /// What callers ask for, by priority.
    pub classes: Vec<ClassLoadReport>,
}

impl ServiceLoadReport {
    /// Creates a report of requests under way, open flows, and ordinary answers and rejected
    /// requests per second.
    #[must_use]
    pub fn new(
        service: ServiceDigest,
        (in_flight, open_flows): (f64, f64),
        (completed, rejected): (f64, f64),
        classes: Vec<ClassLoadReport>,
    ) -> Self {
        Self {
            service,
            in_flight_hundredths: fixed_point(in_flight, 100.0),
            open_flows: fixed_point(open_flows, 1.0),
            completed_tenths: fixed_point(completed, 10.0),
            rejected_tenths: fixed_point(rejected, 10.0),
            classes,
        }
    }

    /// Returns the size of the report in the codec's encoding.
    #[must_use]
    pub fn bytes(&self) -> usize {
        /// Size of the number of classes, of which there are at most 16.
        const COUNT_BYTES: usize = 1;
        let numbers = [
            self.service,
            self.in_flight_hundredths,
            self.open_flows,
            self.completed_tenths,
            self.rejected_tenths,
        ];
        let classes = self.classes.iter().map(ClassLoadReport::bytes);

        numbers.into_iter().map(varint_bytes).chain(classes).sum::<usize>() + COUNT_BYTES
    }

    /// Returns the reported number of requests under way.
    #[must_use]
    pub fn in_flight(&self) -> f64 {
        f64::from(self.in_flight_hundredths) / 100.0
    }

    /// Returns the reported number of ordinary answers per second.
    #[must_use]
    pub fn completed(&self) -> f64 {
        f64::from(self.completed_tenths) / 10.0
    }

    /// Returns the reported number of rejected requests per second.
    #[must_use]
    pub fn rejected(&self) -> f64 {
        f64::from(self.rejected_tenths) / 10.0
    }
}

/// What one balancer's callers ask of a service at one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassLoadReport {
    /// Priority of the routes.
    pub priority: RoutePriority,
    /// First opening packets per second, including those that are refused, in tenths.
    pub opening_tenths: u32,
    /// Requests per second that begin on flows opened before, in tenths.
    pub further_tenths: u32,
}

impl ClassLoadReport {
    /// Creates a report of first opening packets and further requests per second.
    #[must_use]
    pub fn new(priority: RoutePriority, opening: f64, further: f64) -> Self {
        let tenths = |rate| fixed_point(rate, 10.0);

        Self { priority, opening_tenths: tenths(opening), further_tenths: tenths(further) }
    }

    /// Returns the size of the report in the codec's encoding.
    fn bytes(&self) -> usize {
        size_of::<RoutePriority>()
            + varint_bytes(self.opening_tenths)
            + varint_bytes(self.further_tenths)
    }

    /// Returns the reported number of first opening packets per second.
    #[must_use]
    pub fn opening(&self) -> f64 {
        f64::from(self.opening_tenths) / 10.0
    }

    /// Returns the reported number of further requests per second.
    #[must_use]
    pub fn further(&self) -> f64 {
        f64::from(self.further_tenths) / 10.0
    }
}

/// Observations of a balancer that it reports to others in its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BalancerReport {
    /// Backend servers in trouble.
    pub health: HealthReport,
    /// Demand of its callers.
    pub demands: Vec<ServiceDemand>,
    /// Load of services; empty unless admission control is enabled.
    pub loads: Vec<ServiceLoadReport>,
    /// Tokens of flows whose backend servers it does not know.
    pub unresolved_tokens: Vec<ShortToken>,
}

/// What one balancer has observed of backend servers in trouble.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Backend servers that are suspected to be dead.
    pub suspects: Vec<SuspicionReport>,
    /// Outcomes of requests at backend servers that seem to fail more of them than others do.
    pub outcomes: Vec<OutcomeReport>,
    /// Backend servers that it has begun to avoid on its own observation.
    pub avoided: Vec<AvoidanceReport>,
    /// Backend servers that another balancer suspects and that have answered recently, as far as
    /// the sender knows.
    pub alive: Vec<LifeReport>,
    /// Answer times of backend servers that may be slow; empty unless pace sharing is enabled.
    pub paces: Vec<PaceReport>,
}

/// Report that a backend server is suspected to be dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// The backend server.
    pub instance: InstanceId,
    /// Some callers that miss answers on open flows at the sender. The receiver may see flows of
    /// the same callers, which prove nothing further.
    pub callers: Vec<CallerDigest>,
}

impl SuspicionReport {
    /// Returns the size of the report in the codec's encoding.
    pub(super) fn bytes(&self) -> usize {
        /// Size of the number of callers, of which there are few.
        const COUNT_BYTES: usize = 1;

        long_varint_bytes(self.instance) + COUNT_BYTES + self.callers.len()
    }
}

/// Report that a backend server has answered, which refutes the suspicion that it is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeReport {
    /// The backend server.
    pub instance: InstanceId,
    /// Time since it last answered a flow, as far as the reporting balancer knows, in milliseconds.
    pub answered_ago_ms: u32,
}

/// Number of a query among those of its sender; begins again at 0 after the largest one.
pub type QueryNumber = u16;

/// Asks for signs of life of backend servers. Each receiver acknowledges the query.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionQuery {
    /// Number by which the receivers acknowledge it.
    pub number: QueryNumber,
    /// The backend servers that the sender has begun to suspect.
    pub suspects: Vec<SuspicionReport>,
    /// Backend servers that others suspect, and of which a flow misses an answer at the sender. That
    /// is no suspicion of its own, or a single one would spread to all balancers.
    pub doubted: Vec<InstanceId>,
}

/// Acknowledgement of a query, and signs of life of backend servers that the receiver suspects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionRefutation {
    /// The query of the receiver that has just arrived; `None` if the message answers no query or
    /// one that was acknowledged before.
    pub acknowledged: Option<QueryNumber>,
    /// The signs of life.
    pub alive: Vec<LifeReport>,
}

impl SuspicionRefutation {
    /// Adds the time that the message has waited to be read, which is `waited` at most, to the ages
    /// in it.
    pub fn add_age(&mut self, waited: Duration) {
        add_age_to_lives(&mut self.alive, waited);
    }
}

/// Answer times of one backend server, as observed by one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The backend server.
    pub instance: InstanceId,
    /// Number of answers, in tenths; older ones count less.
    pub answers_tenths: u16,
    /// Sum of the natural logarithms of the ratios between the answer times and the usual ones, in
    /// tenths.
    pub log_sum_tenths: i16,
}

impl PaceReport {
    /// Creates a report of a number of answers and the sum of their logarithms.
    #[must_use]
    pub fn new(instance: InstanceId, answers: f64, log_sum: f64) -> Self {
        let log_sum = (log_sum * 10.0).round().clamp(f64::from(i16::MIN), f64::from(i16::MAX));

        // The value was clamped to the range of the type.
        #[allow(clippy::cast_possible_truncation)]
        let log_sum_tenths = log_sum as i16;
        Self { instance, answers_tenths: tenths(answers), log_sum_tenths }
    }
}

/// Report that a balancer has begun to avoid a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidanceReport {
    /// The backend server.
    pub instance: InstanceId,
    /// Remaining time of the avoidance, in milliseconds.
    pub left_ms: u32,
}

/// Outcomes of requests at one backend server, as observed by one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The backend server.
    pub instance: InstanceId,
    /// Requests with an ordinary answer, in tenths; older ones count less.
    pub answered_tenths: u16,
    /// Poor requests, that is, those without an ordinary answer, in tenths.
    pub poor_tenths: u16,
    /// Expected number of poor requests, judged by the other backend servers of the service, in
    /// tenths.
    pub expected_tenths: u16,
}

impl OutcomeReport {
    /// Creates a report of counted outcomes.
    #[must_use]
    pub fn new(instance: InstanceId, count: &OutcomeCount) -> Self {
        Self {
            instance,
            answered_tenths: tenths(count.answered),
            poor_tenths: tenths(count.poor),
            expected_tenths: tenths(count.expected),
        }
    }

    /// Returns the reported outcomes.
    #[must_use]
    pub fn count(&self) -> OutcomeCount {
        OutcomeCount {
            answered: f64::from(self.answered_tenths) / 10.0,
            poor: f64::from(self.poor_tenths) / 10.0,
            expected: f64::from(self.expected_tenths) / 10.0,
        }
    }
}

/// Returns a count in tenths, saturated at the largest value of the type.
fn tenths(count: f64) -> u16 {
    u16::try_from(fixed_point(count, 10.0)).unwrap_or(u16::MAX)
}

/// Returns a number in units of one divided by `parts_of_one`, saturated at the bounds of the type.
fn fixed_point(number: f64, parts_of_one: f64) -> u32 {
    let parts = (number * parts_of_one).round().clamp(0.0, f64::from(u32::MAX));

    // The value was clamped to the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let parts = parts as u32;
    parts
}

/// When a balancer was last known to follow the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherSighting {
    /// The balancer.
    pub peer: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Time since the store last answered it or, if `is_answered` is `false`, since it tried, in
    /// milliseconds.
    pub age_ms: u32,
    /// Whether the store answers it.
    pub is_answered: bool,
    /// Duration of the call for the last page of a long list that it is reading, in milliseconds;
    /// `None` if it reads no such list.
    pub page_ms: Option<u16>,
}

/// Asks for the index of a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPull {
    /// Version of the sender's configuration.
    pub version: ConfigurationVersion,
}

/// The index of a configuration, or one part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesIndex {
    /// Which part of the index this is; nearly always the only one.
    pub part: MessagePart,
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Digests of its chunks, in the order of their addresses.
    pub digests: Vec<ChunkDigest>,
}

/// Asks for chunks of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunksPull {
    /// Digests of the chunks, at most [`ANSWER_WINDOW`] of them.
    pub digests: Vec<ChunkDigest>,
}

/// Asks for changes of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendsPull {
    /// Changes up to here are known, or were reported in this walk.
    pub after: ChangeCursor,
    /// What the sender of the pull is reading.
    pub scope: WalkScope,
}

/// Place in the order of changes, which are ordered by position and, at one position, by
/// incarnation.
///
/// Several changes may have one position: balancers conclude that backend servers are gone at the
/// position that they have read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// Position of the last change before this place.
    pub position: StorePosition,
    /// Incarnation of that change; the highest one if all changes at the position come before.
    pub instance: InstanceId,
}

impl ChangeCursor {
    /// The place before all changes.
    pub const START: Self = Self::after(StorePosition::START);

    /// Returns the place after all changes at a position.
    #[must_use]
    pub const fn after(position: StorePosition) -> Self {
        Self { position, instance: InstanceId::MAX }
    }

    /// Returns the last position at which all changes come before this place.
    #[must_use]
    pub fn whole_until(self) -> StorePosition {
        if self.instance == InstanceId::MAX { self.position } else { self.position.before() }
    }
}

/// The backend servers that a pull asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WalkScope {
    /// Those that have changed after a position.
    Changes,
    /// All of them, so that those that are missing from the answer are known to be gone.
    Everything,
    /// Those of the tokens that a heartbeat names.
    UnresolvedTokens,
}

/// Number of a datagram among those that belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePart {
    /// Number of this datagram, from 0.
    pub index: u16,
    /// Number of datagrams, at least 1.
    pub count: u16,
}

/// Some of the changes of backend servers after a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendsPart {
    /// Which part of the answer this is.
    pub part: MessagePart,
    /// The scope of the pull that this answers.
    pub scope: WalkScope,
    /// The changes begin here.
    pub after: ChangeCursor,
    /// With this part, all changes up to here have been sent; `None` if no further ones follow.
    pub covers_until: Option<ChangeCursor>,
    /// The sender knows every change up to this position.
    pub complete_until: StorePosition,
    /// The sender knows no change after this position. What it knows between the two positions may
    /// have gaps.
    pub changed_at: StorePosition,
    /// Names of services and availability zones, which the changes refer to by index.
    pub names: Vec<String>,
    /// The changes.
    pub changes: Vec<BackendChange>,
}

/// State of a backend server at a position of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendChange {
    /// The name of its entry.
    pub name: BackendName,
    /// Digest that distinguishes the incarnations of that name.
    pub incarnation_digest: IncarnationDigest,
    /// When that incarnation started, if its entry says so.
    pub born: Option<StartMillis>,
    /// The store's position at the change.
    pub position: StorePosition,
    /// The position of a list that showed the entry after an end of it was reported.
    pub listed_at: Option<StorePosition>,
    /// The entry after the change.
    pub record: BackendRecord,
}

/// The entry of a backend server in messages between balancers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Index of its service in the part's names.
    pub service: u16,
    /// Index of the availability zone of its VM in the part's names.
    pub zone: u16,
    /// Address to which packets for it are sent.
    pub address: SocketAddrV4,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Remaining time of its slow start, in milliseconds; 0 if it is over.
    pub cold_for_ms: u32,
    /// Its phase.
    pub phase: RecordedPhase,
}

/// [`crate::steering::BackendPhase`] without times of the sender's clock, which mean nothing to
/// other balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedPhase {
    /// It takes new flows.
    Ready,
    /// It takes no new flows.
    Draining,
    /// Its entry does not describe a usable backend server.
    Unusable,
    /// Its entry is gone.
    Gone,
    /// Its entry lapsed while it took new flows, so it may return.
    Lapsed {
        /// Time since it lapsed, in milliseconds.
        ago_ms: u32,
    },
}

/// Returns the size of a number in the codec's encoding, which stores seven bits per byte.
pub(super) fn varint_bytes(number: u32) -> usize {
    long_varint_bytes(number.into())
}

/// Returns the size of a 64-bit number in the codec's encoding.
pub(super) fn long_varint_bytes(number: u64) -> usize {
    let bits = usize::try_from(u64::BITS - number.leading_zeros()).unwrap_or(0);

    bits.div_ceil(7).max(1)
}
