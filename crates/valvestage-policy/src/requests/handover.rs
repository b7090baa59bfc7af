//! What one owner hands to the next in a planned change.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use super::claim::{Claim, ClaimState};
use super::request::{Refusal, Request};

/// `HandedState` is the progress of a claim as the next owner takes it over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandedState<P> {
    /// Not sent anywhere: the next owner runs it.
    Waiting,
    /// Running: the former owner answers it, the next one only keeps copies from running.
    Running,
    /// Answered: the next owner answers retransmissions.
    Answered(Vec<P>),
    /// Given up: the next owner repeats the refusal.
    Refused(Refusal),
}

/// `HandedClaim` is one claim on its way to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedClaim<P> {
    /// The request.
    pub request: Request<P>,
    /// Its progress.
    pub state: HandedState<P>,
}

impl<P: Clone> From<&Claim<P>> for HandedClaim<P> {
    fn from(claim: &Claim<P>) -> Self {
        let state = match &claim.state {
            _ if claim.may_be_run_elsewhere() => HandedState::Waiting,
            ClaimState::Waiting | ClaimState::Running | ClaimState::Elsewhere => {
                HandedState::Running
            }
            ClaimState::Answered(segments) => HandedState::Answered(segments.clone()),
            ClaimState::Refused(refusal) => HandedState::Refused(*refusal),
        };

        Self { request: claim.request.clone(), state }
    }
}

impl<P> HandedClaim<P> {
    /// `into_claim` gives the claim as the next owner keeps it, and whether it waits to run.
    #[must_use]
    pub fn into_claim(self, kept_until: SystemTime) -> (Claim<P>, bool) {
        let waits = matches!(self.state, HandedState::Waiting);
        let state = match self.state {
            HandedState::Waiting => ClaimState::Waiting,
            HandedState::Running => ClaimState::Elsewhere,
            HandedState::Answered(segments) => ClaimState::Answered(segments),
            HandedState::Refused(refusal) => ClaimState::Refused(refusal),
        };

        let claim = Claim {
            request: self.request,
            state,
            tries: Vec::new(),
            queued: waits,
            covered: true,
            kept_until,
        };
        (claim, waits)
    }
}
