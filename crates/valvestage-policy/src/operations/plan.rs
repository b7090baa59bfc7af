//! The plan that valvestage proposes for an intent.

use serde::{Deserialize, Serialize};
use valvestage_core::RawConfiguration;
use valvestage_core::ids::ObjectVersion;

use super::intent::Intent;

/// Effect of a plan on one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEffect {
    /// Name of the service.
    pub service: String,
    /// Slots that take new work before the change.
    pub slots_before: u32,
    /// Slots that take new work after the change.
    pub slots_after: u32,
    /// Slots that are occupied or waited for now.
    pub slots_busy: u32,
    /// Estimated percentage of new flows that go to another backend server than before.
    pub new_flows_moved_percent: f64,
}

/// Reason why a plan cannot be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRefusal {
    /// One sentence that says what the change would break.
    pub problem: String,
    /// One sentence that says what to do instead.
    pub remedy: String,
}

/// Proposed change; it takes effect only once it is confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Digest of the base version and the intent.
    pub id: String,
    /// Configuration version that the plan is based on; it cannot be confirmed on any other.
    pub base_version: ObjectVersion,
    /// Intent that the plan carries out.
    pub intent: Intent,
    /// Steps of the change, one sentence each.
    pub steps: Vec<String>,
    /// Effects on the services concerned.
    pub effects: Vec<ServiceEffect>,
    /// Risks of the change, one sentence each.
    pub dangers: Vec<String>,
    /// Reason why the plan cannot be confirmed; `None` if it can be.
    pub refusal: Option<PlanRefusal>,
    /// Configuration after the change.
    pub result: RawConfiguration,
}
