//! Positions in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{StoreEra, StoreRevision};

/// `StorePosition` is a point in the history of the platform's store, ordered by era, then by revision.
///
/// A store that is restored from an older copy gives revisions out again, in the next era: revisions compare within one era only.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Counts how often the store was restored.
    pub era: StoreEra,
    /// The store's revision in this era.
    pub revision: StoreRevision,
}

impl StorePosition {
    /// Before every change.
    pub const START: Self = Self { era: 0, revision: 0 };

    /// Returns the position of a revision in an era.
    #[must_use]
    pub fn new(era: StoreEra, revision: StoreRevision) -> Self {
        Self { era, revision }
    }

    /// Returns the position of another revision in the same era.
    #[must_use]
    pub fn at(self, revision: StoreRevision) -> Self {
        Self { revision, ..self }
    }

    /// Returns whether this is before every change.
    #[must_use]
    pub fn is_start(self) -> bool {
        self == Self::START
    }

    /// Returns the last position before this one in the same era; the first one of an era has none.
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
