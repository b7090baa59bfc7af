//! The claims that an owner transfers to the next owner in a planned handover.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use super::claim::{Claim, ClaimState};
use super::request::{Refusal, Request};

/// Progress of a claim as the next owner takes it over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExportedState<P> {
    /// Certainly not run: the next owner runs it.
    Waiting,
    /// May be running: the previous owner answers it, and the next owner keeps retransmissions from
    /// running.
    Running,
    /// Answered: the next owner answers retransmissions.
    Answered(Vec<P>),
    /// Refused: the next owner repeats the refusal.
    Refused(Refusal),
}

/// One claim in transfer to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedClaim<P> {
    /// The request as the previous owner accepted it.
    pub request: Request<P>,
    /// Progress at the time of the transfer.
    pub state: ExportedState<P>,
}

impl<P: Clone> From<&Claim<P>> for ExportedClaim<P> {
    fn from(claim: &Claim<P>) -> Self {
        let state = match &claim.state {
            _ if claim.can_be_run_by_next_owner() => ExportedState::Waiting,
            ClaimState::Waiting | ClaimState::Running | ClaimState::RunningAtPreviousOwner => {
                ExportedState::Running
            }
            ClaimState::Answered(segments) => ExportedState::Answered(segments.clone()),
            ClaimState::Refused(refusal) => ExportedState::Refused(*refusal),
        };

        Self { request: claim.request.clone(), state }
    }
}

impl<P> ExportedClaim<P> {
    /// Converts into a claim of the next owner, and reports whether the request waits to be run.
    #[must_use]
    pub fn into_claim(self, kept_until: SystemTime) -> (Claim<P>, bool) {
        let waits = matches!(self.state, ExportedState::Waiting);
        let state = match self.state {
            ExportedState::Waiting => ClaimState::Waiting,
            ExportedState::Running => ClaimState::RunningAtPreviousOwner,
            ExportedState::Answered(segments) => ClaimState::Answered(segments),
            ExportedState::Refused(refusal) => ClaimState::Refused(refusal),
        };

        let claim = Claim {
            request: self.request,
            state,
            attempts: Vec::new(),
            queued: waits,
            covered: true,
            kept_until,
        };
        (claim, waits)
    }
}
