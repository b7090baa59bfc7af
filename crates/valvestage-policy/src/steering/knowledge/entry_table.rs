//! The entries of backend servers, with indexes and sums over them that each change updates.
//!
//! The work of each tick and for each message of a peer uses these, so that its cost does not grow
//! with the number of backend servers.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::ops::Bound;

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::backend_entry::{BackendEntry, BackendPhase};
use super::ready_backends::ReadyBackends;
use crate::rendezvous::mix;

/// Digest of a set of backend servers, the same at every balancer.
pub type LiveDigest = u64;

/// Counts of entries that say when their processes were born, and of those that don't.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct BirthCount {
    /// Number of entries with a birth whose processes may be alive.
    with_birth: usize,
    /// Number of such entries without a birth.
    without_birth: usize,
}

impl BirthCount {
    /// Reports whether most entries say when their processes were born.
    pub(super) fn has_majority_with_birth(self) -> bool {
        self.with_birth > self.without_birth
    }

    /// Returns the count to which an entry belongs; `None` if its process has ended for good.
    fn count_of(&mut self, entry: &BackendEntry) -> Option<&mut usize> {
        let count =
            if entry.born.is_some() { &mut self.with_birth } else { &mut self.without_birth };

        (!entry.has_left_or_was_superseded()).then_some(count)
    }
}

/// The entries by incarnation, with their indexes.
#[derive(Debug, Default)]
pub(super) struct EntryTable {
    entries: HashMap<InstanceId, BackendEntry>,
    /// All entries in the order of their positions.
    by_position: BTreeSet<(StorePosition, InstanceId)>,
    /// All entries by address. No list is empty.
    by_address: HashMap<SocketAddrV4, Vec<InstanceId>>,
    /// Entries that are gone.
    gone: BTreeSet<InstanceId>,
    /// Entries that are missing and may return.
    missing: BTreeSet<InstanceId>,
    /// Backend servers that take new flows.
    ready: ReadyBackends,
    /// Exclusive or of a hash of each incarnation that is not gone.
    live_digest: LiveDigest,
    /// Which of the entries that may be of living processes say when these were born.
    births: BirthCount,
    /// Number of entries that were visited one by one, in total.
    visits: Cell<u64>,
}

impl EntryTable {
    /// Returns the entry of an incarnation.
    pub(super) fn get(&self, instance: InstanceId) -> Option<&BackendEntry> {
        self.entries.get(&instance)
    }

    /// Reports whether an incarnation has an entry.
    pub(super) fn contains(&self, instance: InstanceId) -> bool {
        self.entries.contains_key(&instance)
    }

    /// Inserts an entry, in place of the previous one of its incarnation.
    pub(super) fn insert(&mut self, entry: BackendEntry) {
        self.remove(entry.instance);

        self.index(&entry);
        self.entries.insert(entry.instance, entry);
    }

    /// Applies a change to an entry. Returns the result of the change, or `None` if there is no
    /// such entry.
    pub(super) fn change<T>(
        &mut self,
        instance: InstanceId,
        change: impl FnOnce(&mut BackendEntry) -> T,
    ) -> Option<T> {
        let mut entry = self.remove(instance)?;
        let result = change(&mut entry);

        self.index(&entry);
        self.entries.insert(instance, entry);
        Some(result)
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
            self.live_digest ^= mix(instance, 0);
        }
        self.missing.remove(&instance);
        if let Some(count) = self.births.count_of(&entry) {
            *count -= 1;
        }
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
            self.live_digest ^= mix(instance, 0);
        }
        if entry.missing_until.is_some() {
            self.missing.insert(instance);
        }
        if let Some(count) = self.births.count_of(entry) {
            *count += 1;
        }
        if entry.phase == BackendPhase::Ready {
            self.ready.insert(entry);
        }
    }

    /// Returns a digest of the incarnations that are not gone.
    pub(super) fn live_digest(&self) -> LiveDigest {
        self.live_digest
    }

    /// Returns how many entries that may be of living processes say when these were born.
    pub(super) fn births(&self) -> BirthCount {
        self.births
    }

    /// Returns the backend servers that take new flows.
    pub(super) fn ready(&self) -> &ReadyBackends {
        &self.ready
    }

    /// Returns all entries in the order of their positions.
    pub(super) fn all(&self) -> impl Iterator<Item = &BackendEntry> {
        self.visited(self.by_position.iter().map(|(_, instance)| instance))
    }

    /// Returns the entries with later positions, or with higher incarnations at the same position,
    /// in this order.
    pub(super) fn after(
        &self,
        position: StorePosition,
        instance: InstanceId,
    ) -> impl Iterator<Item = &BackendEntry> {
        let begin = Bound::Excluded((position, instance));
        let later = self.by_position.range((begin, Bound::Unbounded));

        self.visited(later.map(|(_, instance)| instance))
    }

    /// Returns the entries at an address.
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

    /// Returns how many entries were visited one by one, in total. Direct lookups do not count, as
    /// they cost the same with any number of entries.
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
