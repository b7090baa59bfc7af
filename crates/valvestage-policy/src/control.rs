//! Leases, service owners and object versions: everything that is agreed through the platform.
//!
//! The state machines here ask for [`PlatformCall`]s and take [`PlatformReply`]s; a driver carries
//! them to the platform's object API.

mod lease_keeper;
mod lease_record;
mod object_cache;
mod object_key;
mod owner_coordinator;
mod owner_handover;
mod owner_map;
mod platform_call;

pub use lease_keeper::{LeaseGrant, LeaseKeeper, LeaseOptions};
pub use lease_record::LeaseRecord;
pub use object_cache::ObjectCache;
pub use object_key::{ObjectKey, ObjectValue};
pub use owner_coordinator::{CoordinatorInputs, OwnerCandidate, OwnerCoordinator};
pub use owner_handover::{HandoverOutcome, OwnerHandover};
pub use owner_map::{OwnerEntry, OwnerMap, RawOwnerMap};
pub use platform_call::{PlatformCall, PlatformReply};
