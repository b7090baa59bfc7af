//! Strategies for spreading requests over slots.

use valvestage_policy::requests::ChoiceRule;

/// Strategy for assigning slots to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchStrategy {
    /// One queue in front of all slots, without network delays to backend servers: the baseline of
    /// the other strategies.
    Ideal,
    /// One queue in front of all slots, where a slot stays idle for the round trip to the backend
    /// server after each run. This bounds any strategy that sends the next request only once the
    /// answer to the last one has arrived.
    IdealWithDelay,
    /// One balancer, the owner, admits all requests of the service, and chooses the backend server
    /// with the lowest occupancy.
    Owner,
    /// The owner admits all requests, and chooses the less occupied of two random backend servers.
    OwnerTwoChoices,
    /// The owner admits all requests, and chooses a random backend server with a free slot.
    OwnerRandom,
    /// Each balancer counts only its own requests, and chooses the less occupied of two random
    /// backend servers.
    LocalTwoChoices,
    /// Each balancer counts only its own requests, and chooses a random backend server with a slot
    /// that is free by this count.
    LocalRandom,
    /// Each balancer has a fixed share of the slots.
    Credits,
}

impl DispatchStrategy {
    /// All strategies that have a row in the tables; the ideal queue is their baseline.
    pub const ALL: [Self; 7] = [
        Self::IdealWithDelay,
        Self::Owner,
        Self::OwnerTwoChoices,
        Self::OwnerRandom,
        Self::LocalTwoChoices,
        Self::LocalRandom,
        Self::Credits,
    ];

    /// Returns the name of the strategy in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ideal => "one ideal shared queue",
            Self::IdealWithDelay => "one queue, slots idle for the way",
            Self::Owner => "owner, least occupied (chosen)",
            Self::OwnerTwoChoices => "owner, two choices",
            Self::OwnerRandom => "owner, random",
            Self::LocalTwoChoices => "local counts, two choices",
            Self::LocalRandom => "local counts, random",
            Self::Credits => "fixed credits",
        }
    }

    /// Reports whether one balancer admits the requests of all.
    pub fn has_owner(self) -> bool {
        matches!(self, Self::Owner | Self::OwnerTwoChoices | Self::OwnerRandom)
    }

    /// Returns the rule by which the dispatcher chooses a backend server.
    pub fn choice(self) -> ChoiceRule {
        match self {
            Self::Ideal | Self::IdealWithDelay | Self::Owner | Self::Credits => {
                ChoiceRule::LeastOccupied
            }
            Self::OwnerTwoChoices | Self::LocalTwoChoices => ChoiceRule::TwoChoices,
            Self::OwnerRandom | Self::LocalRandom => ChoiceRule::Random,
        }
    }
}
