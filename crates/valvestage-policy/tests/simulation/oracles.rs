//! The promises that oracles check, and their bounds.

use crate::events::Millis;

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Oracle {
    /// A balancer resets no flow that its running backend server answered within
    /// [`ANSWERED_WITHIN`].
    LivingFlowsStay,
    /// A balancer resets no open flow that the rules do not excuse, however long it has rested.
    RestingFlowsStay,
    /// A balancer does not repeatedly drop packets of an open flow whose backend server is running.
    OpenFlowsGoOn,
    /// No flow opens at a service that no configuration ever allowed for its address.
    RightService,
    /// A draining backend server gets no opening packets once `KNOWN_WITHIN` has passed.
    DrainsAreKept,
    /// A new incarnation of a backend server is known within `KNOWN_WITHIN`.
    BirthsAreKnown,
    /// An evacuated zone gets no opening packets once `KNOWN_WITHIN` has passed.
    EvacuationsAreKept,
    /// A cold backend server gets no more opening packets in any second than its limit allows.
    ColdRatesAreKept,
    /// A configuration is in force within `KNOWN_WITHIN` of its acknowledgement.
    RoutesInTime,
    /// A configuration is never replaced by an older one.
    RoutesStay,
    /// Some seconds after the last fault, every balancer's knowledge agrees with the store.
    KnowledgeConverges,
    /// Few balancers follow the store, and make few calls.
    FewFollowers,
    /// The number of messages between balancers stays bounded.
    FewMessages,
}

impl Oracle {
    pub const ALL: [Self; 13] = [
        Self::LivingFlowsStay,
        Self::RestingFlowsStay,
        Self::OpenFlowsGoOn,
        Self::RightService,
        Self::DrainsAreKept,
        Self::BirthsAreKnown,
        Self::EvacuationsAreKept,
        Self::ColdRatesAreKept,
        Self::RoutesInTime,
        Self::RoutesStay,
        Self::KnowledgeConverges,
        Self::FewFollowers,
        Self::FewMessages,
    ];
}

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub oracle: Oracle,
    pub at: Millis,
    pub what: String,
}

/// A flow counts as live if its backend server answered on it within this time.
pub const ANSWERED_WITHIN: Millis = 1_500;

/// The rules excuse the reset of an open flow for this time after a disruption.
pub const CONTACT_TIME: Millis = 4_000;

/// Number of packets of one request that balancers may drop.
pub const DROPS_ALLOWED: u32 = 2;

/// Time since the last fault of a balancer or of the store after which the time bounds apply to it.
pub const CALM_AFTER: Millis = 4_000;

/// Time within which balancers have to know a configuration, a drain, a new incarnation or an
/// evacuation.
pub const KNOWN_WITHIN: Millis = 3_000;

/// Most balancers that may follow the store at the end.
pub const MAX_FOLLOWERS: usize = 3;

/// Most calls to the store in the last five seconds: two followers with a watch of at least 0.75 s
/// for each kind of object, and another balancer that starts or stops following.
pub const MAX_CALLS: usize = 45;

/// Most messages of one balancer in the last five seconds: four heartbeats every 400 ms, and twice
/// as many for a balancer that answers requests.
pub const MAX_MESSAGES_EACH: usize = 110;
