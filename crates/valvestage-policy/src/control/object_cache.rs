//! The latest known versions of the shared objects.

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};

/// Cache of the highest known version of each shared object.
///
/// Objects come from the platform, from a watch that may lag, or from another balancer. The cache
/// keeps the state in force from reverting to an older version.
#[derive(Debug, Clone)]
pub struct ObjectCache {
    /// Whether older versions are rejected; `false` only in a baseline for comparisons.
    newest_only: bool,
    configuration: Option<(ObjectVersion, ObjectValue)>,
    owner_map: Option<(ObjectVersion, ObjectValue)>,
    token_keys: Option<(ObjectVersion, ObjectValue)>,
}

impl ObjectCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(newest_only: bool) -> Self {
        Self { newest_only, configuration: None, owner_map: None, token_keys: None }
    }

    /// Reports whether a version is to be put in force.
    #[must_use]
    pub fn should_install(&self, key: ObjectKey, version: ObjectVersion) -> bool {
        let known = self.version(key);

        if self.newest_only { version > known } else { version != known }
    }

    /// Stores an object. The caller has checked that its version is to be put in force.
    pub fn put(&mut self, key: ObjectKey, version: ObjectVersion, value: ObjectValue) {
        if let Some(place) = self.entry_mut(key) {
            *place = Some((version, value));
        }
    }

    /// Returns the cached version of an object, or 0 if there is none.
    #[must_use]
    pub fn version(&self, key: ObjectKey) -> ObjectVersion {
        self.get(key).map_or(0, |(version, _)| *version)
    }

    /// Returns the cached version and value of an object.
    #[must_use]
    pub fn get(&self, key: ObjectKey) -> Option<&(ObjectVersion, ObjectValue)> {
        match key {
            ObjectKey::Configuration => self.configuration.as_ref(),
            ObjectKey::OwnerMap => self.owner_map.as_ref(),
            ObjectKey::TokenKeys => self.token_keys.as_ref(),
            ObjectKey::Lease(_) => None,
        }
    }

    fn entry_mut(&mut self, key: ObjectKey) -> Option<&mut Option<(ObjectVersion, ObjectValue)>> {
        match key {
            ObjectKey::Configuration => Some(&mut self.configuration),
            ObjectKey::OwnerMap => Some(&mut self.owner_map),
            ObjectKey::TokenKeys => Some(&mut self.token_keys),
            // Leases are not cached; they are read from the platform when needed.
            ObjectKey::Lease(_) => None,
        }
    }
}
