//! The most recent configuration versions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hashbrown::HashMap;
use valvestage_core::ids::{BackendId, Incarnation, ObjectVersion, ServiceId};
use valvestage_core::{Backend, Configuration};

/// Number of versions kept, including the one in force.
const KEPT_VERSIONS: usize = 4;

/// Configuration in force, and those before it.
///
/// Invariant with `newest_only`: versions strictly decrease from front to back, so that the
/// configuration in force never reverts.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHistory {
    versions: VecDeque<Arc<Configuration>>,
    /// Newest record of each backend server in any kept version, unless its address belongs to
    /// another record by now.
    reachable: HashMap<BackendId, Arc<Backend>>,
}

impl ConfigurationHistory {
    /// Puts a configuration in force if it is newer than the present one. Without `newest_only`,
    /// the baseline behaviour of experiments, an older one is accepted as well. Returns whether it
    /// was put in force.
    pub fn install(&mut self, configuration: Arc<Configuration>, newest_only: bool) -> bool {
        let is_accepted = if newest_only {
            configuration.version > self.version()
        } else {
            configuration.version != self.version()
        };
        if !is_accepted {
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

    /// Returns the configuration in force, or `None` before the first one.
    #[must_use]
    #[inline]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.versions.front()
    }

    /// Returns the version in force, or 0 before the first configuration.
    #[must_use]
    pub fn version(&self) -> ObjectVersion {
        self.current().map_or(0, |configuration| configuration.version)
    }

    /// Returns the newest record of a backend server of the service.
    ///
    /// Returns `None` if the backend server belongs to another service, or its address belongs to
    /// another record by now.
    #[must_use]
    #[inline]
    pub fn find(&self, service: ServiceId, id: BackendId) -> Option<&Backend> {
        self.reachable.get(&id).map(Arc::as_ref).filter(|record| record.service == service)
    }

    /// Like [`Self::find`], but returns the record only if it is of the given incarnation, that is,
    /// of the same VM.
    #[must_use]
    pub fn find_incarnation(
        &self,
        service: ServiceId,
        id: BackendId,
        incarnation: Incarnation,
    ) -> Option<&Backend> {
        self.find(service, id).filter(|backend| backend.incarnation == incarnation)
    }

    /// Returns the service of each backend server in any kept version.
    #[must_use]
    pub fn backend_services(&self) -> BTreeMap<BackendId, ServiceId> {
        let oldest_first = self.versions.iter().rev();

        oldest_first
            .flat_map(|configuration| configuration.backends())
            .map(|backend| (backend.id, backend.service))
            .collect()
    }
}
