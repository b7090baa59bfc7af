//! The objects that the system keeps in the platform.

use serde::{Deserialize, Serialize};
use valvestage_core::RawConfiguration;
use valvestage_core::ids::BalancerId;

use super::lease_record::LeaseRecord;
use super::owner_map::RawOwnerMap;
use crate::flows::RawTokenKeys;

/// `ObjectKey` names one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKey {
    /// The deployment configuration.
    Configuration,
    /// Which balancer owns which service.
    OwnerMap,
    /// The keys of flow hash and flow tokens.
    TokenKeys,
    /// The lease of one balancer.
    Lease(BalancerId),
}

impl ObjectKey {
    /// `path` gives the key as the object API has it.
    #[must_use]
    pub fn path(self) -> String {
        match self {
            Self::Configuration => "configuration".to_owned(),
            Self::OwnerMap => "owner-map".to_owned(),
            Self::TokenKeys => "token-keys".to_owned(),
            Self::Lease(id) => format!("lease-{id}"),
        }
    }
}

/// `ObjectValue` is the value of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectValue {
    /// Of [`ObjectKey::Configuration`].
    Configuration(RawConfiguration),
    /// Of [`ObjectKey::OwnerMap`].
    OwnerMap(RawOwnerMap),
    /// Of [`ObjectKey::TokenKeys`].
    TokenKeys(RawTokenKeys),
    /// Of [`ObjectKey::Lease`].
    Lease(LeaseRecord),
}
