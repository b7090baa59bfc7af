//! The last few configuration versions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hashbrown::HashMap;
use valvestage_core::ids::{BackendId, Incarnation, ObjectVersion, ServiceId};
use valvestage_core::{Backend, Configuration};

/// Versions kept, the one in force included.
const KEPT_VERSIONS: usize = 4;

/// `ConfigurationHistory` holds the configuration in force and those before it.
///
/// Invariant: versions strictly fall from front to back, so that what is in force never reverts.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHistory {
    versions: VecDeque<Arc<Configuration>>,
    /// For each backend server of any kept version the newest record, unless its address has been
    /// given to another record since.
    reachable: HashMap<BackendId, Arc<Backend>>,
}

impl ConfigurationHistory {
    /// `install` puts a configuration in force if it is newer than the present one; without
    /// `newest_only`, a baseline, also if it is older.
    pub fn install(&mut self, configuration: Arc<Configuration>, newest_only: bool) -> bool {
        let is_news = if newest_only {
            configuration.version > self.version()
        } else {
            configuration.version != self.version()
        };
        if !is_news {
            return false;
        }

        self.versions.push_front(configuration);
        self.versions.truncate(KEPT_VERSIONS);
        self.reachable = self.find_reachable();
        true
    }

    fn find_reachable(&self) -> HashMap<BackendId, Arc<Backend>> {
        let Some(current) = self.current() else {
            return HashMap::new();
        };
        let is_taken = |record: &Backend| {
            current.backend_at(record.address).is_some_and(|holder| holder.id != record.id)
        };

        // Oldest first, so that newer records replace older ones.
        let records = self.versions.iter().rev().flat_map(|version| version.backends());
        let newest: BTreeMap<BackendId, &Backend> = records.map(|r| (r.id, r)).collect();
        let reachable = newest.into_iter().filter(|(_, record)| !is_taken(record));
        reachable.map(|(id, record)| (id, Arc::new(record.clone()))).collect()
    }

    /// `current` gives the configuration in force.
    #[must_use]
    #[inline]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.versions.front()
    }

    /// `version` gives the version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ObjectVersion {
        self.current().map_or(0, |configuration| configuration.version)
    }

    /// `find` gives the newest record of a backend server, if it serves the service.
    ///
    /// A backend server whose address now belongs to another record is not found, neither is one
    /// of another service.
    #[must_use]
    #[inline]
    pub fn find(&self, service: ServiceId, id: BackendId) -> Option<&Backend> {
        self.reachable.get(&id).map(Arc::as_ref).filter(|record| record.service == service)
    }

    /// `find_incarnation` is like [`Self::find`], for one VM behind the record.
    #[must_use]
    pub fn find_incarnation(
        &self,
        service: ServiceId,
        id: BackendId,
        incarnation: Incarnation,
    ) -> Option<&Backend> {
        self.find(service, id).filter(|backend| backend.incarnation == incarnation)
    }

    /// `backend_services` gives the service of each backend server in any kept version.
    #[must_use]
    pub fn backend_services(&self) -> BTreeMap<BackendId, ServiceId> {
        let oldest_first = self.versions.iter().rev();

        oldest_first
            .flat_map(|configuration| configuration.backends())
            .map(|backend| (backend.id, backend.service))
            .collect()
    }
}
