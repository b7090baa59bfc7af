//! Detection of backend servers that fail more of their requests than the others of their service.
//!
//! A balancer does not read answers. It sees how many bytes of each answer callers acknowledge and
//! how long they wait. An error is usually much shorter than a regular answer; a request that
//! hangs, or whose flow the backend server broke off, gets no answer. Both may also have legitimate
//! causes, but these affect all backend servers alike, so only a share far above that of the others
//! counts. With many balancers each one sees few requests, so they exchange their counts of the
//! backend servers in question.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ServiceName};

use super::outcome_count::{DecayingCount, OutcomeCount};
use super::outlier_record::OutlierRecord;
use crate::steering::decision::Decision;
use crate::steering::peers::peer_message::{AvoidanceReport, OutcomeReport};
use crate::steering::seeded_draw::SeededDraw;

/// Standard deviations by which the number of poor requests has to exceed the number expected from
/// the share of the others. Some answers are short without a fault: at [`MIN_EXPECTED_SHARE`],
/// three of 15 requests are poor by chance in one of 300 cases, so three of 15 are not sufficient.
const DEVIATIONS: f64 = 2.5;

/// Additional poor requests required on top of the deviations.
const MARGIN: f64 = 2.0;

/// Minimum expected share, used if the others had hardly any poor requests.
const MIN_EXPECTED_SHARE: f64 = 0.02;

/// Share of poor requests from which on a backend server that has failed before counts as failing
/// again, given at least [`RETURN_POOR`] poor requests.
const RETURN_SHARE: f64 = 0.2;

/// Number of poor requests that is sufficient after an earlier failure.
const RETURN_POOR: f64 = 1.0;

/// Factor by which the poor requests then have to exceed the expected number.
const RETURN_FACTOR: f64 = 3.0;

/// Number of poor requests seen by one balancer from which on it reports its counts, and thereby
/// asks the others for theirs.
const POOR_TO_REQUEST_COUNTS: f64 = 0.9;

/// How long a count reported by another balancer is used. In the largest reference deployment, each
/// balancer hears from two thirds of the others within this time.
const PEER_COUNT_TTL: Duration = Duration::from_secs(6);

/// How long counts are reported after they were asked for, and avoidances after they began.
pub(in crate::steering) const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Number of poor requests below which a backend server counts as free of failures.
pub(in crate::steering) const NEGLIGIBLE_POOR: f64 = 0.5;

/// Longest avoidance that a report of another balancer can start.
const MAX_PEER_AVOIDANCE: Duration = Duration::from_secs(48);

/// Maximum number of backend servers reported in a heartbeat, for counts and for avoidances each. A
/// count takes some 11 bytes, an avoidance 8. With 16 of each, control traffic took up to 5 KB per
/// second while many fail; with 8, no fewer requests are served in simulations in which a quarter
/// of all backend servers fail (docs/DECISIONS.md).
const MAX_REPORTS: usize = 8;

/// Outlier detector that compares the backend servers of each service.
#[derive(Debug)]
pub struct OutlierDetector {
    records: HashMap<InstanceId, OutlierRecord>,
    /// Requests seen here, summed over all backend servers of a service.
    services: HashMap<ServiceName, DecayingCount>,
    draw: SeededDraw,
}

