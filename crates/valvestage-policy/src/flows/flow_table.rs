//! The table of flows that a balancer is home of.

use std::hash::{BuildHasherDefault, Hasher};

use hashbrown::HashMap;
use valvestage_core::ids::{BackendId, FlowKey};

/// `FlowEntry` binds one flow to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowEntry {
    /// The backend server; never changes while the flow lives.
    pub backend: BackendId,
    /// Unix seconds of the last packet; packets of one flow never turn it back.
    pub last_seen: u32,
}

/// `FlowTable` maps flow keys to backend servers.
#[derive(Debug, Clone, Default)]
pub struct FlowTable {
    entries: HashMap<FlowKey, FlowEntry, BuildHasherDefault<KeyHasher>>,
}

impl FlowTable {
    /// `with_capacity` makes room for that many flows.
    #[must_use]
    pub fn with_capacity(flows: usize) -> Self {
        Self { entries: HashMap::with_capacity_and_hasher(flows, BuildHasherDefault::default()) }
    }

    /// `get` gives the entry of a flow and marks it as seen.
    #[inline]
    pub fn get(&mut self, key: FlowKey, seen: u32) -> Option<FlowEntry> {
        let entry = self.entries.get_mut(&key)?;

        entry.last_seen = entry.last_seen.max(seen);
        Some(*entry)
    }

    /// `insert` binds a flow.
    pub fn insert(&mut self, key: FlowKey, entry: FlowEntry) {
        self.entries.insert(key, entry);
    }

    /// `insert_if_absent` binds a flow unless it is bound already.
    pub fn insert_if_absent(&mut self, key: FlowKey, entry: FlowEntry) {
        self.entries.entry(key).or_insert(entry);
    }

    /// `remove` forgets a flow.
    pub fn remove(&mut self, key: FlowKey) -> Option<FlowEntry> {
        self.entries.remove(&key)
    }

    /// `len` counts the flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether there is no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// `iter` iterates over the flows in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, FlowEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, *entry))
    }

    /// `drop_idle` forgets flows not seen since a time and gives their number.
    pub fn drop_idle(&mut self, seen_before: u32) -> usize {
        let before = self.entries.len();

        self.entries.retain(|_, entry| entry.last_seen >= seen_before);
        before - self.entries.len()
    }

    /// `allocated_bytes` gives the memory of the table.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        self.entries.allocation_size()
    }
}

/// `KeyHasher` passes flow keys through: they are keyed hashes already.
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
