//! Entries that do not say when their processes were born.
//!
//! Where the deployment's processes say so, such an entry was written by something else. It names no
//! backend server, so it ends none either: the process at its name or address may be alive. Where
//! they don't, as in older deployments, an entry is as sound without it.

use super::backend_directory::BackendDirectory;
use super::backend_entry::BackendEntry;

impl BackendDirectory {
    /// Reports whether an entry does not say when its process was born, although the deployment's
    /// processes do. Most of the known ones decide, so that a single entry of another writer takes
    /// nothing from a deployment whose processes don't.
    pub(super) fn lacks_birth(&self, entry: &BackendEntry) -> bool {
        !entry.is_gone() && entry.born.is_none() && self.entries.births().is_mostly_told()
    }

    /// Reports whether an entry of the store names no backend server since it does not say when its
    /// process was born.
    pub(in crate::steering) fn is_unusable_without_birth(&self, entry: &BackendEntry) -> bool {
        self.lacks_birth(entry) && !self.is_in_use(entry)
    }

    /// Reports whether an entry is of a known process that may be alive, and of no other one. Such
    /// a process does not tell its birth beside others that do while their software is replaced.
    fn is_in_use(&self, entry: &BackendEntry) -> bool {
        let known = self.entries.get(entry.instance);

        known.is_some_and(|known| !known.has_ended_for_good()) && !self.contradicts_birth(entry)
    }

    /// Reports whether a process that may be alive and has told its birth has the name or the
    /// address of an entry.
    pub(super) fn contradicts_birth(&self, entry: &BackendEntry) -> bool {
        self.with_name_or_address_of(entry)
            .any(|other| other.born.is_some() && !other.has_ended_for_good())
    }
}

impl BackendEntry {
    /// Reports whether an entry tells the birth of its process and another one doesn't, so that the
    /// other one cannot have ended the process for good.
    pub(super) fn outweighs(&self, other: &Self) -> bool {
        self.born.is_some() && other.born.is_none()
    }
}
