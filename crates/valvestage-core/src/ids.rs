//! Type aliases for ids.

/// Number of a balancer (one entry VM), unique in a deployment, from its settings.
pub type BalancerId = u32;

/// Number of a backend server, unique in a deployment and never reused.
pub type BackendId = u32;

/// Number of a service, unique in a deployment and never reused.
pub type ServiceId = u16;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a region, which has one or more availability zones.
pub type RegionName = String;

/// Id that a caller gives to a request; a retransmission carries the same id.
pub type RequestId = u128;

/// Counts the tries of one request, from 1.
pub type Attempt = u16;

/// Version of a platform object; grows with each write and is never reused.
pub type ObjectVersion = u64;

/// Counts the VMs that a backend server record has stood for; grows when a VM is replaced.
pub type Incarnation = u32;

/// Keyed hash of a flow's caller and service address.
pub type FlowKey = u64;

/// Number of a token key.
pub type TokenKeyId = u8;

/// Distinguishes the leases that one balancer has held; grows with each acquisition.
pub type LeaseEpoch = u64;

/// Id of one start of a backend server; a VM that starts again has another.
pub type InstanceId = u64;

/// Name of a service in the platform's store.
pub type ServiceName = String;

/// Version of the configuration that the operator writes to the platform's store; only grows.
pub type ConfigurationVersion = u64;

/// Token of 32 bits that names the backend server of a flow; 0 is none.
pub type ShortToken = u32;

/// Revision of the platform's store; grows with each change of any object within one era of the store.
pub type StoreRevision = u64;

/// How often the platform's store was restored from an older copy, as it counts; revisions are given out again in each era.
pub type StoreEra = u64;
