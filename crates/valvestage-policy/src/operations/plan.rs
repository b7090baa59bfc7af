//! What the system proposes to do for an intent.

use serde::{Deserialize, Serialize};
use valvestage_core::RawConfiguration;
use valvestage_core::ids::ObjectVersion;

use super::intent::Intent;

/// `ServiceEffect` is what a plan does to one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEffect {
    /// Name of the service.
    pub service: String,
    /// Slots open to new work before.
    pub slots_before: u32,
    /// Slots open to new work after.
    pub slots_after: u32,
    /// Slots in use now.
    pub slots_busy: u32,
    /// Percent of new flows that go to another backend server than before.
    pub new_flows_moved_percent: f64,
}

/// `PlanRefusal` says why a plan cannot be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRefusal {
    /// What would break, in one sentence.
    pub problem: String,
    /// What to do instead, in one sentence.
    pub remedy: String,
}

/// `Plan` is a proposal; nothing happens until it is confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Digest of the base version and the intent.
    pub id: String,
    /// The configuration version that it starts from; a confirmation fails on any other.
    pub base_version: ObjectVersion,
    /// What was asked.
    pub intent: Intent,
    /// What will be done, one sentence a step.
    pub steps: Vec<String>,
    /// What changes for each service concerned.
    pub effects: Vec<ServiceEffect>,
    /// What to watch out for, one sentence each.
    pub dangers: Vec<String>,
    /// Why it cannot be confirmed, if so.
    pub refusal: Option<PlanRefusal>,
    /// The configuration that it leads to.
    pub result: RawConfiguration,
}
