//! Decisions and the facts behind them, for logs and counters.

use std::net::SocketAddrV4;
use std::time::Duration;

use valvestage_core::StorePosition;
use valvestage_core::ids::{
    ConfigurationVersion, InstanceId, ServiceName, ShortToken, StoreEra, ZoneName,
};

use crate::steering::admission::admission_shares::AdmissionShares;
use crate::steering::health::outcome_count::OutcomeCount;
use crate::steering::knowledge::backend_entry::BackendPhase;
use crate::steering::knowledge::backend_name::BackendName;
use crate::steering::knowledge::request_class::RoutePriority;
use crate::steering::load::service_load::ServiceLoad;
use crate::steering::packets::caller_packet::{DropReason, FlowAddresses, ResetReason};
use crate::steering::placement::backend_choice::ChoiceDoubt;
use crate::steering::store::store_follower::StoreKind;

/// A decision about a flow, or a change of what the balancer holds to be true.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A new flow was assigned to a backend server.
    Placed(FlowPlacement),
    /// A flow was ended by a reset.
    Reset {
        /// Addresses of the flow that was ended.
        flow: FlowAddresses,
        /// Why the flow was ended.
        reason: ResetReason,
        /// The backend server of the flow; `None` if it had none.
        instance: Option<InstanceId>,
    },
    /// A packet was dropped.
    Dropped(DroppedPacket),
    /// A packet is held back until enough is known to steer it. It is dropped if that takes too
    /// long.
    Held(DroppedPacket),
    /// A backend server is suspected to be dead.
    Suspected {
        /// The suspected backend server.
        instance: InstanceId,
        /// Number of flows that miss an answer.
        flows: usize,
        /// How long the flow that triggered the suspicion has waited for an answer.
        waited: Duration,
    },
    /// A suspected backend server has answered again.
    Cleared {
        /// The backend server that is no longer suspected.
        instance: InstanceId,
    },
    /// Another balancer has seen a sign of life of a suspected backend server, which ends the
    /// suspicion.
    Refuted {
        /// The backend server that is no longer suspected.
        instance: InstanceId,
        /// The balancer that reported the sign of life.
        peer: SocketAddrV4,
        /// Time since the sign of life.
        age: Duration,
    },
    /// A backend server fails a larger share of its requests than the others of its service. It
    /// gets no new flows for a while, unless the others are much busier.
    Avoided {
        /// The avoided backend server.
        instance: InstanceId,
        /// Its requests as counted here and by the balancers that reported counts.
        count: OutcomeCount,
        /// Number of other balancers that reported counts.
        reporting_peers: usize,
        /// How long it is avoided from now on.
        avoided_for: Duration,
    },
    /// This availability zone has begun to send part of the new flows of a service to other zones,
    /// since it is short of slots.
    SpillBegan {
        /// The service whose flows spill over.
        service: ServiceName,
        /// Share of the new flows that go to other zones, from 0 to 1.
        share: f64,
    },
    /// This availability zone no longer sends new flows of a service to other zones.
    SpillEnded {
        /// The service whose flows stay in the zone again.
        service: ServiceName,
    },
    /// A backend server is avoided because another balancer reported that it avoids it.
    AvoidedByPeer {
        /// The avoided backend server.
        instance: InstanceId,
        /// The balancer that reported the avoidance.
        peer: SocketAddrV4,
        /// How much longer the other balancer avoids it.
        left: Duration,
    },
    /// The answers of a backend server take much longer than those of the others of its service
    /// or, if balancers share the pace, than they usually do. It gets fewer new flows.
    Slowed {
        /// The slow backend server.
        instance: InstanceId,
        /// Time of its answers as a multiple of the usual time.
        factor: f64,
        /// Number of answers that this is based on, weighted by age.
        answers: f64,
        /// Number of other balancers that reported some of these answers.
        reporting_peers: usize,
    },
    /// The answers of a backend server that was slow take about as long as those of the others
    /// again.
    Recovered {
        /// The backend server that has recovered.
        instance: InstanceId,
        /// Time of its answers as a multiple of the usual time.
        factor: f64,
        /// Number of answers that this is based on, weighted by age.
        answers: f64,
        /// Number of other balancers that reported some of these answers.
        reporting_peers: usize,
    },
    /// A service has become short of slots, so that admission control begins.
    ShortageBegan(ShortageReport),
    /// The shares of new flows that are admitted during a shortage; at most once per second.
    SharesUpdated(ShortageReport),
    /// A service has slots to spare again, or its load is no longer known: all flows are admitted.
    ShortageEnded(ShortageReport),
    /// A new flow was refused because its service is short of slots.
    Refused(FlowRefusal),
    /// A new configuration is in force.
    RoutesInForce {
        /// Version of the new configuration.
        version: ConfigurationVersion,
        /// Version of the configuration that it replaces.
        former: ConfigurationVersion,
        /// Number of addresses with a route.
        addresses: usize,
        /// Where the configuration came from.
        source: UpdateSource,
    },
    /// The known state of a backend server has changed.
    BackendChanged {
        /// The backend server whose state changed.
        instance: InstanceId,
        /// Position of the store at the change.
        position: StorePosition,
        /// The service that the backend server runs.
        service: ServiceName,
        /// Its new phase.
        phase: BackendPhase,
        /// Where the change came from.
        source: UpdateSource,
    },
    /// Operators have evacuated an availability zone, or ended its evacuation.
    Evacuation {
        /// The zone concerned.
        zone: ZoneName,
        /// Whether the evacuation began or ended.
        phase: EvacuationPhase,
        /// Position of the store up to which evacuations are known.
        position: StorePosition,
        /// Where the change came from.
        source: UpdateSource,
        /// Time since the store last confirmed the previous state; `None` if it never did.
        age: Option<Duration>,
    },
    /// An availability zone whose evacuation has ended gets new flows again.
    ZoneReturned {
        /// The zone that gets new flows again.
        zone: ZoneName,
    },
    /// This balancer has lost contact with the store and all other availability zones, and uses its
    /// own zone even if that is evacuated; or it has contact again.
    Isolated {
        /// Whether contact is lost.
        is_isolated: bool,
    },
    /// The entry of a backend server is missing after an outage of the store. It may be written
    /// again.
    BackendMissing {
        /// The backend server without an entry.
        instance: InstanceId,
    },
    /// The store shows an entry that does not say when its process was born, although the
    /// deployment's processes do. It names no backend server to use.
    BirthMissing {
        /// Name of the entry.
        name: BackendName,
        /// Position of the entry.
        position: StorePosition,
    },
    /// A list of the store has shown the entry of a backend server that was taken for gone.
    EndCorrected {
        /// The backend server, which is live again.
        instance: InstanceId,
        /// Position of the wrong end.
        ended_at: StorePosition,
        /// Position of the list.
        listed_at: StorePosition,
    },
    /// This balancer has begun or ceased to follow the store.
    WatchRole {
        /// Whether it follows the store now.
        is_watching: bool,
        /// Number of other balancers that are known to follow it.
        others: usize,
    },
    /// The store has begun or ceased to answer this balancer.
    StoreLink {
        /// Kind of objects concerned.
        kind: StoreKind,
        /// Whether the store answers.
        answers: bool,
    },
    /// The store answers from another era than before, which means that it was restored from a
    /// backup.
    StoreEra {
        /// Kind of objects concerned.
        kind: StoreKind,
        /// Era of the previous answer.
        former: StoreEra,
        /// Current position of the store.
        position: StorePosition,
    },
    /// The store no longer has the history that a watch asked for.
    HistoryGone {
        /// Kind of objects concerned.
        kind: StoreKind,
        /// Position from which the watch was to continue.
        position: StorePosition,
    },
    /// Another balancer was heard from for the first time.
    PeerFound {
        /// Address of the balancer.
        peer: SocketAddrV4,
    },
    /// A balancer has not been heard from for so long that it counts as lost.
    PeerLost {
        /// Address of the balancer.
        peer: SocketAddrV4,
    },
    /// The knowledge of this balancer may be out of date, or has been confirmed again.
    Certainty {
        /// Whether the store has confirmed the knowledge recently.
        is_certain: bool,
        /// Version of the configuration in force.
        version: ConfigurationVersion,
    },
    /// Another balancer was asked for a newer configuration, or for everything it knows.
    Asked {
        /// The balancer that was asked.
        peer: SocketAddrV4,
        /// Version of the configuration here.
        version: ConfigurationVersion,
        /// Position up to which all changes of backend servers are known here; the start position
        /// asks for everything.
        known_until: StorePosition,
    },
    /// Another balancer was sent an answer of several datagrams.
    Answered {
        /// The balancer that asked.
        peer: SocketAddrV4,
        /// Version of the configuration here.
        version: ConfigurationVersion,
        /// Number of datagrams in the answer.
        datagrams: usize,
    },
    /// An answer of another balancer was not complete in time. The rest may be pulled again.
    AnswerIncomplete(IncompleteAnswer),
    /// It was concluded that backend servers were removed, though no removal of them was read.
    RemovalsConcluded {
        /// Where the knowledge that shows it came from.
        source: UpdateSource,
        /// What shows it.
        removals: ConcludedRemovals,
    },
    /// The process was paused.
    Paused {
        /// Length of the pause.
        time: Duration,
    },
}

