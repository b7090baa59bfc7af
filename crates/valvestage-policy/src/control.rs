//! Leases, service ownership and object versions, coordinated through the platform.
//!
//! The state machines here emit [`PlatformCall`]s and consume [`PlatformReply`]s; a driver performs
//! the calls on the platform's object API.

mod control_action;
mod control_options;
mod control_policy;
mod control_roles;
mod first_read;
mod lease_manager;
mod lease_record;
mod object_cache;
mod object_key;
mod owner_coordinator;
mod owner_handover;
mod owner_map;
mod planned_stop;
mod platform_call;

pub use control_action::{ControlAction, Installation, StateMachine};
pub use control_options::ControlOptions;
pub use control_policy::ControlPolicy;
pub use first_read::FirstRead;
pub use lease_manager::{LeaseGrant, LeaseManager, LeaseOptions};
pub use lease_record::LeaseRecord;
pub use object_cache::ObjectCache;
pub use object_key::{ObjectKey, ObjectValue};
pub use owner_coordinator::{CoordinatorInputs, OwnerCandidate, OwnerCoordinator};
pub use owner_handover::{HandoverOutcome, OwnerHandover};
pub use owner_map::{OwnerEntry, OwnerMap, RawOwnerMap};
pub use planned_stop::{PlannedStop, StopStep};
pub use platform_call::{PlatformCall, PlatformReply};
