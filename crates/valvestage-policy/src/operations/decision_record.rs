//! One decision, with its inputs, and its sentence for operators.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{
    Attempt, BackendId, BalancerId, FlowKey, ObjectVersion, RequestId, ServiceId,
};
use valvestage_core::{Outcome, RefusalReason, RetryReason};

use crate::flows::FlowSource;

/// `Subject` is what a decision is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A flow.
    Flow(FlowKey),
    /// A request.
    Request(#[serde(with = "hex_id")] RequestId),
    /// A configuration version.
    Change(ObjectVersion),
    /// A service.
    Service(ServiceId),
}

/// `Decision` is what was decided, and on what.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// A flow was bound to a backend server.
    FlowBound {
        /// The backend server.
        backend: BackendId,
        /// The layer that found it.
        source: FlowSource,
        /// The configuration version in force.
        version: ObjectVersion,
    },
    /// A flow packet or request was handed to another balancer.
    Relayed {
        /// The balancer.
        peer: BalancerId,
        /// Relays so far, this one included.
        hops: u8,
    },
    /// A flow packet was refused.
    FlowRefused {
        /// Why.
        reason: RefusalReason,
    },
    /// A request was sent to a backend server.
    Dispatched {
        /// The backend server.
        backend: BackendId,
        /// Which try.
        attempt: Attempt,
        /// Why it was tried again.
        retry: Option<RetryReason>,
        /// Slots in use at the service, this one included.
        busy_slots: u32,
        /// Requests that waited.
        waiting: usize,
    },
    /// A request was answered.
    Answered,
    /// A request was given up.
    Refused {
        /// What the caller was told.
        outcome: Outcome,
        /// Why.
        reason: RefusalReason,
        /// When the caller was told to come back.
        retry_after: Duration,
    },
    /// A configuration version came into force here.
    InForce {
        /// Id of the change.
        change_id: String,
    },
    /// A service got an owner.
    Owner {
        /// The owner.
        owner: BalancerId,
        /// Whether the claims were handed over.
        planned: bool,
    },
}

/// `DecisionRecord` is a decision with its time and subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Unix milliseconds.
    pub at_ms: u64,
    /// The balancer that decided.
    pub balancer: BalancerId,
    /// What it is about.
    pub subject: Subject,
    /// What was decided.
    pub decision: Decision,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FlowBound { backend, source, version } => {
                let why = match source {
                    FlowSource::Token => "the caller's token names it",
                    FlowSource::Table => "the flow was bound to it before",
                    FlowSource::Placement => "the flow is new and hashes to it",
                    FlowSource::History => "its opening was not seen here, and it hashes to it",
                };
                write!(
                    f,
                    "sent the flow to backend server {backend}, because {why} (configuration {version})"
                )
            }
            Self::Relayed { peer, hops } => {
                write!(f, "handed it to balancer {peer}, which decides for it (relay {hops})")
            }
            Self::FlowRefused { reason } => write!(f, "refused the packet: {}", reason.label()),
            Self::Dispatched { backend, attempt, retry, busy_slots, waiting } => {
                write!(f, "sent it to backend server {backend} (try {attempt}")?;
                if let Some(reason) = retry {
                    write!(f, ", because the try before ended with {}", reason.label())?;
                }
                write!(f, "); {busy_slots} slots of the service in use, {waiting} requests waiting")
            }
            Self::Answered => f.write_str("passed the whole answer to the caller"),
            Self::Refused { outcome, reason, retry_after } => {
                let told = match outcome {
                    Outcome::NotRun => "it did not run and will not",
                    Outcome::InDoubt => "it may have run",
                };
                let millis = retry_after.as_millis();
                write!(
                    f,
                    "gave it up ({}): told the caller that {told}, and to come back in {millis} ms",
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
                    "after the former lease ended, or as the first"
                };
                write!(f, "learned that balancer {owner} owns the service, {how}")
            }
        }
    }
}

/// Request ids as text: JSON numbers do not hold 128 bits.
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
