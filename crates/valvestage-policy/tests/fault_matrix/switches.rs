//! Mechanisms that can be taken away, to see what fails without them.

use crate::cells::{CellResult, Part, all_cells, run_cells};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// Nothing is taken away.
    None,
    /// Copies of a request are not recognised.
    ClaimTable,
    /// A new owner runs everything at once.
    CoveredWindow,
    /// Dispatches do not carry the lease's end.
    DeadlineFence,
    /// Whatever object was read last is in force.
    NewestVersion,
    /// No flow table, and former homes are not asked: placement by hash alone.
    History,
    /// Neither side compares services.
    ServiceCheck,
    /// Operators write without a condition.
    ConditionalWrite,
    /// A process that was paused goes on as if nothing had been.
    PauseDetection,
}

impl Switch {
    pub const ALL: [Self; 8] = [
        Self::ClaimTable,
        Self::CoveredWindow,
        Self::DeadlineFence,
        Self::NewestVersion,
        Self::History,
        Self::ServiceCheck,
        Self::ConditionalWrite,
        Self::PauseDetection,
    ];

    pub fn label(self) -> &'static str {
        match self {
            Self::None => "nothing",
            Self::ClaimTable => "claim table",
            Self::CoveredWindow => "covered window",
            Self::DeadlineFence => "deadline fence",
            Self::NewestVersion => "newest version only",
            Self::History => "flow table and former homes",
            Self::ServiceCheck => "service check",
            Self::ConditionalWrite => "conditional write",
            Self::PauseDetection => "pause detection",
        }
    }
}

/// What fails without one mechanism.
pub struct SwitchRow {
    pub switch: Switch,
    pub red: Vec<CellResult>,
    pub cells: usize,
}

/// The cells run without each mechanism in turn: singles, and the pairs and repeats made for it.
pub fn table() -> Vec<SwitchRow> {
    let cells: Vec<_> = all_cells()
        .into_iter()
        .filter(|cell| cell.part != Part::Pair || cell.is_made_for_switch)
        .collect();

    Switch::ALL
        .into_iter()
        .map(|switch| {
            let red = run_cells(&cells, switch);
            let red = red.into_iter().filter(|result| !result.violations.is_empty()).collect();
            SwitchRow { switch, red, cells: cells.len() }
        })
        .collect()
}
