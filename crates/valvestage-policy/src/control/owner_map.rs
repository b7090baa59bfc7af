//! The owner map: which balancer owns which service.

use std::collections::BTreeMap;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion, ServiceId};
use valvestage_core::time::from_unix_millis;

/// Owner of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Balancer that owns the service.
    pub owner: BalancerId,
    /// Epoch of the lease under which it owns the service. Under any other lease of the same
    /// balancer the entry does not count.
    pub lease: LeaseEpoch,
    /// Start of the time range in which the owner's claim table knows every accepted request, in
    /// Unix milliseconds. A planned handover passes it on; after a lapse it starts anew.
    pub covers_from_ms: u64,
    /// Id of the handover that transferred the claims, or `None` after a lapse.
    pub handover: Option<u64>,
}

/// Owner map as stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOwnerMap {
    /// Id of the write, by which a write whose answer was lost is recognized.
    pub change_id: String,
    /// Owner of each service.
    pub entries: BTreeMap<ServiceId, OwnerEntry>,
}

/// Owner map with the version of its platform object.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerMap {
    /// Object version; 0 before the first map is known.
    pub version: ObjectVersion,
    /// Owner of each service.
    pub raw: RawOwnerMap,
}

impl OwnerMap {
    /// Returns the entry of a service, or `None` if it has no owner.
    #[must_use]
    pub fn owner(&self, service: ServiceId) -> Option<&OwnerEntry> {
        self.raw.entries.get(&service)
    }
}

impl OwnerEntry {
    /// Returns the start of the time range that the owner's claim table covers.
    #[must_use]
    pub fn covers_from(&self) -> SystemTime {
        from_unix_millis(self.covers_from_ms)
    }
}
