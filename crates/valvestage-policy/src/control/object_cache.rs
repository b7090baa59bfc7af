//! The latest known versions of the objects that every balancer needs.

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};

/// `ObjectCache` keeps for each object the highest version ever seen, from the platform, from a
/// watch that lags, or from another balancer: what is in force never reverts.
#[derive(Debug, Clone, Default)]
pub struct ObjectCache {
    configuration: Option<(ObjectVersion, ObjectValue)>,
    owner_map: Option<(ObjectVersion, ObjectValue)>,
    token_keys: Option<(ObjectVersion, ObjectValue)>,
}

impl ObjectCache {
    /// `offer` takes an object in, and tells whether it is newer than the one known.
    pub fn offer(&mut self, key: ObjectKey, version: ObjectVersion, value: ObjectValue) -> bool {
        if version <= self.version(key) {
            return false;
        }

        match self.place_mut(key) {
            Some(place) => {
                *place = Some((version, value));
                true
            }
            None => false,
        }
    }

    /// `version` gives the version known; 0 if none is.
    #[must_use]
    pub fn version(&self, key: ObjectKey) -> ObjectVersion {
        self.get(key).map_or(0, |(version, _)| *version)
    }

    /// `get` gives an object with its version.
    #[must_use]
    pub fn get(&self, key: ObjectKey) -> Option<&(ObjectVersion, ObjectValue)> {
        match key {
            ObjectKey::Configuration => self.configuration.as_ref(),
            ObjectKey::OwnerMap => self.owner_map.as_ref(),
            ObjectKey::TokenKeys => self.token_keys.as_ref(),
            ObjectKey::Lease(_) => None,
        }
    }

    fn place_mut(&mut self, key: ObjectKey) -> Option<&mut Option<(ObjectVersion, ObjectValue)>> {
        match key {
            ObjectKey::Configuration => Some(&mut self.configuration),
            ObjectKey::OwnerMap => Some(&mut self.owner_map),
            ObjectKey::TokenKeys => Some(&mut self.token_keys),
            // Leases are read where they are needed.
            ObjectKey::Lease(_) => None,
        }
    }
}
