//! What a run came to.

use std::collections::BTreeMap;

/// `Sample` is one answered request.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// From the caller's first packet to the answer, milliseconds.
    pub millis: f64,
    /// Its class.
    pub is_bulk: bool,
}

/// `ClassMeasures` is one class of a run.
#[derive(Debug, Clone, Copy)]
pub struct ClassMeasures {
    /// Share answered.
    pub answered_percent: f64,
    /// 99th percentile, milliseconds.
    pub p99_ms: f64,
}

/// `Measures` is the figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Measures {
    /// Requests sent, urgent and bulk.
    pub sent: [u64; 2],
    /// Answered ones.
    pub samples: Vec<Sample>,
    /// Refusals told to callers, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Further tries sent to backend servers.
    pub retries: u64,
    /// Tries that backend servers refused for full slots.
    pub shed: u64,
    /// Requests told nothing until the end.
    pub untold: u64,
    /// Sums of the imbalance of 100 ms samples, and their number.
    pub imbalance: (f64, u64),
    /// The same over windows of 1 s.
    pub imbalance_second: (f64, u64),
    /// Time of the run, seconds.
    pub seconds: f64,
    /// Runs a second that all slots can do.
    pub capacity: f64,
}

impl Measures {
    /// `percentile` gives a percentile of the times, milliseconds.
    pub fn percentile(&self, share: f64) -> f64 {
        percentile(self.samples.iter().map(|sample| sample.millis), share)
    }

    /// `retries_per_try` gives retries over first tries; requests that were never tried count, too.
    pub fn retries_per_try(&self) -> f64 {
        as_f64(self.retries) / as_f64(self.sent.iter().sum::<u64>().max(1))
    }

    /// `answered_percent` gives the share answered.
    pub fn answered_percent(&self) -> f64 {
        100.0 * as_f64(self.samples.len() as u64) / as_f64(self.sent.iter().sum::<u64>().max(1))
    }

    /// `class` gives the figures of one class.
    pub fn class(&self, is_bulk: bool) -> ClassMeasures {
        let of_class = self.samples.iter().filter(|sample| sample.is_bulk == is_bulk);
        let sent = self.sent[usize::from(is_bulk)].max(1);

        ClassMeasures {
            answered_percent: 100.0 * as_f64(of_class.clone().count() as u64) / as_f64(sent),
            p99_ms: percentile(of_class.map(|sample| sample.millis), 0.99),
        }
    }

    /// `goodput_over_capacity` gives answers a second over what all slots can do.
    pub fn goodput_over_capacity(&self) -> f64 {
        as_f64(self.samples.len() as u64) / self.seconds / self.capacity
    }

    /// `imbalance_100ms` gives the mean of (max - mean) / mean of busy slots.
    pub fn imbalance_100ms(&self) -> f64 {
        self.imbalance.0 / as_f64(self.imbalance.1.max(1))
    }

    /// `imbalance_1s` gives the same over windows of 1 s.
    pub fn imbalance_1s(&self) -> f64 {
        self.imbalance_second.0 / as_f64(self.imbalance_second.1.max(1))
    }

    /// `refusals` lists the refusals by reason.
    pub fn refusals(&self) -> String {
        let mut parts: Vec<_> =
            self.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        if self.untold > 0 {
            parts.push(format!("told nothing {}", self.untold));
        }

        if parts.is_empty() { "0".to_owned() } else { parts.join(", ") }
    }
}

fn percentile(values: impl Iterator<Item = f64>, share: f64) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);

    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let place = (sorted.len() as f64 * share) as usize;
    sorted.get(place.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn as_f64(count: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let value = count as f64;

    value
}
