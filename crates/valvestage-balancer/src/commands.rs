//! What control tells the decide thread, and asks of it.

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

/// `Payload` is the opaque part of a datagram.
pub type Payload = Vec<u8>;

/// `DataSnapshot` is the state of the data path at one moment.
#[derive(Debug, Clone, Default)]
pub struct DataSnapshot {
    /// Configuration version in force.
    pub configuration: u64,
    /// Flows in the table.
    pub flows: u64,
    /// Memory of the table, bytes.
    pub flow_table_bytes: u64,
    /// Flows by backend server.
    pub flows_by_backend: BTreeMap<BackendId, u64>,
    /// Load by service, as counted here.
    pub loads: BTreeMap<ServiceId, ServiceLoad>,
    /// Requests without a final answer.
    pub open_work: usize,
}

/// `FlowBindings` is what is needed to find the bindings to copy.
#[derive(Debug)]
pub struct FlowBindings {
    /// All bindings of the table.
    pub bindings: Vec<Binding>,
    /// The configuration versions known.
    pub history: ConfigurationHistory,
    /// The live balancers.
    pub view: LiveView,
}

/// `Command` is one message from control to the decide thread.
#[derive(Debug)]
pub enum Command {
    /// Put a configuration in force.
    InstallConfiguration(Arc<Configuration>),
    /// Take the owners of services.
    InstallOwnerMap(Arc<OwnerMap>),
    /// Take token keys.
    InstallKeys(TokenKeys),
    /// Take the live balancers, and the data addresses of all that answer.
    InstallView {
        /// The live balancers.
        view: LiveView,
        /// Data addresses of the other balancers.
        addresses: BTreeMap<BalancerId, SocketAddr>,
    },
    /// Take the present lease, or that there is none.
    InstallGrant(Option<LeaseGrant>),
    /// Take bindings that another balancer copied.
    AddBindings(Vec<Binding>),
    /// Give all bindings.
    ListBindings(oneshot::Sender<FlowBindings>),
    /// Hold a service's new work back and give its claims.
    StartHandover {
        /// The service.
        service: ServiceId,
        /// Where the claims go.
        reply: oneshot::Sender<Vec<ExportedClaim<Payload>>>,
    },
    /// Go on after a handover.
    SettleHandover {
        /// The service.
        service: ServiceId,
        /// Whether the next owner has it.
        moved: bool,
    },
    /// Take claims that the present owner hands over.
    OfferHandover {
        /// The service.
        service: ServiceId,
        /// Names the handover.
        handover: u64,
        /// The claims.
        claims: Vec<ExportedClaim<Payload>>,
    },
    /// Give the present state.
    TakeSnapshot(oneshot::Sender<DataSnapshot>),
    /// End the decide thread.
    Stop,
    /// Give the decisions about a subject.
    ListDecisions {
        /// The subject.
        subject: Subject,
        /// Where they go.
        reply: oneshot::Sender<Vec<DecisionRecord>>,
    },
}
