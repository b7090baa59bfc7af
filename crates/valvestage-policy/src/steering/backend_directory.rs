//! All backend servers that are known, the gone ones among them.

use std::collections::HashMap;
use std::time::Instant;

use valvestage_core::ids::{InstanceId, ShortToken};

use super::backend_entry::{BackendEntry, BackendPhase};

/// `BackendDirectory` holds the backend servers by incarnation and by token.
#[derive(Debug, Default)]
pub struct BackendDirectory {
    entries: HashMap<InstanceId, BackendEntry>,
    /// The incarnation that each token names. Where two have the same token, the first one known
    /// keeps it until it is forgotten.
    tokens: HashMap<ShortToken, InstanceId>,
}

impl BackendDirectory {
    /// `token_of` gives the token of an incarnation, the same at every balancer; never 0.
    #[must_use]
    pub fn token_of(instance: InstanceId) -> ShortToken {
        // Fibonacci hashing: spreads ids that differ in few bits over all 32 bits.
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        let hash = instance.wrapping_mul(GOLDEN_RATIO) >> 32;

        ShortToken::try_from(hash).unwrap_or(ShortToken::MAX).max(1)
    }

    /// `put` adds or replaces an entry.
    pub fn put(&mut self, entry: BackendEntry) {
        let token = Self::token_of(entry.instance);

        self.tokens.entry(token).or_insert(entry.instance);
        self.entries.insert(entry.instance, entry);
    }

    /// `mark_gone` marks an entry as missing; one that is missing already keeps its time.
    pub fn mark_gone(&mut self, instance: InstanceId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&instance)
            && !matches!(entry.phase, BackendPhase::Gone { .. })
        {
            entry.phase = BackendPhase::Gone { since: now };
        }
    }

    /// `forget_gone` removes the entries that are missing since before a time.
    pub fn forget_gone(&mut self, before: Instant) {
        let entries = &mut self.entries;

        entries.retain(
            |_, entry| !matches!(entry.phase, BackendPhase::Gone { since } if since < before),
        );
        self.tokens.retain(|_, instance| entries.contains_key(instance));
    }

    /// `get` gives an entry.
    #[must_use]
    pub fn get(&self, instance: InstanceId) -> Option<&BackendEntry> {
        self.entries.get(&instance)
    }

    /// `by_token` gives the entry that a token names.
    #[must_use]
    pub fn by_token(&self, token: ShortToken) -> Option<&BackendEntry> {
        self.tokens.get(&token).and_then(|instance| self.entries.get(instance))
    }

    /// `owns_token` tells whether flows on an incarnation can be steered by its token.
    #[must_use]
    pub fn owns_token(&self, instance: InstanceId) -> bool {
        self.tokens.get(&Self::token_of(instance)) == Some(&instance)
    }

    /// `iter` gives all entries.
    pub fn iter(&self) -> impl Iterator<Item = &BackendEntry> {
        self.entries.values()
    }
}
