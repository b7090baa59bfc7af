//! Deliberate defects that show that each oracle can fail.

use valvestage_policy::steering::PeerMessage;

use crate::events::Millis;
use crate::fault::{
    BROKEN_ENTRY_SEEDS, CALLER_LOSS_SEEDS, FEW_FLOW_SEEDS, JOIN_SEEDS, LATE_PROCESSOR_SEEDS,
    NEW_ROUTE_SEEDS, RESTING_FLOW_SEEDS, UPLINK_LOSS_SEEDS,
};
use crate::oracles::Oracle;

/// A defect between the policy and the simulated deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Some packets of open flows are answered with resets.
    ResetFlows,
    /// Packets of some open flows are dropped.
    DropOpenFlows,
    /// Some opening packets go to the other service.
    MixServices,
    /// The store shows draining backend servers as ready.
    HideDrains,
    /// Entries hide the incarnation of their backend servers.
    HideBirths,
    /// The store does not show evacuations.
    HideEvacuations,
    /// The store shows no backend server as cold.
    HideCold,
    /// Balancers receive no configuration from their peers, and their own watches report none.
    MissRoutes,
    /// Balancers return to an older configuration.
    RevertRoutes,
    /// Balancers do not learn of backend servers from their peers.
    MissBackends,
    /// Balancers do not learn from their peers who follows the store.
    HideFollowers,
    /// Each message is sent ten times.
    RepeatMessages,
    /// Balancers reset flows that have rested for [`RESTED`].
    ResetRestedFlows,
    /// A retransmission of a caller whose link loses datagrams resets the other flows at its
    /// backend server.
    BlameBackend,
    /// A balancer that has just joined resets open flows on routes that were just added.
    ResetOnNewRoutes,
    /// The store deletes an entry that another writer left with a broken field.
    DeleteBrokenEntries,
    /// Packets that waited while a balancer got no processor time are answered with resets.
    ResetLatePackets,
    /// Balancers that have joined hear of no configuration that comes after.
    MissRoutesOnceJoined,
    /// The first packet of a flow that has rested for [`RESTED`] is answered with a reset.
    ResetReturningFlows,
    /// Queries that are lost on the link of their sender are acknowledged all the same.
    AcknowledgeLostQueries,
}

/// How long the flows have rested that mutations reset.
pub const RESTED: Millis = 5_000;

impl Mutation {
    /// Each mutation, with the oracle that must detect it.
    pub const ALL: [(Self, Oracle); 12] = [
        (Self::ResetFlows, Oracle::LivingFlowsStay),
        (Self::DropOpenFlows, Oracle::OpenFlowsGoOn),
        (Self::MixServices, Oracle::RightService),
        (Self::HideDrains, Oracle::DrainsAreKept),
        (Self::HideBirths, Oracle::BirthsAreKnown),
        (Self::HideEvacuations, Oracle::EvacuationsAreKept),
        (Self::HideCold, Oracle::ColdRatesAreKept),
        (Self::MissRoutes, Oracle::RoutesInTime),
        (Self::RevertRoutes, Oracle::RoutesStay),
        (Self::MissBackends, Oracle::KnowledgeConverges),
        (Self::HideFollowers, Oracle::FewFollowers),
        (Self::RepeatMessages, Oracle::FewMessages),
    ];

    /// The mutations of the series with resting flows: each with the oracle that must detect it, and
    /// the first seed of the series that draws the circumstances of the defect.
    pub const OF_FLOW_SERIES: [(Self, Oracle, u64); 8] = [
        (Self::ResetRestedFlows, Oracle::RestingFlowsStay, RESTING_FLOW_SEEDS),
        (Self::BlameBackend, Oracle::RestingFlowsStay, CALLER_LOSS_SEEDS),
        (Self::ResetOnNewRoutes, Oracle::RestingFlowsStay, NEW_ROUTE_SEEDS),
        (Self::DeleteBrokenEntries, Oracle::RestingFlowsStay, BROKEN_ENTRY_SEEDS),
        (Self::ResetLatePackets, Oracle::RestingFlowsStay, LATE_PROCESSOR_SEEDS),
        (Self::MissRoutesOnceJoined, Oracle::RoutesInTime, JOIN_SEEDS),
        (Self::ResetReturningFlows, Oracle::RestingFlowsStay, FEW_FLOW_SEEDS),
        (Self::AcknowledgeLostQueries, Oracle::RestingFlowsStay, UPLINK_LOSS_SEEDS),
    ];

    /// Returns the message as it arrives under this mutation; None if it is lost.
    pub fn on_message(self, message: PeerMessage) -> Option<PeerMessage> {
        match (self, message) {
            (Self::MissRoutes, PeerMessage::RoutesIndex(_))
            | (Self::MissBackends, PeerMessage::Backends(_)) => None,
            (Self::HideFollowers, PeerMessage::Heartbeat(mut heartbeat)) => {
                heartbeat.watchers.clear();
                Some(PeerMessage::Heartbeat(heartbeat))
            }
            (_, message) => Some(message),
        }
    }
}
