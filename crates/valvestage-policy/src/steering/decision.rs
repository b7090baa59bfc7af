//! What was decided, and from what: for logs and counters.

use std::net::SocketAddrV4;
use std::time::Duration;

use valvestage_core::StorePosition;
use valvestage_core::ids::{
    ConfigurationVersion, InstanceId, ServiceName, ShortToken, StoreEra, ZoneName,
};

use crate::steering::health::outcome_count::OutcomeCount;
use crate::steering::knowledge::backend_entry::BackendPhase;
use crate::steering::packets::caller_packet::{DropReason, FlowAddresses, ResetReason};
use crate::steering::placement::backend_choice::ChoiceDoubt;
use crate::steering::store::store_follower::StoreKind;

/// `Decision` is one thing that was decided about a flow, or that is believed from now on.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A new flow goes to a backend server.
    Placed(FlowPlacement),
    /// A flow was ended.
    Reset {
        /// The flow.
        flow: FlowAddresses,
        /// Why.
        reason: ResetReason,
        /// Its backend server, if it had one.
        instance: Option<InstanceId>,
    },
    /// A packet was dropped.
    Dropped(DroppedPacket),
    /// A packet waits until enough is known; it is dropped if that takes too long.
    Held(DroppedPacket),
    /// A backend server seems dead.
    Suspected {
        /// The backend server.
        instance: InstanceId,
        /// How many flows miss an answer.
        flows: usize,
        /// For how long the longest has waited.
        waited: Duration,
    },
    /// A backend server that seemed dead has answered.
    Cleared {
        /// The backend server.
        instance: InstanceId,
    },
    /// A backend server fails more of its requests than others: it gets no new flows for a time,
    /// unless the others are much busier.
    Avoided {
        /// The backend server.
        instance: InstanceId,
        /// Its requests, here and at the balancers that told theirs.
        count: OutcomeCount,
        /// How many balancers told theirs.
        told_by: usize,
        /// For how long.
        avoided_for: Duration,
    },
    /// This availability zone began to give new flows of a service away, for want of slots.
    SpillBegan {
        /// The service.
        service: ServiceName,
        /// Share of its flows.
        share: f64,
    },
    /// It ceased to.
    SpillEnded {
        /// The service.
        service: ServiceName,
    },
    /// The same, on the word of another balancer.
    AvoidedAsTold {
        /// The backend server.
        instance: InstanceId,
        /// The balancer that has seen more of it.
        peer: SocketAddrV4,
        /// For how long.
        left: Duration,
    },
    /// A backend server takes much longer than the others of its service: its requests weigh that much
    /// more.
    Slowed {
        /// The backend server.
        instance: InstanceId,
        /// How many times as long as the median of them its answers take.
        factor: f64,
        /// By how many answers, old ones counting less.
        answers: f64,
    },
    /// A backend server that was slow takes about as long as the others again.
    Recovered {
        /// The backend server.
        instance: InstanceId,
        /// How many times as long as the median of them its answers take.
        factor: f64,
    },
    /// A configuration is in force.
    RoutesInForce {
        /// Its version.
        version: ConfigurationVersion,
        /// The version before.
        former: ConfigurationVersion,
        /// How many addresses it has.
        addresses: usize,
        /// Who told of it.
        source: NewsSource,
    },
    /// Something else is believed of a backend server.
    BackendChanged {
        /// The backend server.
        instance: InstanceId,
        /// The store's position at the change.
        position: StorePosition,
        /// The service that it runs.
        service: ServiceName,
        /// Where it stands now.
        phase: BackendPhase,
        /// Who told of it.
        source: NewsSource,
    },
    /// An availability zone is evacuated, or taken back.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// What happened to it.
        phase: EvacuationPhase,
        /// The store's position up to which this is known.
        position: StorePosition,
        /// Who told of it.
        source: NewsSource,
        /// How long ago the store confirmed what was known before.
        age: Option<Duration>,
    },
    /// An availability zone that was taken back gets new flows again.
    ZoneReturned {
        /// The zone.
        zone: ZoneName,
    },
    /// This balancer hears no other availability zone and not of the store: it uses its own zone although that is evacuated;
    /// or hears of them again.
    Isolated {
        /// Whether it is so now.
        is_isolated: bool,
    },
    /// The entry of a backend server is missing after an outage of the store, and may return.
    BackendMissing {
        /// The backend server.
        instance: InstanceId,
    },
    /// This balancer begins or ceases to follow the store.
    WatchRole {
        /// Whether it follows the store now.
        watching: bool,
        /// How many others are known to.
        others: usize,
    },
    /// The store answers this balancer again, or does not any more.
    StoreLink {
        /// For which kind of objects.
        kind: StoreKind,
        /// Whether it answers.
        answers: bool,
    },
    /// The store answers from another era than before: it was restored from an older copy.
    StoreEra {
        /// For which kind of objects.
        kind: StoreKind,
        /// The era of the answer before.
        former: StoreEra,
        /// Where the store stands now.
        position: StorePosition,
    },
    /// The store does not have the history that a watch asked for.
    HistoryGone {
        /// For which kind of objects.
        kind: StoreKind,
        /// The position that the watch was to go on from.
        position: StorePosition,
    },
    /// Another balancer was heard for the first time.
    PeerFound {
        /// Its address.
        peer: SocketAddrV4,
    },
    /// Nothing was heard of a balancer for long.
    PeerLost {
        /// Its address.
        peer: SocketAddrV4,
    },
    /// What is known may be out of date, or is confirmed again.
    Certainty {
        /// Whether the store has confirmed it lately.
        is_certain: bool,
        /// Version of the configuration in force.
        version: ConfigurationVersion,
    },
    /// Another balancer is asked for a newer configuration, or for all that it knows.
    Asked {
        /// The other balancer.
        peer: SocketAddrV4,
        /// Version of the configuration here.
        version: ConfigurationVersion,
        /// Up to which position every change of backend servers is known here; the start: all is asked for.
        known_until: StorePosition,
    },
    /// An answer of several datagrams to another balancer.
    Answered {
        /// The other balancer.
        peer: SocketAddrV4,
        /// Version of the configuration here.
        version: ConfigurationVersion,
        /// How many datagrams.
        datagrams: usize,
    },
    /// An answer of another balancer did not come whole in time; the rest is asked for again.
    AnswerIncomplete(IncompleteAnswer),
    /// The process stood still for a time.
    Paused {
        /// For how long.
        time: Duration,
    },
}

