//! Plans of operators, and explanations of decisions.

mod decision_log;
mod decision_record;
mod intent;
mod plan;
mod planner;

pub use decision_log::DecisionLog;
pub use decision_record::{Decision, DecisionRecord, Subject};
pub use intent::{Intent, NewBackend};
pub use plan::{Plan, PlanRefusal, ServiceEffect};
pub use planner::{ServiceDemand, create_plan};