/// Where a new flow was placed, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowPlacement {
    /// The flow that was placed.
    pub flow: FlowAddresses,
    /// The service that the flow asked for.
    pub service: ServiceName,
    /// The chosen backend server.
    pub instance: InstanceId,
    /// Availability zone of the chosen backend server.
    pub zone: ZoneName,
    /// The other availability zone that was drawn for the flow, if that of this balancer is too
    /// busy.
    pub drawn_zone: Option<ZoneName>,
    /// Load of the backend server in requests per slot, including the weights for its pace, its
    /// zone and a cold start.
    pub load: f64,
    /// Time of its answers as a multiple of the usual time; at least 1.
    pub pace: f64,
    /// Reason to expect that it may not serve the flow.
    pub doubt: ChoiceDoubt,
    /// Number of backend servers to choose from.
    pub candidates: usize,
    /// Number of backend servers that take new flows but were excluded: not allowed for this
    /// address, or not at present.
    pub excluded: usize,
    /// The backend server that did not answer this flow before, if the packet retransmits the
    /// opening packet.
    pub instead_of: Option<InstanceId>,
    /// Version of the configuration in force.
    pub version: ConfigurationVersion,
    /// Time since the store last confirmed what is known; `None` if it never did.
    pub age: Option<Duration>,
}