/// `FlowPlacement` is where a new flow goes, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowPlacement {
    /// The flow.
    pub flow: FlowAddresses,
    /// The service.
    pub service: ServiceName,
    /// The backend server.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Another availability zone that was drawn for the flow, since that of this balancer is too busy.
    pub drawn_zone: Option<ZoneName>,
    /// Its load in requests a slot, with what its pace, its zone and a cold start add.
    pub load: f64,
    /// How many times as long as those of the others its answers take; 1 at least.
    pub pace: f64,
    /// What speaks against it.
    pub doubt: ChoiceDoubt,
    /// How many could have been chosen.
    pub candidates: usize,
    /// How many more take new flows, but not of this address, or not now.
    pub left_out: usize,
    /// The one that showed no life before, if this is a copy of the opening packet.
    pub instead_of: Option<InstanceId>,
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// How long ago the store confirmed what is known.
    pub age: Option<Duration>,
}

/// `DroppedPacket` is a packet that went nowhere, and what was known then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedPacket {
    /// The flow.
    pub flow: FlowAddresses,
    /// Why.
    pub reason: DropReason,
    /// The token that the packet had.
    pub token: ShortToken,
    /// The backend server that the flow was known to have, if any.
    pub instance: Option<InstanceId>,
    /// The store's position up to which all backend servers were known.
    pub known_until: StorePosition,
    /// How long ago the store confirmed what is known.
    pub age: Option<Duration>,
}

/// `IncompleteAnswer` is what came of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteAnswer {
    /// The balancer that answered.
    pub peer: SocketAddrV4,
    /// What the answer was about.
    pub kind: StoreKind,
    /// Version of the configuration, or revision up to which backend servers were told.
    pub state: u64,
    /// How many datagrams came that had something new.
    pub came: usize,
    /// How many were asked for; 0: that is for the other balancer to say.
    pub expected: usize,
    /// Time since the question.
    pub waited: Duration,
}

/// `EvacuationPhase` is what operators have done about an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationPhase {
    /// It is to get no new flows.
    Begun,
    /// It was taken back.
    TakenBack,
}

impl EvacuationPhase {
    /// `name` gives the phase as logs have it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::TakenBack => "taken_back",
        }
    }
}

/// `NewsSource` is who told of something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsSource {
    /// The store.
    Store,
    /// Another balancer.
    Peer(SocketAddrV4),
}

/// `AnswerTime` is how long a backend server took to answer, as a caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTime {
    /// The backend server.
    pub instance: InstanceId,
    /// Whether it answered an opening packet; otherwise a request.
    pub opening: bool,
    /// From the packet to the caller's acknowledgement of the answer.
    pub time: Duration,
}
