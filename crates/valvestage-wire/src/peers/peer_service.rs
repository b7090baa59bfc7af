//! The calls between balancers.

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{ObjectVersion, ServiceId};
use valvestage_policy::control::{ObjectKey, ObjectValue};
use valvestage_policy::flows::Binding;
use valvestage_policy::membership::HeartbeatMessage;
use valvestage_policy::operations::{DecisionRecord, Subject};
use valvestage_policy::requests::ExportedClaim;

/// `SharedObject` is a platform object as balancers pass it on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SharedObject {
    /// Its version in the platform.
    pub version: ObjectVersion,
    /// Its value.
    pub value: ObjectValue,
}

/// `PeerService` is what a balancer answers to other balancers.
///
/// Each call carries a deadline of the caller (tarpc's context). All calls are idempotent.
#[tarpc::service]
pub trait PeerService {
    /// Takes a heartbeat in, and gives one in return.
    async fn heartbeat(message: HeartbeatMessage) -> HeartbeatMessage;

    /// Gives the latest known version of an object, if any is known.
    async fn fetch(key: ObjectKey) -> Option<SharedObject>;

    /// Takes in bindings of flows that do not follow from the configuration.
    async fn copy_bindings(bindings: Vec<Binding>);

    /// Takes in the claims of a service that the caller hands over; they count once the owner map
    /// names this handover. Gives whether they were taken.
    async fn offer_handover(
        service: ServiceId,
        handover: u64,
        claims: Vec<ExportedClaim<Vec<u8>>>,
    ) -> bool;

    /// Gives the decisions about a subject, oldest first.
    async fn decisions(subject: Subject) -> Vec<DecisionRecord>;
}
