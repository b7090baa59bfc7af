//! What balancers tell each other, one message a datagram.
//!
//! Heartbeats say how much a balancer knows; one that knows less asks for the rest. Everything told
//! carries a version or a revision of the store, and only what is newer is taken, so messages may be
//! lost, doubled or late. They are not authenticated: the settings hold no secret, and one from the
//! store could not be had while the store is away, which is when peers matter most. Addresses of
//! balancers are reached from the deployment's own network only, and a message can add nothing that
//! the backend server named by it would not check for itself.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use valvestage_core::StorePosition;
use valvestage_core::ids::{ConfigurationVersion, InstanceId, ShortToken, ZoneName};

use super::route_chunk::{ChunkDigest, RouteChunk};
use crate::steering::health::outcome_count::OutcomeCount;
use crate::steering::knowledge::backend_directory::LivingDigest;
use crate::steering::knowledge::backend_name::{BackendName, BirthDigest};
use crate::steering::knowledge::evacuated_zones::EvacuationReport;

/// Bytes of data in one datagram at most, so that none is cut into fragments on an Ethernet link.
pub const MAX_MESSAGE_BYTES: usize = 1_400;

/// Datagrams of one answer at most. 22 KB take 18 ms on a link of 10 Mbit/s, and two answers at once fit into a
/// queue of 64 KB. With 8, the 63 chunks of a configuration of 4,245 addresses take eight questions in place of four.
pub const ANSWER_WINDOW: usize = 16;

/// `PeerMessage` is one message between balancers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// How much the sender knows.
    Heartbeat(PeerHeartbeat),
    /// Asks what a newer configuration consists of.
    RoutesPull(RoutesPull),
    /// What a configuration consists of.
    RoutesIndex(RoutesIndex),
    /// Asks for some of it.
    ChunksPull(ChunksPull),
    /// Some of a configuration.
    RoutesChunk(RouteChunk),
    /// Asks for changes of backend servers.
    BackendsPull(BackendsPull),
    /// Some backend servers.
    Backends(BackendsPart),
}

impl PeerMessage {
    /// `bytes` gives how many bytes it takes on a link: about as many for parts of a configuration, which are seldom full, and at
    /// most for the others.
    #[must_use]
    pub fn bytes(&self) -> usize {
        /// Bytes of the heads of a datagram, and of what stands before a chunk.
        const HEAD_BYTES: usize = 60;

        match self {
            Self::RoutesIndex(index) => {
                (HEAD_BYTES + size_of_val(index.digests.as_slice())).min(MAX_MESSAGE_BYTES)
            }
            Self::RoutesChunk(chunk) => (HEAD_BYTES + chunk.bytes()).min(MAX_MESSAGE_BYTES),
            _ => MAX_MESSAGE_BYTES,
        }
    }
}

/// `PeerHeartbeat` says how much its sender knows, and of whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Whether one that knows more is to answer at once. An answer never asks, so that two balancers
    /// that each know something the other does not are not caught in answering each other.
    pub asks: bool,
    /// Version of its configuration.
    pub version: ConfigurationVersion,
    /// Up to which revision it knows every change of backend servers.
    pub complete_until: StorePosition,
    /// Revision of the last change that it knows.
    pub changed_at: StorePosition,
    /// Where the store stood when it was first listed in its present era.
    pub era_head: StorePosition,
    /// Which backend servers it believes in.
    pub living: LivingDigest,
    /// How long ago the store confirmed all this, milliseconds; at the sender or before it.
    pub age_ms: u32,
    /// How long ago the store last failed to answer the sender, or one that it heard of,
    /// milliseconds.
    pub outage_age_ms: u32,
    /// Balancers that follow the store, the sender among them if it does.
    pub watchers: Vec<WatcherSighting>,
    /// Some balancers that it has heard.
    pub peers: Vec<SocketAddrV4>,
    /// What it has seen of backend servers.
    pub health: HealthReport,
    /// The availability zones that operators have evacuated; none: that is not known, or they do not do so here.
    pub evacuations: Option<EvacuationReport>,
    /// What its callers ask of the services that are asked most; none: it does not say.
    pub demands: Option<Vec<ServiceDemand>>,
    /// Tokens of flows whose backend servers it does not know; whoever does tells them.
    pub wanted: Vec<ShortToken>,
}

impl PeerHeartbeat {
    /// `grow_older` takes in that it waited to be read, for so long at most: confirmations of the store that it tells of are older
    /// by that. Told on as fresh, they would keep all others from noticing that nobody is answered any more. How long ago an
    /// outage was stays: to take it for a later one does no harm.
    pub fn grow_older(&mut self, waited: Duration) {
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);

        self.age_ms = self.age_ms.saturating_add(waited_ms);
        for sighting in &mut self.watchers {
            sighting.age_ms = sighting.age_ms.saturating_add(waited_ms);
        }
    }
}

/// `ServiceDigest` is a number for a service, the same at every balancer.
pub type ServiceDigest = u32;

/// `ServiceDemand` is what the callers of one balancer ask of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceDigest,
    /// Requests under way, averaged over a second, in hundredths.
    pub busy_hundredths: u32,
}

impl ServiceDemand {
    /// `new` reports an average.
    #[must_use]
    pub fn new(service: ServiceDigest, busy: f64) -> Self {
        Self { service, busy_hundredths: parts(busy, 100.0) }
    }

    /// `busy` gives what was reported.
    #[must_use]
    pub fn busy(&self) -> f64 {
        f64::from(self.busy_hundredths) / 100.0
    }
}

/// `BalancerReport` is what a balancer tells others of what it sees.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BalancerReport {
    /// Backend servers in trouble.
    pub health: HealthReport,
    /// What its callers ask for.
    pub demands: Vec<ServiceDemand>,
    /// Tokens of flows whose backend servers it does not know.
    pub wanted: Vec<ShortToken>,
}

