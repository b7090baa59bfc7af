//! Pace of one service's backend servers, from the answers seen by all balancers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::pace_clock::PaceClock;
use super::pace_evidence::{PaceEvidence, PaceSum, ShownPace, is_slow_ratio};
use crate::steering::decision::Decision;
use crate::steering::peers::peer_message::PaceReport;

/// Share of backend servers that are assumed to be slow while nothing is known. Two slow answers of
/// a backend server make it more likely slow than not.
const MIN_PRIOR: f64 = 0.01;

/// Largest assumed share.
const MAX_PRIOR: f64 = 0.95;

/// Number of virtual backend servers with the smallest prior in the estimate of the prior.
const PRIOR_BACKENDS: f64 = 5.0;

/// Repetitions of the estimate per tick. It converges from the smallest prior to one half within
/// three ticks.
const PRIOR_STEPS: usize = 3;

/// Share of slow backend servers from which on all observations are reported to other balancers,
/// and not only those of backend servers in question.
const WIDESPREAD: f64 = 0.1;

/// Share below which that is no longer done.
const NO_LONGER_WIDESPREAD: f64 = 0.05;

/// Probability from which on a backend server is in question, and others are asked for their
/// observations of it.
const DOUBTED: f64 = 0.5;

/// Probability from which on a backend server is logged as slow.
const SLOW: f64 = 0.9;

/// Probability below which a slow backend server is logged as recovered.
const RECOVERED: f64 = 0.3;

/// Pace from which on a backend server is logged as slow.
const SLOW_FACTOR: f64 = 2.0;

/// How long observations are exchanged after the last sign of slowness.
const ALERT_TIME: Duration = Duration::from_secs(2);

/// How long a sign of recovery is reported before other observations.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Number of answers below which there is nothing to report.
const MIN_REPORTED_ANSWERS: f64 = 0.25;

/// What is known of one backend server.
#[derive(Debug)]
struct PaceRecord {
    evidence: PaceEvidence,
    /// Probability that it is slow, as of the last observation or tick.
    probability: f64,
    /// Time of its answers as a multiple of the usual time, at that time; at least 1.
    factor: f64,
    /// What its answers showed by themselves, at that time.
    shown: ShownPace,
    /// Whether it was logged as slow.
    is_slow: bool,
    /// Time until which the observations made here are reported since others ask for them.
    asked_until: Option<Instant>,
    /// Time until which a sign of recovery is reported before other observations.
    news_until: Option<Instant>,
}

impl PaceRecord {
    fn new(probability: f64) -> Self {
        Self {
            evidence: PaceEvidence::default(),
            probability,
            factor: 1.0,
            shown: ShownPace::Unclear,
            is_slow: false,
            asked_until: None,
            news_until: None,
        }
    }

    /// Updates the probability, and returns the decision if the backend server has become slow or
    /// recovered.
    fn judge(&mut self, instance: InstanceId, prior: f64, clock: &PaceClock) -> Option<Decision> {
        let total = self.evidence.total(clock);
        self.shown = total.shown();
        let odds = (prior / (1.0 - prior)).ln() + total.log_odds();
        self.probability = 1.0 / (1.0 + (-odds).exp());

        self.factor = total.factor().max(1.0);
        let (factor, answers) = (self.factor, total.answers);
        let reporting_peers = self.evidence.reporting_peers();
        if !self.is_slow && self.probability >= SLOW && factor >= SLOW_FACTOR {
            self.is_slow = true;
            return Some(Decision::Slowed { instance, factor, answers, reporting_peers });
        }
        if self.is_slow && self.probability < RECOVERED {
            self.is_slow = false;
            return Some(Decision::Recovered { instance, factor, answers, reporting_peers });
        }
        None
    }
}

