//! Limits of the request policy.

use std::time::Duration;

/// `ChoiceRule` picks among the backend servers with a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// The lowest occupancy, the faster one on a tie, slow ones last.
    LeastOccupied,
    /// Any, with equal probability; a baseline.
    Random,
    /// The lower occupancy of two drawn at random; a baseline.
    TwoChoices,
}

/// `RequestOptions` bounds waiting, tries and what is kept.
#[derive(Debug, Clone, Copy)]
pub struct RequestOptions {
    /// Furthest deadline ahead that is accepted; all balancers must agree on it.
    pub max_deadline: Duration,
    /// A deadline nearer than this leaves no time to run.
    pub min_remaining: Duration,
    /// Requests that may wait per slot of the service.
    pub waiting_per_slot: usize,
    /// Claims kept per service.
    pub max_claims: usize,
    /// How much longer than an urgent request a bulk request waits at the most.
    pub bulk_patience: Duration,
    /// Tries of one request, the first included.
    pub max_tries: u16,
    /// Retries granted per first try.
    pub retry_ratio: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// A repeatable request is tried elsewhere after this multiple of the usual run time.
    pub try_timeout_factor: f64,
    /// The shortest time before a repeatable request is tried elsewhere.
    pub min_try_timeout: Duration,
    /// How long after the deadline a slot is held for an answer that does not come.
    pub slot_grace: Duration,
    /// How a backend server is chosen.
    pub choice: ChoiceRule,
    /// Whether requests that may not be repeated need the claim table; off, a baseline.
    pub claims: bool,
    /// Whether "not run" and a first run need a claim table that covers the request's window; off,
    /// a baseline.
    pub window: bool,
    /// Whether dispatches carry the lease's end as deadline; off, a baseline.
    pub fence: bool,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            max_deadline: Duration::from_secs(10),
            min_remaining: Duration::from_millis(5),
            waiting_per_slot: 50,
            max_claims: 200_000,
            bulk_patience: Duration::from_millis(500),
            max_tries: 4,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            try_timeout_factor: 10.0,
            min_try_timeout: Duration::from_millis(400),
            slot_grace: Duration::from_secs(2),
            choice: ChoiceRule::LeastOccupied,
            claims: true,
            window: true,
            fence: true,
        }
    }
}
