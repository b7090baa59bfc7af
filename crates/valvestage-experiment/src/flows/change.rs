//! The changes that flows live through.

use valvestage_core::{Backend, BackendState};

use crate::deployment::{backend, zone_name};

/// `Change` is one change, which reaches each balancer at a time of its own within 2 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Three of 14 backend servers are drained.
    Drain,
    /// Two are added.
    Add,
    /// Four get a third of their weight.
    Weight,
    /// An availability zone is stopped.
    StopZone,
    /// A balancer stops as planned.
    BalancerStops,
    /// A balancer joins.
    BalancerJoins,
    /// A drain, and a balancer that stops as planned in the midst of it.
    DrainAndStop,
    /// A balancer is killed.
    BalancerKilled,
    /// A drain, and a balancer killed 2 s after.
    DrainAndKill,
    /// A drain, and a balancer killed while it spreads.
    DrainWhileKilled,
}

impl Change {
    /// All of them.
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

    /// Its name in tables.
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

    /// The backend servers afterwards.
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

    /// Whether the backend servers change.
    pub fn changes_backends(self) -> bool {
        !matches!(self, Self::BalancerStops | Self::BalancerJoins | Self::BalancerKilled)
    }

    /// When a balancer is killed, milliseconds after the start of the change.
    pub fn kills_at(self) -> Option<u64> {
        match self {
            Self::BalancerKilled | Self::DrainWhileKilled => Some(1_000),
            Self::DrainAndKill => Some(4_000),
            _ => None,
        }
    }

    /// Whether a balancer leaves as planned.
    pub fn stops_balancer(self) -> bool {
        matches!(self, Self::BalancerStops | Self::DrainAndStop)
    }
}
