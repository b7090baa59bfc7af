//! State of one backend server for outlier detection.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ServiceName;

use super::outcome_count::{DecayingCount, OutcomeCount};
use super::outlier_detector::{NEGLIGIBLE_POOR, REPORT_PERIOD};

/// Duration of the first avoidance; doubled with each further one. Each balancer adds a random part
/// (see [`JITTER`]), so that the first balancer that tries the backend server again can warn the
/// others.
const BASE_AVOIDANCE: Duration = Duration::from_secs(4);

/// Maximum random addition to an avoidance, as a share of it.
const JITTER: f64 = 0.5;

/// Maximum number of doublings, which limits an avoidance to 32 s before jitter.
const MAX_DOUBLINGS: u32 = 3;

/// Time without failures after the end of an avoidance after which earlier failures no longer
/// count.
const FAILURE_MEMORY: Duration = Duration::from_secs(20);

/// Number of ordinary answers seen here, with almost no poor ones, that takes precedence over
/// reports of others: a backend server may fail only for the callers of one availability zone.
const OWN_ANSWERS_TO_TRUST: f64 = 4.0;

/// Request counts and avoidance of one backend server.
#[derive(Debug)]
pub(in crate::steering) struct OutlierRecord {
    pub(in crate::steering) service: ServiceName,
    /// Requests seen by this balancer.
    pub(in crate::steering) own: DecayingCount,
    /// Latest count reported by each other balancer.
    pub(in crate::steering) peer_counts: HashMap<SocketAddrV4, DecayingCount>,
    /// Time until which the counts are reported to others.
    pub(in crate::steering) report_counts_until: Option<Instant>,
    /// End of the current or latest avoidance.
    pub(in crate::steering) avoided_until: Option<Instant>,
    /// Time until which the avoidance is reported to others. An avoidance that was started by a
    /// report is not passed on.
    pub(in crate::steering) notify_until: Option<Instant>,
    /// Number of failures; starts again at 1 if none occurred for [`FAILURE_MEMORY`].
    failures: u32,
}

impl OutlierRecord {
    pub(in crate::steering) fn new(service: &str, now: Instant) -> Self {
        Self {
            service: service.to_owned(),
            own: DecayingCount::new(OutcomeCount::default(), now),
            peer_counts: HashMap::new(),
            report_counts_until: None,
            avoided_until: None,
            notify_until: None,
            failures: 0,
        }
    }

    pub(in crate::steering) fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| until > now)
    }

    pub(in crate::steering) fn total_count(&self, now: Instant) -> OutcomeCount {
        let counts = self.peer_counts.values().map(|count| count.at(now));

        counts.fold(self.own.at(now), |sum, count| sum.plus(&count))
    }

    /// Reports whether the requests seen here are so clearly good that counts of others are
    /// disregarded.
    pub(in crate::steering) fn is_healthy_here(&self, now: Instant) -> bool {
        let own = self.own.at(now);

        own.answered >= OWN_ANSWERS_TO_TRUST && own.poor < NEGLIGIBLE_POOR
    }

    pub(in crate::steering) fn has_failed_before(&self, now: Instant) -> bool {
        self.failures > 0 && self.avoided_until.is_some_and(|until| now < until + FAILURE_MEMORY)
    }

    /// Starts an avoidance because of the counts known here, and returns its duration.
    pub(in crate::steering) fn avoid(&mut self, draw: f64, now: Instant) -> Duration {
        self.failures = if self.has_failed_before(now) { self.failures + 1 } else { 1 };
        let time = BASE_AVOIDANCE * (1 << (self.failures - 1).min(MAX_DOUBLINGS));
        let time = time.mul_f64(1.0 + JITTER * draw);

        self.notify_until = Some(now + REPORT_PERIOD);
        self.avoid_until(now + time, now);
        time
    }

    /// Starts an avoidance because another balancer reports one, which may have seen more failures.
    pub(in crate::steering) fn avoid_as_reported(
        &mut self,
        left: Duration,
        draw: f64,
        now: Instant,
    ) {
        self.failures = self.failures.max(1);
        self.avoid_until(now + left.mul_f64(1.0 + JITTER * draw), now);
    }

    /// Sets the end of the avoidance, and clears the counts that led to it.
    fn avoid_until(&mut self, until: Instant, now: Instant) {
        self.avoided_until = Some(until);
        self.own = DecayingCount::new(OutcomeCount::default(), now);
        self.peer_counts.clear();
    }
}
