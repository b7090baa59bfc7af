//! Objects with versions, in memory.

use std::collections::BTreeMap;

use serde_json::Value;
use valvestage_core::ids::ObjectVersion;
use valvestage_wire::platform::{StoredObject, WatchResult};

/// Objects that are written too often to be watched.
const UNWATCHED_PREFIX: &str = "lease-";

/// `ObjectStore` holds objects; each write of any object raises the revision.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: ObjectVersion,
    objects: BTreeMap<String, StoredObject>,
}

impl ObjectStore {
    /// `read` gives an object.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// `write` writes an object if its version is the one given (`None`: it does not exist).
    pub fn write(
        &mut self,
        key: &str,
        expected: Option<ObjectVersion>,
        value: Value,
    ) -> Option<ObjectVersion> {
        if self.objects.get(key).map(|object| object.version) != expected {
            return None;
        }

        self.revision += 1;
        let object = StoredObject { key: key.to_owned(), version: self.revision, value };
        self.objects.insert(key.to_owned(), object);
        Some(self.revision)
    }

    /// `changes` gives what changed after a revision, as of `lag` revisions ago.
    #[must_use]
    pub fn changes(&self, after: ObjectVersion, lag: u64) -> WatchResult {
        let until = self.revision.saturating_sub(lag);
        let changed = self.objects.values().filter(|object| {
            object.version > after
                && object.version <= until
                && !object.key.starts_with(UNWATCHED_PREFIX)
        });

        WatchResult { revision: until.max(after), objects: changed.cloned().collect() }
    }
}
