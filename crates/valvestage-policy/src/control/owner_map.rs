//! Which balancer owns which service.

use std::collections::BTreeMap;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion, ServiceId};
use valvestage_core::time::from_unix_millis;

/// `OwnerEntry` is the owner of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// The balancer.
    pub owner: BalancerId,
    /// The lease under which it owns; under any other lease of the same balancer it does not.
    pub lease: LeaseEpoch,
    /// Since when the owner's claim table knows every accepted request, Unix milliseconds. A
    /// planned handover passes it on; after a lapse it starts anew.
    pub covers_from_ms: u64,
    /// Names the handover that brought the claims; none after a lapse.
    pub handover: Option<u64>,
}

/// `RawOwnerMap` is the platform object.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOwnerMap {
    /// Id of the write, to settle one whose answer was lost.
    pub change_id: String,
    /// The owners.
    pub entries: BTreeMap<ServiceId, OwnerEntry>,
}

/// `OwnerMap` is the platform object under its version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerMap {
    /// 0 before the first is known.
    pub version: ObjectVersion,
    /// The owners.
    pub raw: RawOwnerMap,
}

impl OwnerMap {
    /// `owner` gives the entry of a service.
    #[must_use]
    pub fn owner(&self, service: ServiceId) -> Option<&OwnerEntry> {
        self.raw.entries.get(&service)
    }
}

impl OwnerEntry {
    /// `covers_from` gives the start of the covered time.
    #[must_use]
    pub fn covers_from(&self) -> SystemTime {
        from_unix_millis(self.covers_from_ms)
    }
}
