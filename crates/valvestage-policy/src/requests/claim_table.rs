//! The claims of the requests of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use valvestage_core::ids::RequestId;
use valvestage_core::time::Deadline;

use super::claim::Claim;

/// Claims of one service, indexed by request id and by the time of their next check.
#[derive(Debug, Clone)]
pub struct ClaimTable<P> {
    /// Ordered, so that the same events give the same decisions: the callers choose the ids.
    claims: BTreeMap<RequestId, Claim<P>>,
    /// Due times of checks, at least one per claim. Entries of removed claims are skipped.
    checks: BTreeSet<(Deadline, RequestId)>,
}

impl<P> Default for ClaimTable<P> {
    fn default() -> Self {
        Self { claims: BTreeMap::new(), checks: BTreeSet::new() }
    }
}

impl<P> ClaimTable<P> {
    /// Returns the claim of a request.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Claim<P>> {
        self.claims.get(&id)
    }

    /// Returns the claim of a request for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Claim<P>> {
        self.claims.get_mut(&id)
    }

    /// Adds a claim and schedules its first check.
    pub fn insert(&mut self, claim: Claim<P>, check_at: Deadline) {
        let id = claim.request.id;

        self.checks.insert((check_at, id));
        self.claims.insert(id, claim);
    }

    /// Removes the claim of a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Claim<P>> {
        self.claims.remove(&id)
    }

    /// Schedules a check of a claim.
    pub fn check_at(&mut self, id: RequestId, at: Deadline) {
        self.checks.insert((at, id));
    }

    /// Removes the next due check from the schedule and returns the request to check.
    pub fn next_due(&mut self, now: SystemTime) -> Option<RequestId> {
        let (at, id) = *self.checks.first()?;
        if at > now {
            return None;
        }

        self.checks.pop_first();
        Some(id)
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Reports whether the table has no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Iterates over the claims in the order of their request ids.
    pub fn iter(&self) -> impl Iterator<Item = &Claim<P>> {
        self.claims.values()
    }

    /// Iterates over the claims in the order of their request ids, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Claim<P>> {
        self.claims.values_mut()
    }
}
