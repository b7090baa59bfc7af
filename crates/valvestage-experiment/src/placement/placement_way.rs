//! What a balancer goes by.

/// `PlacementWay` is a way to choose a backend server for a request on a flow of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementWay {
    /// Any of the own zone.
    Random,
    /// The better of two of the own zone, by own counts.
    TwoChoices,
    /// The least loaded by own counts, own zone first: as `valvestage-entry` does.
    OwnCounts,
    /// The same, over a few backend servers of the own zone each; all of them when those are busy.
    Subset,
    /// The least loaded by own counts and what others told, own zone first.
    ToldCounts,
    /// The least loaded by what is true, own zone first: nobody can know it.
    Exact,
}

impl PlacementWay {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::TwoChoices,
        Self::OwnCounts,
        Self::Subset,
        Self::ToldCounts,
        Self::Exact,
    ];

    /// `name` names the way in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random, own zone",
            Self::TwoChoices => "own counts, two choices, own zone",
            Self::OwnCounts => "own counts, least, own zone first (chosen)",
            Self::Subset => "the same over subsets of 4, with spill",
            Self::ToldCounts => "own and told counts, least, own zone first",
            Self::Exact => "exact counts, least, own zone first",
        }
    }
}
