//! The faults, the rows of the matrix.

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    Nothing,
    /// The balancer at work is killed; a new process takes its place 3 s later.
    BalancerKilled,
    /// The balancer at work is paused past its lease, and wakes.
    BalancerFrozen,
    /// As before, with a packet to a backend server already decided and not yet sent.
    BalancerFrozenSending,
    /// Another balancer joins.
    BalancerJoins,
    /// The backend server at work is killed.
    BackendKilled,
    /// All backend servers of a service shed load.
    BackendsShedding,
    /// A third of the backend servers are 10 times slower.
    BackendsSlow,
    PlatformDown,
    /// Answers of the platform take 1.5 s.
    PlatformSlow,
    /// The next writes take effect and their answers are lost.
    AnswersLost,
    WatchLags,
    /// The zone of the balancer at work is cut from the other zones.
    ZoneCutFromZones,
    /// The zone of the balancer at work is cut from the platform.
    ZoneCutFromPlatform,
    /// The zone is cut from everything but callers.
    ZoneCutFromAll,
    PacketsLost,
    PacketsDoubled,
    PacketsReordered,
    /// Two operators change the configuration at once.
    OperatorsRace,
    /// The address of a backend server is given to another service.
    AddressReused,
    /// Callers send forged tokens and tokens of other flows.
    TokensForged,
}

impl Fault {
    pub const ALL: [Self; 21] = [
        Self::Nothing,
        Self::BalancerKilled,
        Self::BalancerFrozen,
        Self::BalancerFrozenSending,
        Self::BalancerJoins,
        Self::BackendKilled,
        Self::BackendsShedding,
        Self::BackendsSlow,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::AnswersLost,
        Self::WatchLags,
        Self::ZoneCutFromZones,
        Self::ZoneCutFromPlatform,
        Self::ZoneCutFromAll,
        Self::PacketsLost,
        Self::PacketsDoubled,
        Self::PacketsReordered,
        Self::OperatorsRace,
        Self::AddressReused,
        Self::TokensForged,
    ];

    pub fn label(self) -> &'static str {
        match self {
            Self::Nothing => "no fault",
            Self::BalancerKilled => "balancer killed",
            Self::BalancerFrozen => "balancer frozen past its lease",
            Self::BalancerFrozenSending => "balancer frozen while sending",
            Self::BalancerJoins => "balancer joins",
            Self::BackendKilled => "backend server killed",
            Self::BackendsShedding => "backend servers shed load",
            Self::BackendsSlow => "backend servers 10 times slower",
            Self::PlatformDown => "platform down",
            Self::PlatformSlow => "platform slow",
            Self::AnswersLost => "answers lost after the write",
            Self::WatchLags => "watch lags",
            Self::ZoneCutFromZones => "zone cut from zones",
            Self::ZoneCutFromPlatform => "zone cut from platform",
            Self::ZoneCutFromAll => "zone cut from zones and platform",
            Self::PacketsLost => "packets lost",
            Self::PacketsDoubled => "packets doubled",
            Self::PacketsReordered => "packets reordered",
            Self::OperatorsRace => "operators race",
            Self::AddressReused => "address given to another service",
            Self::TokensForged => "tokens forged or replayed",
        }
    }

    /// Whether flows may break: something that held them went without notice, or packets go.
    pub fn excuses_broken_flows(self) -> bool {
        matches!(
            self,
            Self::BalancerKilled
                | Self::BalancerFrozen
                | Self::BalancerFrozenSending
                | Self::BackendKilled
                | Self::ZoneCutFromZones
                | Self::ZoneCutFromAll
                | Self::AddressReused
                | Self::PacketsLost
        )
    }

    /// Whether requests may end in another way than answered.
    pub fn excuses_unanswered(self) -> bool {
        !matches!(
            self,
            Self::Nothing
                | Self::BalancerJoins
                | Self::AnswersLost
                | Self::WatchLags
                | Self::PacketsDoubled
                | Self::PacketsReordered
                | Self::OperatorsRace
                | Self::TokensForged
        )
    }

    /// Whether a configuration may take longer than the limit to be in force.
    pub fn excuses_late_configuration(self) -> bool {
        matches!(
            self,
            Self::PlatformDown
                | Self::PlatformSlow
                | Self::ZoneCutFromZones
                | Self::ZoneCutFromAll
                | Self::ZoneCutFromPlatform
                | Self::WatchLags
                | Self::BalancerFrozen
                | Self::BalancerFrozenSending
                | Self::BalancerKilled
        )
    }
}