/// `HealthReport` is what one balancer has seen of backend servers in trouble.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Those that seem dead.
    pub suspects: Vec<InstanceId>,
    /// How requests ended at those that seem to fail more of them than others.
    pub outcomes: Vec<OutcomeReport>,
    /// Those that it has begun to avoid by itself.
    pub avoided: Vec<AvoidanceReport>,
}

/// `AvoidanceReport` tells that a balancer has begun to avoid a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidanceReport {
    /// The backend server.
    pub instance: InstanceId,
    /// For how long from now, milliseconds.
    pub left_ms: u32,
}

/// `OutcomeReport` is how requests ended at one backend server, as one balancer saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The backend server.
    pub instance: InstanceId,
    /// Requests with an ordinary answer, in tenths: older ones count less.
    pub answered_tenths: u16,
    /// The others, in tenths.
    pub poor_tenths: u16,
    /// How many of them were expected by the other backend servers of the service, in tenths.
    pub expected_tenths: u16,
}

impl OutcomeReport {
    /// `new` reports a count.
    #[must_use]
    pub fn new(instance: InstanceId, count: &OutcomeCount) -> Self {
        Self {
            instance,
            answered_tenths: tenths(count.answered),
            poor_tenths: tenths(count.poor),
            expected_tenths: tenths(count.expected),
        }
    }

    /// `count` gives what was reported.
    #[must_use]
    pub fn count(&self) -> OutcomeCount {
        OutcomeCount {
            answered: f64::from(self.answered_tenths) / 10.0,
            poor: f64::from(self.poor_tenths) / 10.0,
            expected: f64::from(self.expected_tenths) / 10.0,
        }
    }
}

/// A count in tenths; one too large for the field is the largest.
fn tenths(count: f64) -> u16 {
    u16::try_from(parts(count, 10.0)).unwrap_or(u16::MAX)
}

/// A number in so many parts of one; one too large for the type is the largest.
fn parts(number: f64, parts_of_one: f64) -> u32 {
    let parts = (number * parts_of_one).round().clamp(0.0, f64::from(u32::MAX));

    // Within the range of the type, as just made sure.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let parts = parts as u32;
    parts
}

/// `WatcherSighting` says when a balancer was last known to follow the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherSighting {
    /// The balancer.
    pub peer: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How long ago the store answered it, or else it was trying, milliseconds.
    pub age_ms: u32,
    /// Whether the store answers it.
    pub is_answered: bool,
    /// How long the last page took of a long list that it is reading, milliseconds; none: it reads no such list.
    pub page_ms: Option<u16>,
}

/// `RoutesPull` asks what a newer configuration consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPull {
    /// Version of the sender's configuration.
    pub version: ConfigurationVersion,
}

/// `RoutesIndex` is what a configuration consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesIndex {
    /// Which part of it; nearly always the only one.
    pub part: MessagePart,
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Silence after which a flow may be forgotten, milliseconds.
    pub idle_timeout_ms: u64,
    /// Its chunks, in the order of their addresses.
    pub digests: Vec<ChunkDigest>,
}

/// `ChunksPull` asks for chunks of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunksPull {
    /// [`ANSWER_WINDOW`] of them at most.
    pub digests: Vec<ChunkDigest>,
}

/// `BackendsPull` asks for changes of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendsPull {
    /// Changes up to this revision are known, or were told in this walk.
    pub after: StorePosition,
    /// What the sender is reading.
    pub scope: WalkScope,
}

/// `WalkScope` is what one that asks for backend servers needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WalkScope {
    /// What has changed after a revision.
    Changes,
    /// All that there is, so that what is not there is known to be gone.
    Everything,
    /// Those whose tokens its heartbeat names.
    Wanted,
}

/// `MessagePart` counts the datagrams that belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePart {
    /// Number of this one, from 0.
    pub index: u16,
    /// How many there are; at least 1.
    pub count: u16,
}

/// `BackendsPart` is some of the changes of backend servers after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendsPart {
    /// Which part of one answer.
    pub part: MessagePart,
    /// What is being read.
    pub scope: WalkScope,
    /// The changes begin after this revision.
    pub after: StorePosition,
    /// They go up to this revision; none: nothing follows them.
    pub told_until: Option<StorePosition>,
    /// Every change up to this revision is known to the sender.
    pub complete_until: StorePosition,
    /// Names of services and availability zones; the changes have their places in this list.
    pub names: Vec<String>,
    /// The changes.
    pub changes: Vec<BackendChange>,
}

/// `BackendChange` is what a backend server was at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendChange {
    /// The name of its entry.
    pub name: BackendName,
    /// Which incarnation of that name.
    pub birth: BirthDigest,
    /// The store's revision at the change.
    pub position: StorePosition,
    /// What it was then.
    pub record: BackendRecord,
}

/// `BackendRecord` is the entry of a backend server as balancers tell it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Place of the service that it runs in the part's names.
    pub service: u16,
    /// Place of the availability zone of its VM in the part's names.
    pub zone: u16,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How much longer it is slow from its start, milliseconds.
    pub cold_for_ms: u32,
    /// Where it stands.
    pub standing: BackendStanding,
}

/// `BackendStanding` is [`crate::steering::BackendPhase`] without a time of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendStanding {
    /// It takes new flows.
    Ready,
    /// It takes no new ones.
    Draining,
    /// Its entry names no backend server to use.
    Unusable,
    /// Its entry is gone.
    Gone,
    /// Its entry went while it took new flows, so long ago: it may return.
    Lapsed {
        /// Milliseconds.
        ago_ms: u32,
    },
}
