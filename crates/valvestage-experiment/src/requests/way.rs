//! The ways that are compared.

use valvestage_policy::requests::ChoiceRule;

/// `Way` is a way to give requests slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// One queue before all slots, without any delay: what the others are measured against.
    Ideal,
    /// The same with the way to the backend server and back, in which a slot is idle: what any way
    /// comes to at best that sends the next request only once the answer to the last is there.
    IdealWithDelay,
    /// One balancer admits for the service; the least occupied backend server.
    Owner,
    /// One balancer admits; the lower of two drawn at random.
    OwnerTwoChoices,
    /// One balancer admits; any with a free slot.
    OwnerRandom,
    /// Each balancer counts its own; the lower of two drawn at random.
    LocalTwoChoices,
    /// Each balancer counts its own; any that seems free.
    LocalRandom,
    /// Each balancer has a fixed share of the slots.
    Credits,
}

impl Way {
    /// All that are printed.
    pub const ALL: [Self; 7] = [
        Self::IdealWithDelay,
        Self::Owner,
        Self::OwnerTwoChoices,
        Self::OwnerRandom,
        Self::LocalTwoChoices,
        Self::LocalRandom,
        Self::Credits,
    ];

    /// Its name in tables.
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

    /// Whether one balancer admits for all.
    pub fn has_owner(self) -> bool {
        matches!(self, Self::Owner | Self::OwnerTwoChoices | Self::OwnerRandom)
    }

    /// How a backend server is chosen.
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
