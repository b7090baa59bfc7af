//! Choice among the backend servers that may take a new flow.

use crate::steering::knowledge::backend_entry::BackendEntry;

/// A backend server that may take a new flow.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceCandidate<'a> {
    /// Entry of the backend server.
    pub entry: &'a BackendEntry,
    /// Load in requests per slot, including all penalties.
    pub load: f64,
    /// The same load as if its answers took the usual time.
    pub fast_load: f64,
    /// Time of its answers as a multiple of the usual time; included in the load.
    pub pace: f64,
    /// Reason to expect that it may not serve the flow.
    pub doubt: ChoiceDoubt,
}

/// Reason to expect that a backend server may not serve a flow, in ascending order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChoiceDoubt {
    /// No reason is known.
    None,
    /// It is suspected to be dead, or did not answer this flow before.
    Silent,
    /// Its entry is missing.
    Missing,
}

/// Returns the candidate with the least load; those in doubt come last. Ties are broken by the
/// draw, so that balancers with the same view do not all choose the same backend server.
#[must_use]
pub fn choose<'a>(candidates: &[ChoiceCandidate<'a>], draw: u64) -> Option<ChoiceCandidate<'a>> {
    let rank = |candidate: &ChoiceCandidate<'_>| {
        let tie = (candidate.entry.instance ^ draw).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (candidate.doubt, candidate.load, tie)
    };

    candidates
        .iter()
        .min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        })
        .copied()
}
