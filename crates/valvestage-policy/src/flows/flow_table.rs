//! Table of the flows that a balancer is home of.

use std::hash::{BuildHasherDefault, Hasher};

use hashbrown::HashMap;
use valvestage_core::ids::{BackendId, FlowKey};

/// Entry that binds one flow to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowEntry {
    /// Backend server of the flow; never changes while the flow exists.
    pub backend: BackendId,
    /// Time of the last packet in Unix seconds; never decreases with further packets of the flow.
    pub last_seen: u32,
}

/// Map of flow keys to backend servers.
#[derive(Debug, Clone, Default)]
pub struct FlowTable {
    entries: HashMap<FlowKey, FlowEntry, BuildHasherDefault<KeyHasher>>,
}

impl FlowTable {
    /// Creates an empty table with room for that many flows.
    #[must_use]
    pub fn with_capacity(flows: usize) -> Self {
        Self { entries: HashMap::with_capacity_and_hasher(flows, BuildHasherDefault::default()) }
    }

    /// Returns the entry of a flow, and updates when it was last seen.
    #[inline]
    pub fn get(&mut self, key: FlowKey, seen: u32) -> Option<FlowEntry> {
        let entry = self.entries.get_mut(&key)?;

        entry.last_seen = entry.last_seen.max(seen);
        Some(*entry)
    }

    /// Binds a flow, replacing an earlier binding.
    pub fn insert(&mut self, key: FlowKey, entry: FlowEntry) {
        self.entries.insert(key, entry);
    }

    /// Binds a flow unless it is bound already.
    pub fn insert_if_absent(&mut self, key: FlowKey, entry: FlowEntry) {
        self.entries.entry(key).or_insert(entry);
    }

    /// Removes a flow, and returns its entry.
    pub fn remove(&mut self, key: FlowKey) -> Option<FlowEntry> {
        self.entries.remove(&key)
    }

    /// Returns the number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the table has no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the flows in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, FlowEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, *entry))
    }

    /// Removes flows last seen before a time, and returns how many were removed.
    pub fn drop_idle(&mut self, seen_before: u32) -> usize {
        let before = self.entries.len();

        self.entries.retain(|_, entry| entry.last_seen >= seen_before);
        before - self.entries.len()
    }

    /// Returns the size of the table's allocation in bytes.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        self.entries.allocation_size()
    }
}

/// Passes flow keys through unchanged, since they are keyed hashes already.
#[derive(Debug, Clone, Copy, Default)]
struct KeyHasher {
    key: u64,
}

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.key
    }

    fn write(&mut self, _bytes: &[u8]) {
        unreachable!("flow keys are written as one word");
    }

    fn write_u64(&mut self, key: u64) {
        self.key = key;
    }
}