/// Load of a service that is, or was, short of slots, and the shares derived from it.
#[derive(Debug, Clone, PartialEq)]
pub struct ShortageReport {
    /// The service.
    pub service: ServiceName,
    /// Its load; empty and not usable if it is not known.
    pub load: ServiceLoad,
    /// The shares in force.
    pub shares: AdmissionShares,
}

/// A refused new flow, and why it was not admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowRefusal {
    /// The flow that was refused.
    pub flow: FlowAddresses,
    /// The service that the flow asked for.
    pub service: ServiceName,
    /// Priority of its route.
    pub priority: RoutePriority,
    /// Share of the flows of this priority and caller that is admitted, from 0 to 1.
    pub share: f64,
    /// Draw of the flow, not below `share`.
    pub draw: f64,
}

/// A packet that was dropped or held back, and what was known at that time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedPacket {
    /// Addresses of the packet's flow.
    pub flow: FlowAddresses,
    /// Why the packet was not forwarded.
    pub reason: DropReason,
    /// The token that the packet carried.
    pub token: ShortToken,
    /// The backend server that the flow was known to have, if any.
    pub instance: Option<InstanceId>,
    /// Position of the store up to which all backend servers were known.
    pub known_until: StorePosition,
    /// Time since the store last confirmed what is known; `None` if it never did.
    pub age: Option<Duration>,
}

/// What arrived of an answer that was not complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteAnswer {
    /// The balancer that answered.
    pub peer: SocketAddrV4,
    /// Kind of objects that the answer was about.
    pub kind: StoreKind,
    /// Version of the configuration, or revision up to which backend servers were reported.
    pub state: u64,
    /// Number of datagrams received that contained something new.
    pub received: usize,
    /// Number of datagrams asked for; 0 if the other balancer decides how many to send.
    pub expected: usize,
    /// Time since the pull was sent.
    pub waited: Duration,
}

/// What shows that backend servers were removed whose removals were not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalBasis {
    /// A list of all backend servers does not contain them.
    AbsentFromList,
    /// A balancer that knows the same changes reports them as gone.
    ReportedGone,
    /// A balancer reports them at a position up to which all backend servers are known here, and
    /// they are not.
    UnknownHere,
}

impl RemovalBasis {
    /// Returns the name of the basis that appears in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::AbsentFromList => "absent_from_list",
            Self::ReportedGone => "reported_gone",
            Self::UnknownHere => "unknown_here",
        }
    }
}

/// Backend servers that were concluded to be removed, or to be missing while they may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcludedRemovals {
    /// What shows the removals.
    pub basis: RemovalBasis,
    /// Position up to which every change is known with the knowledge that shows them.
    pub position: StorePosition,
    /// Number of backend servers, at least 1.
    pub count: usize,
}

/// Whether operators have begun or ended the evacuation of an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationPhase {
    /// The zone is to get no new flows.
    Begun,
    /// The evacuation has ended.
    TakenBack,
}

impl EvacuationPhase {
    /// Returns the name of the phase that appears in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::TakenBack => "taken_back",
        }
    }
}

/// Where a piece of information came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// It was read from the store.
    Store,
    /// Another balancer, with this address, sent it.
    Peer(SocketAddrV4),
}

/// Time that a backend server took to answer, as seen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTime {
    /// The backend server that answered.
    pub instance: InstanceId,
    /// Whether the answer was to an opening packet; otherwise it was to a request.
    pub opening: bool,
    /// Time from the packet to the caller's acknowledgement of the answer.
    pub time: Duration,
}
