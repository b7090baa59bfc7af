//! Messages of the operators' API, as JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/bootstrap` | writes the first configuration from a deployment file: [`ConfirmResult`] |
//! | `POST /v1/plans` | takes an `Intent`, plans it without changing anything: `Plan` |
//! | `POST /v1/plans/ID/confirm` | carries the plan out: [`ConfirmResult`] |
//! | `GET /v1/status` | reports the balancers and their versions: [`StatusReport`] |
//! | `GET /v1/why?...` | explains the decisions on a flow, request, change or service: [`Explanation`] |
//! | `POST /v1/keys/rotate` | makes a new key for flow tokens: [`ConfirmResult`] |
//!
//! An error is an [`ApiProblem`] with status 400 (malformed request), 401 (missing or wrong bearer
//! token), 404 (not found), 409 (conflict with an earlier change), 422 (refused) or 503 (the
//! platform does not answer).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, ObjectVersion};
use valvestage_policy::operations::DecisionRecord;

use crate::status::BalancerStatus;

/// Answer to a change that the platform accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResult {
    /// Id of the accepted change.
    pub change_id: String,
    /// Version that the change produced. It is in force on every balancer that answers once
    /// [`StatusReport::behind`] is empty.
    pub version: ObjectVersion,
}

/// Body of an error answer: the problem and its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiProblem {
    /// Description of the problem, in one sentence.
    pub problem: String,
    /// Suggested next step, in one sentence.
    pub remedy: String,
}

/// Status of one balancer, if it answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerReport {
    /// Admin address of the balancer.
    pub address: SocketAddr,
    /// Status that the balancer reports; `None` if it does not answer.
    pub status: Option<BalancerStatus>,
}

/// Status of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Configuration version accepted by the platform; `None` if the platform does not answer.
    pub accepted_version: Option<ObjectVersion>,
    /// One entry for each configured balancer.
    pub balancers: Vec<BalancerReport>,
    /// Balancers that answer and have a version older than the newest one, which is either the
    /// accepted version or, if that is unknown or older, the newest of any balancer.
    pub behind: Vec<BalancerId>,
}

/// A decision with its description in plain English.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Record of the decision.
    pub record: DecisionRecord,
    /// Description of the decision, in one sentence.
    pub sentence: String,
}

/// Decisions of all reachable balancers about one subject, ordered by time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Decisions with their descriptions, oldest first.
    pub sentences: Vec<ExplainedDecision>,
    /// Admin addresses of the balancers that did not answer, whose decisions are missing.
    pub silent: Vec<SocketAddr>,
}
