//! Keys and values of the objects that valvestage stores in the platform.

use serde::{Deserialize, Serialize};
use valvestage_core::RawConfiguration;
use valvestage_core::ids::BalancerId;

use super::lease_record::LeaseRecord;
use super::owner_map::RawOwnerMap;
use crate::flows::RawTokenKeys;

/// Key of one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKey {
    /// The deployment configuration.
    Configuration,
    /// The map from each service to the balancer that owns it.
    OwnerMap,
    /// The keys of the flow hash and of flow tokens.
    TokenKeys,
    /// The lease of one balancer.
    Lease(BalancerId),
}

impl ObjectKey {
    /// Returns the path of the object in the object API.
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

/// Value of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectValue {
    /// Value of [`ObjectKey::Configuration`].
    Configuration(RawConfiguration),
    /// Value of [`ObjectKey::OwnerMap`].
    OwnerMap(RawOwnerMap),
    /// Value of [`ObjectKey::TokenKeys`].
    TokenKeys(RawTokenKeys),
    /// Value of [`ObjectKey::Lease`].
    Lease(LeaseRecord),
}
