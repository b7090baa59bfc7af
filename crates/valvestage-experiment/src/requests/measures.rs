//! Results of a run.

use std::collections::BTreeMap;

/// Time and class of one answered request.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample {
    /// Time from the caller's first packet to the answer, in milliseconds.
    pub millis: f64,
    /// Whether the request is of the bulk class; otherwise it is urgent.
    pub is_bulk: bool,
}

/// Results of one request class of a run.
#[derive(Debug, Clone, Copy)]
pub struct ClassMeasures {
    /// Share of the sent requests that were answered, in percent.
    pub answered_percent: f64,
    /// 99th percentile of the response times, in milliseconds.
    pub p99_ms: f64,
}

/// Counters and samples of a run.
#[derive(Debug, Clone, Default)]
pub struct Measures {
    /// Number of requests sent: urgent, then bulk.
    pub sent: [u64; 2],
    /// One sample for each answered request.
    pub samples: Vec<AnswerSample>,
    /// Number of refusals that reached callers, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Number of retries sent to backend servers.
    pub retries: u64,
    /// Number of attempts that backend servers refused: no free slot, or shedding as a fault.
    pub shed: u64,
    /// Number of requests with neither an answer nor a refusal by the end of the run.
    pub unresolved: u64,
    /// Sum of the imbalances sampled every 100 ms, and their number.
    pub imbalance_100ms_sum: (f64, u64),
    /// Sum of the imbalances over windows of 1 s, and their number.
    pub imbalance_1s_sum: (f64, u64),
    /// Seconds from the start of the run to the last arrival.
    pub seconds: f64,
    /// Runs per second that all slots together can complete.
    pub capacity: f64,
}

impl Measures {
    /// Returns a quantile of the response times in milliseconds, for a share from 0 to 1.
    pub fn percentile(&self, share: f64) -> f64 {
        percentile(self.samples.iter().map(|sample| sample.millis), share)
    }

    /// Returns the number of retries per request sent, including requests that were never tried.
    pub fn retries_per_try(&self) -> f64 {
        as_f64(self.retries) / as_f64(self.sent.iter().sum::<u64>().max(1))
    }

    /// Returns the share of all sent requests that were answered, in percent.
    pub fn answered_percent(&self) -> f64 {
        100.0 * as_f64(self.samples.len() as u64) / as_f64(self.sent.iter().sum::<u64>().max(1))
    }

    /// Returns the results of the bulk or the urgent class.
    pub fn class(&self, is_bulk: bool) -> ClassMeasures {
        let of_class = self.samples.iter().filter(|sample| sample.is_bulk == is_bulk);
        let sent = self.sent[usize::from(is_bulk)].max(1);

        ClassMeasures {
            answered_percent: 100.0 * as_f64(of_class.clone().count() as u64) / as_f64(sent),
            p99_ms: percentile(of_class.map(|sample| sample.millis), 0.99),
        }
    }

    /// Returns the answers per second divided by the runs per second that all slots can complete.
    pub fn goodput_over_capacity(&self) -> f64 {
        as_f64(self.samples.len() as u64) / self.seconds / self.capacity
    }

    /// Returns the mean of (max - mean) / mean of the busy slots of the backend servers, over
    /// samples taken every 100 ms.
    pub fn imbalance_100ms(&self) -> f64 {
        self.imbalance_100ms_sum.0 / as_f64(self.imbalance_100ms_sum.1.max(1))
    }

    /// Returns the mean of (max - mean) / mean of the busy slots of the backend servers, summed
    /// over windows of 1 s.
    pub fn imbalance_1s(&self) -> f64 {
        self.imbalance_1s_sum.0 / as_f64(self.imbalance_1s_sum.1.max(1))
    }

    /// Lists the refusals by reason, and the requests without any outcome.
    pub fn refusals(&self) -> String {
        let mut parts: Vec<_> =
            self.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        if self.unresolved > 0 {
            parts.push(format!("told nothing {}", self.unresolved));
        }

        if parts.is_empty() { "0".to_owned() } else { parts.join(", ") }
    }
}

fn percentile(values: impl Iterator<Item = f64>, share: f64) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);

    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn as_f64(count: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let value = count as f64;

    value
}
