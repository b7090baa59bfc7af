//! Strategies for choosing a backend server.

/// Strategy for choosing a backend server for a request that opens its own flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStrategy {
    /// A random backend server of the balancer's own zone.
    Random,
    /// The less loaded of two random backend servers of the own zone, by the balancer's own counts.
    TwoChoices,
    /// The least loaded backend server by the balancer's own counts, with a preference for the own
    /// zone, as in `valvestage-entry`.
    LocalCounts,
    /// As with the balancer's own counts, but among a few backend servers of the own zone; among
    /// all backend servers if the best of those is busy.
    Subset,
    /// The least loaded backend server by the balancer's own counts and the counts that others
    /// gossip, with a preference for the own zone.
    GossipedCounts,
    /// The least loaded backend server by exact counts, with a preference for the own zone. No real
    /// balancer has these counts.
    Exact,
}

impl PlacementStrategy {
    /// All strategies, in the order of the table.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::TwoChoices,
        Self::LocalCounts,
        Self::Subset,
        Self::GossipedCounts,
        Self::Exact,
    ];

    /// Returns the name of the strategy in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Random => "random, own zone",
            Self::TwoChoices => "own counts, two choices, own zone",
            Self::LocalCounts => "own counts, least, own zone first (chosen)",
            Self::Subset => "the same over subsets of 4, with spill",
            Self::GossipedCounts => "own and told counts, least, own zone first",
            Self::Exact => "exact counts, least, own zone first",
        }
    }
}
