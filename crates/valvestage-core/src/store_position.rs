//! Positions in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{StoreEra, StoreRevision};

/// A point in the history of the platform's store, ordered by era, then by revision.
///
/// A store that is restored from a backup assigns the same revisions again in the next era, so
/// revisions can be compared only within one era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of times that the store has been restored.
    pub era: StoreEra,
    /// Revision of the store within the era.
    pub revision: StoreRevision,
}

impl StorePosition {
    /// The position before every change.
    pub const START: Self = Self { era: 0, revision: 0 };

    /// Returns the position of `revision` in `era`.
    #[must_use]
    pub fn new(era: StoreEra, revision: StoreRevision) -> Self {
        Self { era, revision }
    }

    /// Returns the position of another revision in the same era.
    #[must_use]
    pub fn at(self, revision: StoreRevision) -> Self {
        Self { revision, ..self }
    }

    /// Reports whether this is the position before every change.
    #[must_use]
    pub fn is_start(self) -> bool {
        self == Self::START
    }

    /// Returns the last position before this one in the same era.
    ///
    /// The first position of an era has no predecessor and is returned unchanged.
    #[must_use]
    pub fn before(self) -> Self {
        self.at(self.revision.saturating_sub(1))
    }
}

/// Writes `era.revision`.
impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}
