//! Reasons why backend servers get no new flows at present.

use std::cell::Cell;

use crate::steering::packets::caller_packet::ResetReason;

/// Why a backend server that is ready for new flows gets none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) enum ExclusionReason {
    /// The backend server is in a region to which the address must not lead.
    OtherRegion,
    /// The availability zone of the backend server is evacuated.
    Evacuated,
    /// The backend server has just started, and this balancer's share of its rate is used up or 0.
    Cold,
}

/// Counts the backend servers that were excluded from the choice for one new flow, by reason.
#[derive(Debug, Default)]
pub(in crate::steering) struct ExclusionCounts {
    other_region: Cell<usize>,
    evacuated: Cell<usize>,
    cold: Cell<usize>,
}

impl ExclusionCounts {
    /// Counts a backend server if there is a reason to exclude it, and reports whether there is
    /// one.
    pub(in crate::steering) fn note(&self, cause: Option<ExclusionReason>) -> bool {
        let Some(cause) = cause else { return false };
        let count = match cause {
            ExclusionReason::OtherRegion => &self.other_region,
            ExclusionReason::Evacuated => &self.evacuated,
            ExclusionReason::Cold => &self.cold,
        };

        count.set(count.get() + 1);
        true
    }

    /// Returns the number of excluded backend servers.
    pub(in crate::steering) fn total(&self) -> usize {
        self.other_region.get() + self.evacuated.get() + self.cold.get()
    }

    /// Returns the reason to refuse a flow for which no backend server is left. Of several reasons,
    /// it is the one that is expected to pass first, since it tells the caller when to retry.
    pub(in crate::steering) fn reason(&self) -> ResetReason {
        if self.cold.get() > 0 {
            ResetReason::BackendsCold
        } else if self.evacuated.get() > 0 {
            ResetReason::ZonesEvacuated
        } else if self.other_region.get() > 0 {
            ResetReason::NoBackendInRegion
        } else {
            ResetReason::NoBackend
        }
    }
}
