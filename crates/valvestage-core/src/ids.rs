//! Type aliases for ids.

/// Number of a balancer (one entry VM), taken from its settings and unique in a deployment.
pub type BalancerId = u32;

/// Number of a backend server, unique in a deployment and never reused.
pub type BackendId = u32;

/// Number of a service, unique in a deployment and never reused.
pub type ServiceId = u16;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a region, which has one or more availability zones.
pub type RegionName = String;

/// Id that a caller assigns to a request; a retransmission carries the same id.
pub type RequestId = u128;

/// Number of an attempt at one request, counted from 1.
pub type Attempt = u16;

/// Version of a platform object; increases with each write and is never reused.
pub type ObjectVersion = u64;

/// Number of the VM behind a backend server record; incremented when the VM is replaced.
pub type Incarnation = u32;

/// Keyed hash of the caller and service addresses of a flow.
pub type FlowKey = u64;

/// Number of a key that signs flow tokens.
pub type TokenKeyId = u8;

/// Number that distinguishes the leases of one balancer; increases with each acquisition.
pub type LeaseEpoch = u64;

/// Id of one start of a backend server; a restarted VM has a new one.
pub type InstanceId = u64;

/// Name of a service in the platform's store.
pub type ServiceName = String;

/// Version of the configuration that the operator writes to the platform's store; increases with
/// each write.
pub type ConfigurationVersion = u64;

/// 32-bit token that identifies the backend server of a flow; 0 means none.
pub type ShortToken = u32;

/// Revision of the platform's store; increases with each change of any object within one era of the
/// store.
pub type StoreRevision = u64;

/// Number of times that the platform's store has been restored from a backup, as counted by the
/// store. Each era assigns revisions anew, so two eras can have the same one.
pub type StoreEra = u64;
