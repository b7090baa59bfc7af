//! Usual answer times as the reference for slow answers.
//!
//! The moving average of [`AnswerNorm`](super::answer_norm::AnswerNorm) rises within some thirty
//! answers when many backend servers of a service become slow at once. The baseline follows such an
//! average downwards at once, and upwards only over minutes.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ServiceName;

use super::answer_norm::log_of_time;

/// Weight of a new answer time in the moving average after the start-up phase.
const WEIGHT: f64 = 1.0 / 32.0;

/// Number of answers at an address from which on its baseline is known.
const MIN_ADDRESS_SAMPLES: u32 = 16;

/// Number of answers of a service from which on its baseline is known. A balancer that starts gets
/// them within about two seconds, and those of each address much later.
const MIN_SERVICE_SAMPLES: u32 = 16;

/// Number of answers during which the baseline follows the average upwards, too.
const START_SAMPLES: u32 = 32;

/// Time in which a baseline doubles at most. A service that has become seven times slower for good
/// has a new baseline after nine minutes.
const DOUBLING_TIME: Duration = Duration::from_secs(180);

/// Usual time of answers of one kind.
#[derive(Debug, Clone)]
struct AnswerBaseline {
    samples: u32,
    /// Moving average of the logarithms of the times in seconds.
    average: f64,
    /// Logarithm of the usual time in seconds. Invariant: at most `average`.
    usual: f64,
    updated_at: Instant,
}

impl AnswerBaseline {
    fn new(now: Instant) -> Self {
        Self { samples: 0, average: 0.0, usual: f64::INFINITY, updated_at: now }
    }

    fn on_time(&mut self, log_seconds: f64, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(WEIGHT);
        self.average += weight * (log_seconds - self.average);

        let elapsed = now.saturating_duration_since(self.updated_at);
        let rise = elapsed.as_secs_f64() / DOUBLING_TIME.as_secs_f64() * std::f64::consts::LN_2;
        self.updated_at = now;
        self.usual = if self.samples <= START_SAMPLES {
            self.average
        } else {
            self.average.min(self.usual + rise)
        };
    }
}

/// Baselines of all addresses and services.
#[derive(Debug, Default)]
pub struct PaceBaselines {
    /// Requests of different kinds use different addresses.
    addresses: HashMap<SocketAddrV4, AnswerBaseline>,
    /// Used for addresses that have too few answers.
    services: HashMap<ServiceName, AnswerBaseline>,
}

impl PaceBaselines {
    /// Records the time of an answer, and returns the natural logarithm of its ratio to the
    /// baseline of the address, or of the service while the address has none; `None` while there is
    /// no baseline.
    pub fn on_answer(
        &mut self,
        address: SocketAddrV4,
        service: &str,
        time: Duration,
        now: Instant,
    ) -> Option<f64> {
        let log_seconds = log_of_time(time);
        let usual = self.usual(address, service);

        let of_address = self.addresses.entry(address).or_insert_with(|| AnswerBaseline::new(now));
        of_address.on_time(log_seconds, now);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), AnswerBaseline::new(now));
        }
        if let Some(of_service) = self.services.get_mut(service) {
            of_service.on_time(log_seconds, now);
        }
        usual.map(|usual| log_seconds - usual)
    }

    /// Returns the usual time; `None` while there is no baseline.
    #[must_use]
    pub fn usual_time(&self, address: SocketAddrV4, service: &str) -> Option<Duration> {
        let seconds = self.usual(address, service)?.exp();

        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns the natural logarithm of the usual time in seconds.
    fn usual(&self, address: SocketAddrV4, service: &str) -> Option<f64> {
        let known = |baseline: Option<&AnswerBaseline>, min_samples| {
            baseline.filter(|known| known.samples >= min_samples).map(|known| known.usual)
        };

        known(self.addresses.get(&address), MIN_ADDRESS_SAMPLES)
            .or_else(|| known(self.services.get(service), MIN_SERVICE_SAMPLES))
    }

    /// Removes the baselines of all addresses for which `keep` returns false.
    pub fn forget(&mut self, keep: impl Fn(&SocketAddrV4) -> bool) {
        self.addresses.retain(|address, _| keep(address));
    }
}
