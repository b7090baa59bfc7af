//! The entries of backend servers, with the sums and orders over them that are kept by each change.
//!
//! What a balancer does each tick and for each message of another one looks at these, so that it costs no more with more backend
//! servers.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::ops::Bound;

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::backend_entry::{BackendEntry, BackendPhase};
use super::ready_backends::ReadyBackends;
use crate::rendezvous::mix;

/// `LivingDigest` is a number for a set of backend servers, the same at every balancer.
pub type LivingDigest = u64;

/// `EntryTable` holds the entries by incarnation.
#[derive(Debug, Default)]
pub(super) struct EntryTable {
    entries: HashMap<InstanceId, BackendEntry>,
    /// All of them in the order of their positions.
    by_position: BTreeSet<(StorePosition, InstanceId)>,
    /// All of them by address. No list is empty.
    by_address: HashMap<SocketAddrV4, Vec<InstanceId>>,
    /// Those that are gone.
    gone: BTreeSet<InstanceId>,
    /// Those that are missing and may return.
    missing: BTreeSet<InstanceId>,
    /// Those that take new flows.
    ready: ReadyBackends,
    /// Exclusive or of a number for each that is not gone.
    living: LivingDigest,
    /// Entries that were visited one by one, in all.
    visits: Cell<u64>,
}

impl EntryTable {
    /// Returns an entry.
    pub(super) fn get(&self, instance: InstanceId) -> Option<&BackendEntry> {
        self.entries.get(&instance)
    }

    /// Returns whether there is an entry.
    pub(super) fn contains(&self, instance: InstanceId) -> bool {
        self.entries.contains_key(&instance)
    }

    /// Inserts an entry, in place of the one of its incarnation.
    pub(super) fn insert(&mut self, entry: BackendEntry) {
        self.remove(entry.instance);

        self.index(&entry);
        self.entries.insert(entry.instance, entry);
    }

    /// Changes an entry. Returns what the change gives; none if there is no such entry.
    pub(super) fn change<T>(
        &mut self,
        instance: InstanceId,
        change: impl FnOnce(&mut BackendEntry) -> T,
    ) -> Option<T> {
        let mut entry = self.remove(instance)?;
        let given = change(&mut entry);

        self.index(&entry);
        self.entries.insert(instance, entry);
        Some(given)
    }

    /// Removes an entry, and returns it.
    pub(super) fn remove(&mut self, instance: InstanceId) -> Option<BackendEntry> {
        let entry = self.entries.remove(&instance)?;

        self.by_position.remove(&(entry.position, instance));
        if let Some(neighbors) = self.by_address.get_mut(&entry.address) {
            neighbors.retain(|neighbor| *neighbor != instance);
            if neighbors.is_empty() {
                self.by_address.remove(&entry.address);
            }
        }
        if !self.gone.remove(&instance) {
            self.living ^= mix(instance, 0);
        }
        self.missing.remove(&instance);
        if entry.phase == BackendPhase::Ready {
            self.ready.remove(&entry);
        }
        Some(entry)
    }

    fn index(&mut self, entry: &BackendEntry) {
        let instance = entry.instance;

        self.by_position.insert((entry.position, instance));
        self.by_address.entry(entry.address).or_default().push(instance);
        if entry.is_gone() {
            self.gone.insert(instance);
        } else {
            self.living ^= mix(instance, 0);
        }
        if entry.missing_until.is_some() {
            self.missing.insert(instance);
        }
        if entry.phase == BackendPhase::Ready {
            self.ready.insert(entry);
        }
    }

    /// Returns a number for those that are not gone.
    pub(super) fn living_digest(&self) -> LivingDigest {
        self.living
    }

    /// Returns those that take new flows.
    pub(super) fn ready(&self) -> &ReadyBackends {
        &self.ready
    }

    /// Returns all entries in the order of their positions.
    pub(super) fn all(&self) -> impl Iterator<Item = &BackendEntry> {
        self.visited(self.by_position.iter().map(|(_, instance)| instance))
    }

    /// Returns the entries with positions after one, in their order.
    pub(super) fn after(&self, position: StorePosition) -> impl Iterator<Item = &BackendEntry> {
        let begin = Bound::Excluded((position, InstanceId::MAX));
        let later = self.by_position.range((begin, Bound::Unbounded));

        self.visited(later.map(|(_, instance)| instance))
    }

    /// Returns the entries of an address.
    pub(super) fn at_address(&self, address: SocketAddrV4) -> impl Iterator<Item = &BackendEntry> {
        self.visited(self.by_address.get(&address).into_iter().flatten())
    }

    /// Returns the entries that are gone.
    pub(super) fn gone(&self) -> impl Iterator<Item = &BackendEntry> {
        self.visited(self.gone.iter())
    }

    /// Returns the entries that are missing and may return.
    pub(super) fn missing(&self) -> impl Iterator<Item = &BackendEntry> {
        self.visited(self.missing.iter())
    }

    /// Returns how many entries were visited one by one, in all. What is looked up costs the same with any number of them.
    pub(super) fn visits(&self) -> u64 {
        self.visits.get()
    }

    fn visited<'a>(
        &'a self,
        instances: impl Iterator<Item = &'a InstanceId>,
    ) -> impl Iterator<Item = &'a BackendEntry> {
        instances.filter_map(|instance| {
            self.visits.set(self.visits.get() + 1);
            self.entries.get(instance)
        })
    }
}
