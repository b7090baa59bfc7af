//! Messages of the operators' API, as JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/bootstrap` | first configuration from a deployment file: [`ConfirmResult`] |
//! | `POST /v1/plans` | an `Intent`: the `Plan` for it; nothing happens yet |
//! | `POST /v1/plans/ID/confirm` | carry the plan out: [`ConfirmResult`] |
//! | `GET /v1/status` | who is there and who has which version: [`StatusReport`] |
//! | `GET /v1/why?...` | the story of a flow, request, change or service: [`Story`] |
//! | `POST /v1/keys/rotate` | new key for flow tokens: [`ConfirmResult`] |
//!
//! Errors are an [`ApiProblem`] with status 400 (cannot be understood), 401 (no or wrong bearer
//! token), 404 (does not exist), 409 (another change came first), 422 (refused), or 503 (the
//! platform does not answer).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, ObjectVersion};
use valvestage_policy::operations::DecisionRecord;

use crate::status::BalancerStatus;

/// `ConfirmResult` says that a change was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResult {
    /// Id of the change.
    pub change_id: String,
    /// The version that it has; in force everywhere once `status` shows nobody behind.
    pub version: ObjectVersion,
}

/// `ApiProblem` says what went wrong and what to do next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiProblem {
    /// What went wrong, in one sentence.
    pub problem: String,
    /// What to do next, in one sentence.
    pub remedy: String,
}

/// `BalancerReport` is one balancer, as far as it answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerReport {
    /// Its admin address.
    pub address: SocketAddr,
    /// What it says; none if it does not answer.
    pub status: Option<BalancerStatus>,
}

/// `StatusReport` is the state of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The version accepted by the platform; none if it does not answer.
    pub accepted_version: Option<ObjectVersion>,
    /// The balancers.
    pub balancers: Vec<BalancerReport>,
    /// Balancers that answer and have an older version.
    pub behind: Vec<BalancerId>,
}

/// `StorySentence` is one decision, told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorySentence {
    /// The decision.
    pub record: DecisionRecord,
    /// The same in plain words.
    pub sentence: String,
}

/// `Story` is what all reachable balancers decided about a subject, in order of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Story {
    /// The decisions.
    pub sentences: Vec<StorySentence>,
    /// Balancers that did not answer: the story may lack their part.
    pub silent: Vec<SocketAddr>,
}
