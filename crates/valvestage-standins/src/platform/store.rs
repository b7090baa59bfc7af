//! In-memory store of objects by kind and name, with a history of changes.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde_json::Value;
use valvestage_core::ids::{StoreEra, StoreRevision};
use valvestage_platform::messages::{ListPage, ObjectMeta, WatchPage, WireEvent, WireObject};

/// Reason why a write had no effect.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteError {
    /// There is no such object.
    Missing,
    /// The object exists already, or has another revision than expected. Carries the object.
    Conflict(Box<WireObject>),
}

/// Versioned object store with one revision counter, raised by each change of any object.
#[derive(Debug, Default)]
pub struct ObjectStore {
    /// Number of times that the store was restored from a backup.
    era: StoreEra,
    revision: StoreRevision,
    objects: BTreeMap<(String, String), WireObject>,
    /// All changes in order, with the kinds of their objects. Compacted changes stay here for
    /// `restore`, but watches do not see them.
    history: Vec<(StoreRevision, String, WireEvent)>,
    /// Last compacted revision: a watch can't start before it.
    compacted_revision: StoreRevision,
}

impl ObjectStore {
    /// Returns an object.
    #[must_use]
    pub fn read(&self, kind: &str, name: &str) -> Option<&WireObject> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Creates an object, unless one of this kind and name exists.
    pub fn create(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
    ) -> Result<WireObject, WriteError> {
        if let Some(existing) = self.read(kind, name) {
            return Err(WriteError::Conflict(Box::new(existing.clone())));
        }

        Ok(self.write(kind, name, value))
    }

    /// Replaces the value of an object. If an expected revision is given, the object has to be at
    /// that revision. An equal value leaves the object and its revision unchanged.
    pub fn replace(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<StoreRevision>,
        value: Value,
    ) -> Result<WireObject, WriteError> {
        let existing = self.read(kind, name).ok_or(WriteError::Missing)?;
        if expected.is_some_and(|expected| expected != existing.meta.revision) {
            return Err(WriteError::Conflict(Box::new(existing.clone())));
        }
        if existing.spec == value {
            return Ok(existing.clone());
        }

        Ok(self.write(kind, name, value))
    }

    /// Deletes an object and returns it with the revision of the deletion.
    pub fn delete(&mut self, kind: &str, name: &str) -> Option<WireObject> {
        let mut object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;

        self.revision += 1;
        object.meta.revision = self.revision;
        let event = WireEvent { object: object.clone(), deleted: true, era: self.era };
        self.history.push((self.revision, kind.to_owned(), event));
        Some(object)
    }

    fn write(&mut self, kind: &str, name: &str, value: Value) -> WireObject {
        self.revision += 1;
        let meta = ObjectMeta { name: name.to_owned(), revision: self.revision };
        let object = WireObject { meta, spec: value, status: Value::Null };

        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = WireEvent { object: object.clone(), deleted: false, era: self.era };
        self.history.push((self.revision, kind.to_owned(), event));
        object
    }

    /// Returns a page of a kind's objects by name, from the first one after the name `after`.
    #[must_use]
    pub fn list(&self, kind: &str, after: Option<&str>, page_size: usize) -> ListPage {
        let start = match after {
            Some(name) => Bound::Excluded((kind.to_owned(), name.to_owned())),
            None => Bound::Included((kind.to_owned(), String::new())),
        };
        let objects_of_kind = self.objects.range((start, Bound::Unbounded));
        let mut objects_of_kind =
            objects_of_kind.take_while(|((object_kind, _), _)| object_kind == kind);

        let items =
            objects_of_kind.by_ref().take(page_size).map(|(_, object)| object.clone()).collect();
        ListPage { items, has_more: objects_of_kind.next().is_some(), revision: self.revision }
    }

    /// Returns a kind's changes after a revision, without those of the last `lag` revisions.
    /// Returns `None` if the revision is compacted or not reached yet.
    #[must_use]
    pub fn changes(&self, kind: &str, after: StoreRevision, lag: u64) -> Option<WatchPage> {
        if after < self.compacted_revision || after > self.revision {
            return None;
        }

        let until = self.revision.saturating_sub(lag);
        let is_selected = |(revision, object_kind, _): &&(StoreRevision, String, WireEvent)| {
            *revision > after && *revision <= until && object_kind == kind
        };
        let events = self.history.iter().filter(is_selected).map(|(_, _, event)| event.clone());
        Some(WatchPage { events: events.collect(), revision: until.max(after) })
    }

    /// Returns the number of times that the store was restored from a backup.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Restores the objects and the history of a revision, like a store that is restored from a
    /// backup. Revisions after it are assigned again, in the next era.
    pub fn restore(&mut self, revision: StoreRevision) {
        let revision = revision.clamp(self.compacted_revision, self.revision);

        self.era += 1;
        self.revision = revision;
        self.history.retain(|(at, _, _)| *at <= revision);
        self.objects.clear();
        for (_, kind, event) in &self.history {
            let key = (kind.clone(), event.object.meta.name.clone());
            if event.deleted {
                self.objects.remove(&key);
            } else {
                self.objects.insert(key, event.object.clone());
            }
        }
    }

    /// Compacts all changes so far: watches from an older revision fail.
    pub fn compact_history(&mut self) {
        self.compacted_revision = self.revision;
    }
}
