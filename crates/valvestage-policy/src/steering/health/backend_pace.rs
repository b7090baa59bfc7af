//! Time of each backend server's answers in relation to the usual time.
//!
//! The answers of a slow backend server are correct, so no other detector notices it. While few
//! requests are under way everywhere, it would get as many new flows as the others.
//!
//! Requests differ by address, so each answer is compared with the usual time at its address. That
//! time is itself an average over the answers, and shifts if one backend server gets more flows
//! than the others. The final reference is therefore the median of all backend servers of a
//! service.

use std::collections::HashMap;
use std::time::Instant;

use valvestage_core::ids::{InstanceId, ServiceName};

use super::outcome_count::decayed_weight;
use crate::steering::decision::Decision;

/// Number of virtual answers at the median pace that are added to those of a backend server. In
/// simulations with slow backend servers, 0.979 of the requests were served with 4, 0.980 with 2,
/// and 0.983 with 1 and the rounding to [`PACE_STEP`] (docs/DECISIONS.md).
const PRIOR_ANSWERS: f64 = 1.0;

/// Limit on the ratio of one answer to the usual time, since a packet of a slower answer may have
/// been lost.
const MAX_ANSWER_FACTOR: f64 = 8.0;

/// Placement rounds the pace to multiples of this value, so that backend servers of similar pace
/// rank equal, and none is deprived of flows because it was slightly slower once.
const PACE_STEP: f64 = 0.25;

/// A backend server is logged as slow from this pace on. Placement reacts to smaller factors, too;
/// this only limits what is logged.
const SLOW_FACTOR: f64 = 2.0;

/// A slow backend server is logged as recovered below this pace.
const RECOVERED_FACTOR: f64 = 1.4;

/// Number of answers, weighted by age, that are needed to log a backend server as slow or
/// recovered; the times of single answers vary by half of the mean.
const MIN_ANSWERS_TO_LOG: f64 = 3.0;

/// Number of answers, weighted by age, from which on a backend server counts for the median.
const MIN_ANSWERS_TO_COMPARE: f64 = 0.5;

/// Number of backend servers needed for a median: of two, either may be the one that has changed.
const MIN_COMPARED_BACKENDS: usize = 3;

/// Sum of the logarithms of the ratios of one backend server's answer times to the usual time.
#[derive(Debug, Clone)]
struct PaceRecord {
    service: ServiceName,
    log_sum: f64,
    answers: f64,
    counted_at: Instant,
    /// Whether the backend server was logged as slow.
    is_slow: bool,
}

impl PaceRecord {
    fn new(service: &str, now: Instant) -> Self {
        let service = service.to_owned();

        Self { service, log_sum: 0.0, answers: 0.0, counted_at: now, is_slow: false }
    }

    fn add(&mut self, log_ratio: f64, now: Instant) {
        let left = self.remaining_weight(now);

        self.log_sum = self.log_sum * left + log_ratio;
        self.answers = self.answers * left + 1.0;
        self.counted_at = now;
    }

    /// Returns the fraction of their weight that the answers still have. They decay like outcomes
    /// of requests.
    fn remaining_weight(&self, now: Instant) -> f64 {
        decayed_weight(now.saturating_duration_since(self.counted_at))
    }

    fn answers(&self, now: Instant) -> f64 {
        self.answers * self.remaining_weight(now)
    }

    /// Returns the mean logarithm of the ratios, regardless of their age.
    fn log_pace(&self) -> f64 {
        self.log_sum / self.answers
    }

    /// Returns the pace as a multiple of the median, closer to 1 the fewer answers there are.
    fn factor(&self, median: f64, now: Instant) -> f64 {
        let answers = self.answers(now);
        let confidence = answers / (answers + PRIOR_ANSWERS);

        ((self.log_pace() - median) * confidence).exp()
    }
}

/// Tracks the pace of each backend server from the answers seen by this balancer.
#[derive(Debug, Default)]
pub struct BackendPace {
    /// Invariant: each record contains at least one answer.
    records: HashMap<InstanceId, PaceRecord>,
}

impl BackendPace {
    /// Records an answer by the logarithm of its ratio to the usual time, and returns the decision
    /// if the backend server has become slow or recovered.
    pub fn on_answer(
        &mut self,
        instance: InstanceId,
        service: &str,
        log_ratio: f64,
        now: Instant,
    ) -> Option<Decision> {
        let limit = MAX_ANSWER_FACTOR.ln();
        let record = self.records.entry(instance).or_insert_with(|| PaceRecord::new(service, now));

        record.add(log_ratio.clamp(-limit, limit), now);
        self.judge(instance, now)
    }

    /// Returns the logarithm of the median pace of a service; `None` while too few of its backend
    /// servers have answered recently.
    #[must_use]
    pub fn median(&self, service: &str, now: Instant) -> Option<f64> {
        let of_service = self.records.values().filter(|record| record.service == service);
        let compared = of_service.filter(|record| record.answers(now) >= MIN_ANSWERS_TO_COMPARE);
        let mut paces: Vec<f64> = compared.map(PaceRecord::log_pace).collect();
        if paces.len() < MIN_COMPARED_BACKENDS {
            return None;
        }

        let middle = (paces.len() - 1) / 2;
        let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    /// Returns the pace of a backend server as a multiple of the median of its service, at least 1,
    /// since a backend server that answers sooner than the others may return errors. Also returns 1
    /// while there is no median.
    #[must_use]
    pub fn factor(&self, instance: InstanceId, median: Option<f64>, now: Instant) -> f64 {
        let (Some(record), Some(median)) = (self.records.get(&instance), median) else {
            return 1.0;
        };

        ((record.factor(median, now) / PACE_STEP).round() * PACE_STEP).max(1.0)
    }

    /// Iterates over the backend servers that have become slow and have not recovered, each with
    /// its pace as a multiple of the median of its service.
    pub fn slow_backends(&self, now: Instant) -> impl Iterator<Item = (InstanceId, f64)> {
        let slow = self.records.iter().filter(|(_, record)| record.is_slow);

        slow.filter_map(move |(instance, record)| {
            let median = self.median(&record.service, now)?;
            Some((*instance, record.factor(median, now)))
        })
    }

    /// Removes the records of all backend servers for which `keep` returns false.
    pub fn forget(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.records.retain(|instance, _| keep(*instance));
    }

    /// Updates whether a backend server is slow, and returns the decision if that has changed.
    fn judge(&mut self, instance: InstanceId, now: Instant) -> Option<Decision> {
        let record = self.records.get(&instance)?;
        let answers = record.answers(now);
        if answers < MIN_ANSWERS_TO_LOG {
            return None;
        }
        let factor = record.factor(self.median(&record.service, now)?, now);

        let record = self.records.get_mut(&instance)?;
        if !record.is_slow && factor >= SLOW_FACTOR {
            record.is_slow = true;
            return Some(Decision::Slowed { instance, factor, answers });
        }
        if record.is_slow && factor < RECOVERED_FACTOR {
            record.is_slow = false;
            return Some(Decision::Recovered { instance, factor });
        }
        None
    }
}
