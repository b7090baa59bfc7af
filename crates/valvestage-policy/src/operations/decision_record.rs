//! A decision with its inputs, and its description for operators.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{
    Attempt, BackendId, BalancerId, FlowKey, ObjectVersion, RequestId, ServiceId,
};
use valvestage_core::{Outcome, RefusalReason, RetryReason};

use crate::flows::FlowSource;

/// Object that a decision is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A flow, by its key.
    Flow(FlowKey),
    /// A request, by its id.
    Request(#[serde(with = "hex_id")] RequestId),
    /// A configuration version.
    Change(ObjectVersion),
    /// A service, by its id.
    Service(ServiceId),
}

/// A decision and the inputs that led to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// A flow was bound to a backend server.
    FlowBound {
        /// Backend server that the flow was bound to.
        backend: BackendId,
        /// Layer that found the backend server.
        source: FlowSource,
        /// Configuration version in force at the time.
        version: ObjectVersion,
    },
    /// A flow packet or request was relayed to another balancer.
    Relayed {
        /// Balancer that it was relayed to.
        peer: BalancerId,
        /// Number of relays so far, this one included.
        hops: u8,
    },
    /// A flow packet was refused, or dropped without a reply.
    FlowRefused {
        /// Cause of the refusal or drop.
        reason: RefusalReason,
    },
    /// A request was sent to a backend server.
    Dispatched {
        /// Backend server that the attempt was sent to.
        backend: BackendId,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Cause of the retry; `None` for the first attempt.
        retry: Option<RetryReason>,
        /// Occupied slots of the service, including the one of this attempt.
        busy_slots: u32,
        /// Number of waiting requests.
        waiting: usize,
    },
    /// A request was completely answered.
    Answered,
    /// A request was refused, and is not retried.
    Refused {
        /// Outcome that the caller was given.
        outcome: Outcome,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may send a new request.
        retry_after: Duration,
    },
    /// A configuration version was put in force on this balancer.
    InForce {
        /// Id of the change that made the configuration.
        change_id: String,
    },
    /// This balancer learned of a new owner of a service.
    Owner {
        /// Balancer that owns the service.
        owner: BalancerId,
        /// Whether the ownership changed by a planned handover, with all claims.
        planned: bool,
    },
}

/// Decision with its time, balancer and subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time of the decision, in Unix milliseconds.
    pub at_ms: u64,
    /// Balancer that made the decision.
    pub balancer: BalancerId,
    /// Object that the decision is about.
    pub subject: Subject,
    /// The decision with its inputs.
    pub decision: Decision,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FlowBound { backend, source, version } => {
                let why = match source {
                    FlowSource::Token => "the flow token of the caller names it",
                    FlowSource::Table => "the flow was already bound to it",
                    FlowSource::Placement => "the flow is new and hashes to it",
                    FlowSource::History => {
                        "the start of the flow was not seen here, and the flow hashes to it"
                    }
                };
                write!(
                    f,
                    "sent the flow to backend server {backend}, because {why} (configuration {version})"
                )
            }
            Self::Relayed { peer, hops } => {
                write!(f, "relayed it to balancer {peer}, which decides for it (relay {hops})")
            }
            Self::FlowRefused { reason } => write!(f, "refused the packet: {}", reason.label()),
            Self::Dispatched { backend, attempt, retry, busy_slots, waiting } => {
                write!(f, "sent it to backend server {backend} (attempt {attempt}")?;
                if let Some(reason) = retry {
                    write!(f, ", because the previous attempt ended with {}", reason.label())?;
                }
                write!(f, "); {busy_slots} slots of the service in use, {waiting} requests waiting")
            }
            Self::Answered => f.write_str("sent the complete answer to the caller"),
            Self::Refused { outcome, reason, retry_after } => {
                let told = match outcome {
                    Outcome::NotRun => "it did not run and will not",
                    Outcome::InDoubt => "it may have run",
                };
                let millis = retry_after.as_millis();
                write!(
                    f,
                    "refused it ({}): told the caller that {told}, and to retry after {millis} ms",
                    reason.label()
                )
            }
            Self::InForce { change_id } => {
                write!(f, "put the configuration of change {change_id} in force")
            }
            Self::Owner { owner, planned } => {
                let how = if *planned {
                    "by a planned handover, with all claims"
                } else {
                    "after the previous lease ended, or as its first owner"
                };
                write!(f, "learned that balancer {owner} owns the service, {how}")
            }
        }
    }
}

/// Serializes request ids as hexadecimal text, because JSON numbers do not hold 128 bits.
mod hex_id {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};
    use valvestage_core::ids::RequestId;

    pub fn serialize<S: Serializer>(id: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{id:032x}"))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<RequestId, D::Error> {
        let text = String::deserialize(deserializer)?;

        RequestId::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
