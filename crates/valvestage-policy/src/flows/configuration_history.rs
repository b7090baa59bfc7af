//! The last few configuration versions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use valvestage_core::ids::{BackendId, FlowKey, Incarnation, ObjectVersion, ServiceId};
use valvestage_core::{Backend, Configuration};

use super::placement::place;

/// Versions kept, the one in force included.
const KEPT_VERSIONS: usize = 4;

/// `ConfigurationHistory` holds the configuration in force and those before it.
///
/// Invariant: versions strictly fall from front to back, so that what is in force never reverts.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHistory {
    versions: VecDeque<Arc<Configuration>>,
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
        true
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

    /// `find` gives a backend server of a service from the newest version that has it.
    ///
    /// Only the record in force counts for the service: an address or id that now serves another
    /// service is not found.
    #[must_use]
    #[inline]
    pub fn find(&self, service: ServiceId, id: BackendId) -> Option<&Backend> {
        let newest = self.versions.iter().find_map(|configuration| configuration.backend(id))?;
        if newest.service != service {
            return None;
        }

        // The address may have been given to another record since.
        let holder = self.current()?.backend_at(newest.address);
        holder.is_none_or(|holder| holder.id == newest.id).then_some(newest)
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

    /// `placements` gives the distinct placements of a flow, newest version first.
    pub fn placements(&self, service: ServiceId, key: FlowKey) -> Vec<BackendId> {
        let mut placements = Vec::with_capacity(self.versions.len());

        for configuration in &self.versions {
            if let Some(backend) = place(configuration, service, key, |_| true)
                && !placements.contains(&backend)
            {
                placements.push(backend);
            }
        }

        placements
    }
}
