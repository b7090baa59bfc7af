//! The RPC interface between balancers.

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{ObjectVersion, ServiceId};
use valvestage_policy::control::{ObjectKey, ObjectValue};
use valvestage_policy::flows::Binding;
use valvestage_policy::membership::HeartbeatMessage;
use valvestage_policy::operations::{DecisionRecord, Subject};
use valvestage_policy::requests::ExportedClaim;

/// A platform object, as balancers pass it on to each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SharedObject {
    /// Version of the object in the platform.
    pub version: ObjectVersion,
    /// Value of the object at that version.
    pub value: ObjectValue,
}

/// RPC service that each balancer offers to the others.
///
/// Each call carries a deadline set by the calling balancer (in tarpc's context). All calls are
/// idempotent.
#[tarpc::service]
pub trait PeerService {
    /// Processes a heartbeat of the calling balancer, and returns one.
    async fn heartbeat(message: HeartbeatMessage) -> HeartbeatMessage;

    /// Returns the latest known version of an object, or `None` if no version is known.
    async fn fetch(key: ObjectKey) -> Option<SharedObject>;

    /// Stores bindings of flows that cannot be derived from the configuration.
    async fn copy_bindings(bindings: Vec<Binding>);

    /// Receives the claims of a service that the calling balancer hands over, and reports whether
    /// they were accepted. They take effect once the owner map names this handover.
    async fn offer_handover(
        service: ServiceId,
        handover: u64,
        claims: Vec<ExportedClaim<Vec<u8>>>,
    ) -> bool;

    /// Returns the decisions about a subject, oldest first.
    async fn decisions(subject: Subject) -> Vec<DecisionRecord>;
}
