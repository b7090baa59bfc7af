//! Ablations: the cells run without one mechanism, to show what fails without it.

use crate::cells::{CellKind, CellResult, all_cells, run_cells};

/// Mechanism that is disabled in a run. Each variant says what happens without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ablation {
    /// All mechanisms are in place.
    None,
    /// Copies of a request are not recognized.
    ClaimTable,
    /// A new owner dispatches every request at once, even if its claim table does not cover the
    /// request's window and a former owner may have dispatched it.
    CoveredWindow,
    /// The deadline of a dispatch is not limited to the end of the owner's lease.
    DeadlineFence,
    /// The object that was read last is put in force, also if it is older.
    NewestVersion,
    /// Flows are placed by hash alone: there is no flow table, and former homes are not queried.
    History,
    /// Neither balancers nor backend servers compare services.
    ServiceCheck,
    /// Operators write without a condition on the version that they read.
    ConditionalWrite,
    /// A process continues after a pause without noticing it.
    PauseDetection,
}

impl Ablation {
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

/// Cells that fail without one mechanism.
pub struct AblationRow {
    pub ablation: Ablation,
    /// Results of the cells with a violation.
    pub failed: Vec<CellResult>,
    /// Number of cells that ran.
    pub cell_count: usize,
}

/// Runs the singles, the repeated faults and the pairs that are ablation cases, with each mechanism
/// disabled in turn.
pub fn run_ablations() -> Vec<AblationRow> {
    let cells: Vec<_> = all_cells()
        .into_iter()
        .filter(|cell| cell.kind != CellKind::Pair || cell.is_ablation_case)
        .collect();

    Ablation::ALL
        .into_iter()
        .map(|ablation| {
            let failed = run_cells(&cells, ablation);
            let failed =
                failed.into_iter().filter(|result| !result.violations.is_empty()).collect();
            AblationRow { ablation, failed, cell_count: cells.len() }
        })
        .collect()
}
