//! Parameters of the request policy.

use std::time::Duration;

/// Algorithm that selects one of the backend servers with a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRule {
    /// The lowest occupancy, with slow backend servers last and ties broken by zone, then by hash.
    LeastOccupied,
    /// Uniformly random; a baseline for comparisons.
    Random,
    /// The less occupied of two random ones (power of two choices); a baseline for comparisons.
    TwoChoices,
}

/// Limits of waiting, retries and retained claims.
#[derive(Debug, Clone, Copy)]
pub struct RequestOptions {
    /// Maximum time from now to an accepted deadline; must be the same on all balancers.
    pub max_deadline: Duration,
    /// Minimum time to the deadline; a request with less is refused because it could not run in
    /// time.
    pub min_remaining: Duration,
    /// Maximum number of waiting requests per usable slot of the service.
    pub waiting_per_slot: usize,
    /// Maximum number of claims per service.
    pub max_claims: usize,
    /// Additional time that a bulk request waits at most, compared to an urgent request.
    pub bulk_extra_wait: Duration,
    /// Maximum number of attempts per request, the first one included.
    pub max_attempts: u16,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Maximum number of unused retries that accumulate.
    pub retry_burst: f64,
    /// Attempt timeout as a multiple of the mean run time; a repeatable request is then retried on
    /// another backend server.
    pub attempt_timeout_factor: f64,
    /// Lower bound of the attempt timeout.
    pub min_attempt_timeout: Duration,
    /// Time after the deadline for which a slot stays occupied if no answer arrives.
    pub slot_grace: Duration,
    /// Selection algorithm of backend servers.
    pub choice: ChoiceRule,
    /// Whether retransmissions of a request are matched against the claim table; `false` is a
    /// baseline for comparisons.
    pub claims: bool,
    /// Whether the outcome "not run" and the first run of a non-repeatable request need a claim
    /// table that covers the whole time in which the request may have been accepted; `false` is a
    /// baseline for comparisons.
    pub window: bool,
    /// Whether the end of the lease bounds the deadline of dispatches; `false` is a baseline for
    /// comparisons.
    pub fence: bool,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            max_deadline: Duration::from_secs(10),
            min_remaining: Duration::from_millis(5),
            waiting_per_slot: 50,
            max_claims: 200_000,
            bulk_extra_wait: Duration::from_millis(500),
            max_attempts: 4,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            attempt_timeout_factor: 10.0,
            min_attempt_timeout: Duration::from_millis(400),
            slot_grace: Duration::from_secs(2),
            choice: ChoiceRule::LeastOccupied,
            claims: true,
            window: true,
            fence: true,
        }
    }
}
