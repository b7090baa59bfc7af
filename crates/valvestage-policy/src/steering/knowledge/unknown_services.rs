//! Entries of services that no configuration is known to name.
//!
//! Another writer may have left such an entry under the name or at the address of a live backend
//! server, so it ends none. A real successor may write one as well, if its service is in a
//! configuration that is not known here yet: before the first configuration that is so for every
//! service. It ends the backend servers before it once a configuration names its service.

use std::collections::HashSet;
use std::time::Instant;

use valvestage_core::ids::{InstanceId, ServiceName};

use super::backend_directory::BackendDirectory;
use super::backend_entry::BackendEntry;

impl BackendDirectory {
    /// Sets which services the configuration in force names.
    pub fn set_services(&mut self, services: HashSet<ServiceName>) {
        self.services = Some(services);
    }

    /// Reports whether an entry's service is neither named by the configuration nor the service of
    /// a known entry with the same name or address.
    pub(super) fn has_unknown_service(&self, entry: &BackendEntry) -> bool {
        let is_known = |other: &BackendEntry| other.service == entry.service;

        !self.is_service_named(entry) && !self.with_name_or_address_of(entry).any(is_known)
    }

    fn is_service_named(&self, entry: &BackendEntry) -> bool {
        self.services.as_ref().is_some_and(|services| services.contains(&entry.service))
    }

    /// Applies an entry of an unknown service. The flows of the other incarnations of its name
    /// stay, and new flows go elsewhere. Returns the incarnations whose known state changed.
    pub(super) fn apply_unknown_service_entry(&mut self, entry: BackendEntry) -> Vec<InstanceId> {
        let instance = entry.instance;
        let is_new = self.is_complete() && !self.entries.contains(instance);
        let holds_address = is_new && self.entries.at_address(entry.address).next().is_some();
        let mut changed: Vec<_> =
            self.other_incarnations(&entry).map(|other| other.instance).collect();
        if holds_address || !changed.is_empty() {
            self.awaiting_service.entry(instance).or_insert(is_new);
        }
        changed.retain(|other| self.mark_unusable(*other, entry.position));

        if self.put(entry) {
            changed.push(instance);
        }
        changed
    }

    /// Ends the backend servers before each entry whose service has become known since it was
    /// applied. Returns the incarnations that were not known as gone.
    pub fn resolve_named_services(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_named = |instance: &InstanceId| {
            self.entries.get(*instance).is_none_or(|entry| self.is_service_named(entry))
        };
        let named: Vec<_> = self.awaiting_service.keys().copied().filter(is_named).collect();

        let mut ended = Vec::new();
        for instance in named {
            let was_new = self.awaiting_service.remove(&instance) == Some(true);
            let Some(entry) = self.entries.get(instance).cloned() else { continue };
            if entry.is_gone() || self.is_older_incarnation(&entry, now) {
                continue;
            }
            ended.extend(self.end_older_incarnations(&entry, now));
            if was_new {
                ended.extend(self.end_predecessors(&entry, now));
            }
        }
        ended
    }
}
