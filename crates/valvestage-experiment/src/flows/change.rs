//! Changes of a deployment that established flows should survive.

use valvestage_core::{Backend, BackendState};

use crate::deployment::{backend, zone_name};

/// A change, which each balancer learns of at a random time within 2 s, or of a killed balancer
/// after the failure is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Three of the 14 backend servers are drained.
    Drain,
    /// Two backend servers are added.
    Add,
    /// Four backend servers get a third of their weight.
    Weight,
    /// An availability zone is stopped.
    StopZone,
    /// A balancer leaves in a planned stop.
    BalancerStops,
    /// A balancer joins.
    BalancerJoins,
    /// Three backend servers are drained, and a balancer leaves in a planned stop at the same time.
    DrainAndStop,
    /// A balancer is killed.
    BalancerKilled,
    /// Three backend servers are drained, and a balancer is killed 2 s after all balancers know.
    DrainAndKill,
    /// Three backend servers are drained, and a balancer is killed before all balancers know.
    DrainWhileKilled,
}

impl Change {
    /// All changes, in the order of the table.
    pub const ALL: [Self; 10] = [
        Self::Drain,
        Self::Add,
        Self::Weight,
        Self::StopZone,
        Self::BalancerStops,
        Self::BalancerJoins,
        Self::DrainAndStop,
        Self::BalancerKilled,
        Self::DrainAndKill,
        Self::DrainWhileKilled,
    ];

    /// Returns the name of the change in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Drain => "3 of 14 drain",
            Self::Add => "2 are added",
            Self::Weight => "4 of 14 to a third of the weight",
            Self::StopZone => "a zone stops",
            Self::BalancerStops => "a balancer stops as planned",
            Self::BalancerJoins => "a balancer joins",
            Self::DrainAndStop => "3 drain while a balancer stops",
            Self::BalancerKilled => "a balancer is killed",
            Self::DrainAndKill => "3 drain, then a balancer is killed",
            Self::DrainWhileKilled => "3 drain while a balancer is killed",
        }
    }

    /// Returns the backend servers after the change.
    pub fn apply(self, before: &[Backend]) -> Vec<Backend> {
        let mut after = before.to_vec();

        match self {
            Self::Drain | Self::DrainAndStop | Self::DrainAndKill | Self::DrainWhileKilled => {
                for record in after.iter_mut().take(3) {
                    record.state = BackendState::Draining;
                }
            }
            Self::Add => after.extend([backend(101, 1, 3, 3), backend(102, 1, 3, 3)]),
            Self::Weight => after.iter_mut().take(4).for_each(|record| record.weight = 33),
            Self::StopZone => {
                for record in after.iter_mut().filter(|record| record.zone == zone_name(1)) {
                    record.state = BackendState::Draining;
                }
            }
            Self::BalancerStops | Self::BalancerJoins | Self::BalancerKilled => {}
        }
        after
    }

    /// Reports whether the change affects the backend servers.
    pub fn changes_backends(self) -> bool {
        !matches!(self, Self::BalancerStops | Self::BalancerJoins | Self::BalancerKilled)
    }

    /// Returns the milliseconds from the start of the change until a balancer is killed, or `None`
    /// if none is killed.
    pub fn kill_delay_ms(self) -> Option<u64> {
        match self {
            Self::BalancerKilled | Self::DrainWhileKilled => Some(1_000),
            Self::DrainAndKill => Some(4_000),
            _ => None,
        }
    }

    /// Reports whether a balancer leaves in a planned stop.
    pub fn has_planned_stop(self) -> bool {
        matches!(self, Self::BalancerStops | Self::DrainAndStop)
    }
}
