//! Commands and queries that the control thread sends to the decide thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;
use valvestage_core::Configuration;
use valvestage_core::ids::{BackendId, BalancerId, ServiceId};
use valvestage_policy::control::{LeaseGrant, OwnerMap};
use valvestage_policy::flows::{Binding, ConfigurationHistory, TokenKeys};
use valvestage_policy::membership::LiveView;
use valvestage_policy::operations::{DecisionRecord, Subject};
use valvestage_policy::requests::{ExportedClaim, ServiceLoad};

/// Payload of a datagram, which the balancer forwards without interpreting it.
pub type Payload = Vec<u8>;

/// Point-in-time snapshot of the data path.
#[derive(Debug, Clone, Default)]
pub struct DataSnapshot {
    /// Version of the installed configuration.
    pub configuration: u64,
    /// Number of flows in the flow table.
    pub flows: u64,
    /// Memory allocated by the flow table, in bytes.
    pub flow_table_bytes: u64,
    /// Number of flows in the table, by backend server.
    pub flows_by_backend: BTreeMap<BackendId, u64>,
    /// Load of each service, as counted by this balancer.
    pub loads: BTreeMap<ServiceId, ServiceLoad>,
    /// Number of requests without a final answer.
    pub open_work: usize,
}

/// Inputs for finding the bindings that have to be copied to other balancers.
#[derive(Debug)]
pub struct FlowBindings {
    /// All bindings in the flow table.
    pub bindings: Vec<Binding>,
    /// The known configuration versions.
    pub history: ConfigurationHistory,
    /// The live balancers.
    pub view: LiveView,
}

/// Message from the control thread to the decide thread.
#[derive(Debug)]
pub enum Command {
    /// Install a configuration.
    InstallConfiguration(Arc<Configuration>),
    /// Install the map of service owners.
    InstallOwnerMap(Arc<OwnerMap>),
    /// Install the keys that sign and verify flow tokens.
    InstallKeys(TokenKeys),
    /// Install the set of live balancers, and the data addresses of all other known ones.
    InstallView {
        /// The live balancers.
        view: LiveView,
        /// Data addresses of all other known balancers, dead ones included.
        addresses: BTreeMap<BalancerId, SocketAddr>,
    },
    /// Install the current lease; `None` if this balancer holds none.
    InstallGrant(Option<LeaseGrant>),
    /// Add bindings that another balancer has copied to this one.
    AddBindings(Vec<Binding>),
    /// Return all bindings of the flow table.
    ListBindings(oneshot::Sender<FlowBindings>),
    /// Hold back new work of a service and return its claims, so that they can be handed over.
    StartHandover {
        /// The service to hand over.
        service: ServiceId,
        /// Receives the claims.
        reply: oneshot::Sender<Vec<ExportedClaim<Payload>>>,
    },
    /// Release the work held back, after a handover has succeeded or failed.
    SettleHandover {
        /// The service that was offered.
        service: ServiceId,
        /// Whether the service has moved to the next owner.
        moved: bool,
    },
    /// Store claims that the current owner of a service hands over to this balancer.
    OfferHandover {
        /// The service that is handed over.
        service: ServiceId,
        /// Identifier of the handover.
        handover: u64,
        /// The claims of the service.
        claims: Vec<ExportedClaim<Payload>>,
    },
    /// Return a snapshot of the data path.
    TakeSnapshot(oneshot::Sender<DataSnapshot>),
    /// Stop the decide thread.
    Stop,
    /// Return the recorded decisions about a subject.
    ListDecisions {
        /// The subject of the decisions.
        subject: Subject,
        /// Receives the decisions.
        reply: oneshot::Sender<Vec<DecisionRecord>>,
    },
}
