//! The claims of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use valvestage_core::ids::RequestId;
use valvestage_core::time::Deadline;

use super::claim::Claim;

/// `ClaimTable` finds claims by request id and by the time of their next check.
#[derive(Debug, Clone)]
pub struct ClaimTable<P> {
    /// Ordered, so that the same events give the same decisions; callers choose the ids.
    claims: BTreeMap<RequestId, Claim<P>>,
    /// One entry a claim at the least: when it needs a look. Entries of claims that are gone are
    /// skipped.
    checks: BTreeSet<(Deadline, RequestId)>,
}

impl<P> Default for ClaimTable<P> {
    fn default() -> Self {
        Self { claims: BTreeMap::new(), checks: BTreeSet::new() }
    }
}

impl<P> ClaimTable<P> {
    /// `get` gives a claim.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Claim<P>> {
        self.claims.get(&id)
    }

    /// `get_mut` gives a claim to change.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Claim<P>> {
        self.claims.get_mut(&id)
    }

    /// `insert` adds a claim, with the time of its first check.
    pub fn insert(&mut self, claim: Claim<P>, check_at: Deadline) {
        let id = claim.request.id;

        self.checks.insert((check_at, id));
        self.claims.insert(id, claim);
    }

    /// `remove` forgets a claim.
    pub fn remove(&mut self, id: RequestId) -> Option<Claim<P>> {
        self.claims.remove(&id)
    }

    /// `check_at` asks for a look at a claim at a time.
    pub fn check_at(&mut self, id: RequestId, at: Deadline) {
        self.checks.insert((at, id));
    }

    /// `next_due` gives the next claim whose check is due.
    pub fn next_due(&mut self, now: SystemTime) -> Option<RequestId> {
        let (at, id) = *self.checks.first()?;
        if at > now {
            return None;
        }

        self.checks.pop_first();
        Some(id)
    }

    /// `len` counts the claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// `is_empty` tells whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// `iter` iterates over the claims by request id.
    pub fn iter(&self) -> impl Iterator<Item = &Claim<P>> {
        self.claims.values()
    }

    /// `iter_mut` iterates over the claims to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Claim<P>> {
        self.claims.values_mut()
    }
}
