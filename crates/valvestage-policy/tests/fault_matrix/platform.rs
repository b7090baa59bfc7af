//! Fake of the platform's object API.

use std::collections::BTreeMap;

use valvestage_core::ids::ObjectVersion;
use valvestage_policy::control::{ObjectKey, ObjectValue, PlatformCall, PlatformReply};

/// Store of versioned objects with conditional writes, whose faults the simulation sets.
#[derive(Debug, Default)]
pub struct FakePlatform {
    revision: ObjectVersion,
    objects: BTreeMap<ObjectKey, (ObjectVersion, ObjectValue)>,
    /// Version and value of each object before its last write, which lagging watches show.
    previous: BTreeMap<ObjectKey, (ObjectVersion, ObjectValue)>,
    pub is_down: bool,
    /// Number of writes still to come that take effect without an answer.
    pub lost_answers: u32,
    pub watch_lags: bool,
}

impl FakePlatform {
    pub fn call(&mut self, call: &PlatformCall) -> PlatformReply {
        if self.is_down {
            return PlatformReply::Unknown;
        }

        match call {
            PlatformCall::Read { key } => match self.objects.get(key) {
                Some((version, value)) => {
                    PlatformReply::Found { version: *version, value: value.clone() }
                }
                None => PlatformReply::Missing,
            },
            PlatformCall::Write { key, expected, value } => {
                self.write(*key, *expected, value.clone())
            }
        }
    }

    fn write(
        &mut self,
        key: ObjectKey,
        expected: Option<ObjectVersion>,
        value: ObjectValue,
    ) -> PlatformReply {
        if self.objects.get(&key).map(|(version, _)| *version) != expected {
            return PlatformReply::Conflict;
        }

        self.revision += 1;
        if let Some(former) = self.objects.insert(key, (self.revision, value)) {
            self.previous.insert(key, former);
        }

        // The write took effect, but its answer is lost.
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            return PlatformReply::Unknown;
        }
        PlatformReply::Written { version: self.revision }
    }

    /// Returns the objects that a watch shows, or `None` during an outage.
    pub fn watch(&self) -> Option<Vec<(ObjectKey, ObjectVersion, ObjectValue)>> {
        const WATCHED: [ObjectKey; 3] =
            [ObjectKey::Configuration, ObjectKey::OwnerMap, ObjectKey::TokenKeys];

        if self.is_down {
            return None;
        }
        let shown = WATCHED.iter().filter_map(|key| {
            let former = self.previous.get(key).filter(|_| self.watch_lags);
            let (version, value) = former.or_else(|| self.objects.get(key))?;
            Some((*key, *version, value.clone()))
        });
        Some(shown.collect())
    }

    pub fn get(&self, key: ObjectKey) -> Option<&(ObjectVersion, ObjectValue)> {
        self.objects.get(&key)
    }
}
