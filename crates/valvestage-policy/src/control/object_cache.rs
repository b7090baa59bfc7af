//! The latest known versions of the objects that every balancer needs.

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};

/// `ObjectCache` keeps for each object the highest version ever seen, from the platform, from a
/// watch that lags, or from another balancer: what is in force never reverts.
#[derive(Debug, Clone)]
pub struct ObjectCache {
    /// Whether older versions are refused; only a baseline goes without.
    newest_only: bool,
    configuration: Option<(ObjectVersion, ObjectValue)>,
    owner_map: Option<(ObjectVersion, ObjectValue)>,
    token_keys: Option<(ObjectVersion, ObjectValue)>,
}

impl ObjectCache {
    /// `new` starts empty.
    #[must_use]
    pub fn new(newest_only: bool) -> Self {
        Self { newest_only, configuration: None, owner_map: None, token_keys: None }
    }

    /// `is_news` tells whether a version is to be put in force.
    #[must_use]
    pub fn is_news(&self, key: ObjectKey, version: ObjectVersion) -> bool {
        let known = self.version(key);

        if self.newest_only { version > known } else { version != known }
    }

    /// `put` keeps an object that is news.
    pub fn put(&mut self, key: ObjectKey, version: ObjectVersion, value: ObjectValue) {
        if let Some(place) = self.place_mut(key) {
            *place = Some((version, value));
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