/// Estimates which backend servers of a service are slow.
///
/// The probability of each follows from its answers and from the share of slow ones among all
/// (empirical Bayes): when many are slow, one slow answer says more.
#[derive(Debug)]
pub struct ServicePace {
    records: BTreeMap<InstanceId, PaceRecord>,
    clock: PaceClock,
    /// Estimated share of slow backend servers.
    prior: f64,
    /// Time until which observations are exchanged; `None` if that was never the case.
    alert_until: Option<Instant>,
    /// Whether many backend servers are slow, as of the last tick.
    is_widespread: bool,
    /// Whether placement distinguishes backend servers by their pace, as of the last tick.
    is_uneven: bool,
    /// Logarithm of the part of the answer times that the queues of busy slots explain.
    queueing: f64,
}

impl ServicePace {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            records: BTreeMap::new(),
            clock: PaceClock::new(now),
            prior: MIN_PRIOR,
            alert_until: None,
            is_widespread: false,
            is_uneven: false,
            queueing: 0.0,
        }
    }

    /// Reports whether some backend servers are probably slow, so that placement has to
    /// distinguish them.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Returns the probability that a backend server is slow, from 0 to 1.
    #[must_use]
    pub fn slow_probability(&self, instance: InstanceId) -> f64 {
        self.records.get(&instance).map_or(self.prior, |record| record.probability)
    }

    /// Returns the time of a backend server's answers as a multiple of the usual time, at least 1.
    #[must_use]
    pub fn factor(&self, instance: InstanceId) -> f64 {
        self.records.get(&instance).map_or(1.0, |record| record.factor)
    }

    /// Returns the backend servers that are known to be slow.
    pub fn slow_backends(&self) -> impl Iterator<Item = InstanceId> {
        self.records.iter().filter(|(_, record)| record.is_slow).map(|(instance, _)| *instance)
    }

    /// Returns the natural logarithm of the factor by which queues lengthen the answer times of all
    /// backend servers.
    pub(super) fn queueing(&self) -> f64 {
        self.queueing
    }

    /// Sets the number of requests in flight per slot of the service. From one on, requests queue,
    /// and take that many times as long at any backend server.
    pub(super) fn set_requests_per_slot(&mut self, requests_per_slot: f64) {
        self.queueing = requests_per_slot.max(1.0).ln();
    }

    /// Records an answer seen here by the logarithm of its ratio to the usual time.
    pub(super) fn on_answer(
        &mut self,
        instance: InstanceId,
        log_ratio: f64,
        now: Instant,
    ) -> Option<Decision> {
        let log_ratio = log_ratio - self.queueing;
        let is_slow = is_slow_ratio(log_ratio);
        self.clock.advance(now);

        let record = self.records.entry(instance).or_insert_with(|| PaceRecord::new(self.prior));
        self.clock.on_own_answer(record.shown, is_slow);
        record.evidence.on_answer(log_ratio, &self.clock, now);
        // Slow answers are not reported before others, so that reports are an even sample.
        if record.shown == ShownPace::Slow && !is_slow {
            record.news_until = Some(now + NEWS_TIME);
        }
        let decision = record.judge(instance, self.prior, &self.clock);
        let slowdown = self.clock.slowdown();
        self.prior = self.prior.max(slowdown.unwrap_or_default()).min(MAX_PRIOR);
        if record.probability >= DOUBTED || slowdown.is_some() {
            self.alert_until = Some(now + ALERT_TIME);
        }
        decision
    }

    /// Records the observations of another balancer.
    pub(super) fn on_report(
        &mut self,
        peer: SocketAddrV4,
        report: &PaceReport,
        now: Instant,
    ) -> Option<Decision> {
        let instance = report.instance;
        self.clock.advance(now);
        let record = self.records.entry(instance).or_insert_with(|| PaceRecord::new(self.prior));
        let further = record.evidence.on_report(peer, report, &self.clock);

        if let Some(sum) = further {
            self.clock.on_answers(sum.answers, record.shown, sum.is_slow());
        }
        if PaceSum::of_report(report).asks_others() {
            record.asked_until = Some(now + ALERT_TIME);
            self.alert_until = Some(now + ALERT_TIME);
        }
        record.judge(instance, self.prior, &self.clock)
    }

    /// Records that another balancer reports so many observations that it sees many slow backend
    /// servers.
    pub(super) fn on_many_reports(&mut self, now: Instant) {
        self.alert_until = Some(now + ALERT_TIME);
    }

    /// Updates all probabilities while some backend servers are in question; to be called several
    /// times a second.
    pub(super) fn on_tick(&mut self, now: Instant) -> Vec<Decision> {
        if !self.is_alert(now) {
            (self.prior, self.is_uneven) = (MIN_PRIOR, false);
            self.set_widespread(false);
            return Vec::new();
        }

        self.clock.advance(now);
        for _ in 0..PRIOR_STEPS {
            self.prior = self.estimate_prior();
        }
        let (prior, clock) = (self.prior, &self.clock);
        let judged = self.records.iter_mut();
        let decisions =
            judged.filter_map(|(instance, record)| record.judge(*instance, prior, clock)).collect();
        let is_doubted = self.records.values().any(|record| record.probability >= DOUBTED);
        let is_widespread =
            prior >= if self.is_widespread { NO_LONGER_WIDESPREAD } else { WIDESPREAD };
        if is_widespread && !self.is_widespread {
            self.clock.on_slowdown();
        }
        self.set_widespread(is_widespread);
        self.is_uneven = is_doubted || is_widespread;
        if self.is_uneven {
            self.alert_until = Some(now + ALERT_TIME);
        }
        decisions
    }

    /// Returns the reports to send to other balancers, the most important ones first.
    pub(super) fn reports(&self, now: Instant) -> Vec<(ReportRank, PaceReport)> {
        if !self.is_alert(now) {
            return Vec::new();
        }

        let reports = self.records.iter().filter_map(|(instance, record)| {
            let own = record.evidence.own(&self.clock);
            let is_asked = record.asked_until.is_some_and(|until| until > now);
            let is_sent = self.is_widespread || own.asks_others() || is_asked;
            let is_news = record.news_until.is_some_and(|until| until > now);
            let rank = (Reverse(is_news), Reverse(record.evidence.answered_at), *instance);
            let report = PaceReport::new(*instance, own.answers, own.log_sum);
            (is_sent && own.answers >= MIN_REPORTED_ANSWERS).then_some((rank, report))
        });
        reports.collect()
    }

    /// Removes the records of backend servers for which `keep` returns false, and those without
    /// recent answers. Returns whether any record is left.
    pub(super) fn forget(&mut self, keep: impl Fn(InstanceId) -> bool, now: Instant) -> bool {
        let clock = &mut self.clock;

        clock.advance(now);
        self.records.retain(|instance, record| {
            keep(*instance) && (record.evidence.retain_recent(clock) || record.is_slow)
        });
        !self.records.is_empty()
    }

    fn set_widespread(&mut self, is_widespread: bool) {
        self.is_widespread = is_widespread;
        self.clock.set_widespread(is_widespread);
    }

    fn is_alert(&self, now: Instant) -> bool {
        self.alert_until.is_some_and(|until| until > now)
    }

    /// Returns the mean probability over the backend servers with recent answers.
    fn estimate_prior(&self) -> f64 {
        let log_prior = (self.prior / (1.0 - self.prior)).ln();
        let (mut weights, mut slow) = (PRIOR_BACKENDS, PRIOR_BACKENDS * MIN_PRIOR);

        for record in self.records.values() {
            let total = record.evidence.total(&self.clock);
            // While few are slow, reports are about backend servers in question only, and would
            // make the estimate too large.
            let counted = if self.is_widespread {
                total.answers
            } else {
                record.evidence.own(&self.clock).answers
            };
            let weight = counted / (counted + 1.0);
            weights += weight;
            slow += weight / (1.0 + (-log_prior - total.log_odds()).exp());
        }
        (slow / weights).clamp(MIN_PRIOR, MAX_PRIOR)
    }
}

/// Order in which reports are sent: news first, then the latest answers.
pub(super) type ReportRank = (Reverse<bool>, Reverse<Option<Instant>>, InstanceId);
