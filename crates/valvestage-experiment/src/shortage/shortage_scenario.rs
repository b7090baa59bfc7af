//! What happens to traffic and backend servers in a run.

use std::time::Duration;

/// Span that is measured before the fault.
pub const FAULT_AT: Duration = Duration::from_secs(2);

/// A fault of the traffic or of the backend servers. Times count from the start of the measured
/// span, and faults begin at [`FAULT_AT`].
#[derive(Debug, Clone, Copy)]
pub struct ShortageScenario {
    /// Name on the command line and in headings.
    pub name: &'static str,
    /// Length of the fault of the backend servers.
    pub fault_length: Duration,
    /// Share of the backend servers that are down during the fault.
    pub down_share: f64,
    /// Share of the backend servers that are slow during the fault, and the factor on their times.
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Start and end of the traffic's rise, and its factor.
    pub rise: (Duration, Duration),
    pub rise_factor: f64,
}

/// All scenarios.
pub const SCENARIOS: [ShortageScenario; 3] = [
    ShortageScenario {
        name: "down",
        fault_length: Duration::from_secs(9),
        down_share: 0.8,
        slow_share: 0.0,
        slow_factor: 1.0,
        rise: (Duration::from_secs(3), Duration::from_secs(10)),
        rise_factor: 1.8,
    },
    ShortageScenario {
        name: "burst",
        fault_length: Duration::from_secs(5),
        down_share: 0.0,
        slow_share: 0.0,
        slow_factor: 1.0,
        rise: (FAULT_AT, Duration::from_secs(7)),
        rise_factor: 6.0,
    },
    ShortageScenario {
        name: "slow",
        fault_length: Duration::from_secs(9),
        down_share: 0.0,
        slow_share: 0.5,
        slow_factor: 7.0,
        rise: (Duration::ZERO, Duration::ZERO),
        rise_factor: 1.0,
    },
];

impl ShortageScenario {
    /// Returns the end of the fault.
    pub fn fault_end(&self) -> Duration {
        FAULT_AT + self.fault_length
    }

    /// Returns the length of the measured span: the fault and the recovery.
    pub fn length(&self) -> Duration {
        const RECOVERY: Duration = Duration::from_secs(3);

        self.fault_end() + RECOVERY
    }

    /// Returns the traffic at a time as a multiple of the usual one.
    pub fn traffic_factor(&self, at: Duration) -> f64 {
        if (self.rise.0..self.rise.1).contains(&at) { self.rise_factor } else { 1.0 }
    }

    /// Returns the speed of all slots together at a time, as a share of the usual one.
    pub fn slot_share(&self, at: Duration) -> f64 {
        if !(FAULT_AT..self.fault_end()).contains(&at) {
            return 1.0;
        }

        1.0 - self.down_share - self.slow_share * (1.0 - 1.0 / self.slow_factor)
    }
}