impl OutlierDetector {
    /// Creates a detector without observations. The seed is for the random part of avoidance times.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { records: HashMap::new(), services: HashMap::new(), draw: SeededDraw::new(seed) }
    }

    /// Records how a request ended, and returns the decision if the backend server is avoided from
    /// now on.
    pub fn observe(
        &mut self,
        instance: InstanceId,
        service: &str,
        is_poor: bool,
        now: Instant,
    ) -> Option<Decision> {
        let record =
            self.records.entry(instance).or_insert_with(|| OutlierRecord::new(service, now));
        let all = self.services.get(service).map(|count| count.at(now));
        let others = all.unwrap_or_default().minus(&record.own.at(now));
        let expected = others.poor_share().max(MIN_EXPECTED_SHARE);
        let poor = if is_poor { 1.0 } else { 0.0 };
        let one = OutcomeCount { answered: 1.0 - poor, poor, expected };
        record.own.add(&one, now);
        if record.own.at(now).poor >= POOR_TO_REQUEST_COUNTS {
            record.report_counts_until = Some(now + REPORT_PERIOD);
        }
        let none = || DecayingCount::new(OutcomeCount::default(), now);
        self.services.entry(service.to_owned()).or_insert_with(none).add(&one, now);

        if is_poor { self.judge(instance, now) } else { None }
    }

    /// Records the counts that another balancer reports, and returns the decisions about backend
    /// servers that are avoided from now on.
    pub fn on_peer_counts(
        &mut self,
        peer: SocketAddrV4,
        reports: &[OutcomeReport],
        now: Instant,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();

        for report in reports {
            // Without requests from this balancer to the backend server, there is nothing to
            // decide.
            let Some(record) = self.records.get_mut(&report.instance) else { continue };
            let count = report.count();
            if count.poor >= POOR_TO_REQUEST_COUNTS {
                record.report_counts_until = Some(now + REPORT_PERIOD);
            }
            if record.is_avoided(now) {
                continue;
            }
            record.peer_counts.insert(peer, DecayingCount::new(count, now));
            decisions.extend(self.judge(report.instance, now));
        }
        decisions
    }

    /// Records which backend servers another balancer has begun to avoid, and returns the decisions
    /// about those that are avoided here, too, from now on.
    pub fn on_peer_avoidances(
        &mut self,
        peer: SocketAddrV4,
        reports: &[AvoidanceReport],
        now: Instant,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();

        for AvoidanceReport { instance, left_ms } in reports {
            let Some(record) = self.records.get_mut(instance) else { continue };
            if record.is_avoided(now) || record.is_healthy_here(now) {
                continue;
            }
            let left = Duration::from_millis((*left_ms).into()).min(MAX_PEER_AVOIDANCE);
            record.avoid_as_reported(left, self.draw.unit(), now);
            decisions.push(Decision::AvoidedByPeer { instance: *instance, peer, left });
        }
        decisions
    }

    /// Returns the avoidances to report to other balancers, the latest first.
    #[must_use]
    pub fn avoidances(&self, now: Instant) -> Vec<AvoidanceReport> {
        let is_reported =
            |record: &OutlierRecord| record.notify_until.is_some_and(|until| until > now);
        let sent = self.records.iter().filter(|(_, record)| is_reported(record));
        let mut sent: Vec<_> = sent.collect();
        sent.sort_unstable_by_key(|(instance, record)| (Reverse(record.notify_until), **instance));
        let reports = sent.into_iter().filter_map(|(instance, record)| {
            let left = record.avoided_until?.saturating_duration_since(now);
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            Some(AvoidanceReport { instance: *instance, left_ms })
        });

        reports.take(MAX_REPORTS).collect()
    }

    /// Returns the counts to report to other balancers, those with the most poor requests first.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<OutcomeReport> {
        let is_requested =
            |record: &OutlierRecord| record.report_counts_until.is_some_and(|until| until > now);
        let requested = self.records.iter().filter(|(_, record)| is_requested(record));
        let reports = requested.map(|(instance, record)| (*instance, record.own.at(now)));
        let mut reports: Vec<_> =
            reports.filter(|(_, count)| count.total() >= NEGLIGIBLE_POOR).collect();

        reports.sort_by(|(a, first), (b, second)| {
            second.poor.total_cmp(&first.poor).then_with(|| a.cmp(b))
        });
        reports.truncate(MAX_REPORTS);
        reports.into_iter().map(|(instance, count)| OutcomeReport::new(instance, &count)).collect()
    }

    /// Reports whether a backend server is avoided, so that it gets new flows only if the others
    /// are much busier.
    #[must_use]
    pub fn is_avoided(&self, instance: InstanceId, now: Instant) -> bool {
        self.records.get(&instance).is_some_and(|record| record.is_avoided(now))
    }

    /// Returns the number of backend servers that are avoided.
    #[must_use]
    pub fn avoided_count(&self, now: Instant) -> usize {
        self.records.values().filter(|record| record.is_avoided(now)).count()
    }

    /// Removes the records of all backend servers for which `keep` returns false, and outdated
    /// counts of other balancers.
    pub fn forget(&mut self, keep: impl Fn(InstanceId) -> bool, now: Instant) {
        self.records.retain(|instance, _| keep(*instance));
        for record in self.records.values_mut() {
            record.peer_counts.retain(|_, count| count.age(now) < PEER_COUNT_TTL);
        }
        let records = &self.records;
        self.services.retain(|service, _| records.values().any(|r| r.service == *service));
    }

    fn judge(&mut self, instance: InstanceId, now: Instant) -> Option<Decision> {
        let record = self.records.get_mut(&instance)?;
        if record.is_avoided(now) {
            return None;
        }

        let own = record.own.at(now);
        let has_failed = record.has_failed_before(now);
        record.peer_counts.retain(|_, count| count.age(now) < PEER_COUNT_TTL);
        let known = record.total_count(now);
        let is_outlier = stands_out(&own, has_failed)
            || !record.is_healthy_here(now) && stands_out(&known, has_failed);
        if !is_outlier {
            return None;
        }

        let reporting_peers = record.peer_counts.len();
        let avoided_for = record.avoid(self.draw.unit(), now);
        Some(Decision::Avoided { instance, count: known, reporting_peers, avoided_for })
    }
}

/// Reports whether far more requests were poor than expected from the other backend servers.
fn stands_out(count: &OutcomeCount, has_failed: bool) -> bool {
    let OutcomeCount { poor, expected, .. } = *count;
    let is_back = poor >= RETURN_POOR
        && poor >= RETURN_FACTOR * expected
        && count.poor_share() >= RETURN_SHARE;

    has_failed && is_back || poor > expected + DEVIATIONS * expected.sqrt() + MARGIN
}
