//! Test oracle: collects the checks of each promise and the violations.

use std::collections::BTreeMap;

use valvestage_core::ids::RequestId;

/// Promise that the system makes to callers and operators, and that the cells check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    FlowSurvivesPlannedChange,
    NeverWrongService,
    CompleteOwnAnswer,
    NotRunIsTrue,
    RunsAtMostOnce,
    LeavingBackendGetsNoNewWork,
    PlannedStopKeepsRequests,
    ConfigurationInForceAndNeverReverts,
    SlotsAreNeverExceeded,
    CutOffZoneKeepsServing,
    ServesAgainAfterFault,
    OneOperatorWins,
}

impl Promise {
    pub const ALL: [Self; 12] = [
        Self::FlowSurvivesPlannedChange,
        Self::NeverWrongService,
        Self::CompleteOwnAnswer,
        Self::NotRunIsTrue,
        Self::RunsAtMostOnce,
        Self::LeavingBackendGetsNoNewWork,
        Self::PlannedStopKeepsRequests,
        Self::ConfigurationInForceAndNeverReverts,
        Self::SlotsAreNeverExceeded,
        Self::CutOffZoneKeepsServing,
        Self::ServesAgainAfterFault,
        Self::OneOperatorWins,
    ];

    pub fn label(self) -> &'static str {
        match self {
            Self::FlowSurvivesPlannedChange => "an established flow survives any planned change",
            Self::NeverWrongService => "a packet never reaches the wrong service",
            Self::CompleteOwnAnswer => "everyone gets the whole answer to their own request",
            Self::NotRunIsTrue => "\"not run\" is true",
            Self::RunsAtMostOnce => "what may not be repeated runs at most once",
            Self::LeavingBackendGetsNoNewWork => {
                "a leaving backend server gets no new work after 4 s"
            }
            Self::PlannedStopKeepsRequests => "a planned stop cuts no request in progress",
            Self::ConfigurationInForceAndNeverReverts => {
                "a configuration is in force within 4 s and never reverts"
            }
            Self::SlotsAreNeverExceeded => "no backend server runs more than its slots",
            Self::CutOffZoneKeepsServing => "a zone that is cut off goes on serving what it can",
            Self::ServesAgainAfterFault => "everything is served again after the fault",
            Self::OneOperatorWins => "of two operators one wins, and the other is told",
        }
    }
}

/// Broken promise, with a description of what happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub promise: Promise,
    pub description: String,
    /// Request concerned, for promises about requests.
    pub request: Option<RequestId>,
}

/// Counts the checks and keeps the first violation of each promise.
#[derive(Debug, Default)]
pub struct Oracle {
    first_violations: BTreeMap<Promise, (String, Option<RequestId>)>,
    /// Number of checks of each promise that the cell could have broken.
    pub checked: BTreeMap<Promise, u64>,
}

impl Oracle {
    /// Counts a check of a promise and records a violation if the promise does not hold.
    pub fn check(&mut self, promise: Promise, holds: bool, description: impl FnOnce() -> String) {
        *self.checked.entry(promise).or_insert(0) += 1;

        if !holds {
            self.first_violations.entry(promise).or_insert_with(|| (description(), None));
        }
    }

    /// Does the same as [`Self::check`], and names the request concerned in the violation.
    pub fn check_request(
        &mut self,
        promise: Promise,
        id: RequestId,
        holds: bool,
        description: impl FnOnce() -> String,
    ) {
        self.check(promise, holds, description);

        if !holds && let Some((_, request)) = self.first_violations.get_mut(&promise) {
            request.get_or_insert(id);
        }
    }

    pub fn violations(&self) -> Vec<Violation> {
        let to_violation =
            |(promise, (text, request)): (&Promise, &(String, Option<RequestId>))| Violation {
                promise: *promise,
                description: text.clone(),
                request: *request,
            };

        self.first_violations.iter().map(to_violation).collect()
    }
}
