//! Faults, which are the rows of the matrix.

/// Fault that a cell injects; "at work" means at the step that triggers the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    None,
    /// The balancer at work is killed; a new process starts on its VM 3 s later.
    BalancerKilled,
    /// The balancer at work is paused until its lease has expired, and then resumes.
    BalancerFrozen,
    /// The owner of service 1 is paused in the same way between the decision to dispatch a request
    /// to a backend server and the sending of the packet, which leaves after the pause.
    BalancerFrozenSending,
    /// A new balancer joins.
    BalancerJoins,
    /// The backend server at work is killed.
    BackendKilled,
    /// All backend servers of service 1 refuse new requests.
    BackendsShedding,
    /// A third of the backend servers of service 1 are 10 times slower.
    BackendsSlow,
    PlatformDown,
    /// Answers of the platform take 1.5 s.
    PlatformSlow,
    /// The next 3 writes to the platform take effect, but their answers are lost.
    AnswersLost,
    /// Watches show the value that each object had before its last write.
    WatchLags,
    /// The availability zone of the balancer at work is partitioned from the other zones.
    ZoneCutFromZones,
    /// The availability zone of the balancer at work is partitioned from the platform.
    ZoneCutFromPlatform,
    /// The availability zone of the balancer at work is partitioned from the other zones and from
    /// the platform. Callers still reach it.
    ZoneCutFromAll,
    PacketsLost,
    PacketsDuplicated,
    PacketsReordered,
    /// Two operators change the configuration at the same time.
    OperatorsRace,
    /// The address of a backend server is reassigned to another service.
    AddressReused,
    /// Callers send forged tokens, and tokens that were issued to other flows.
    TokensForged,
}

impl Fault {
    pub const ALL: [Self; 21] = [
        Self::None,
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
        Self::PacketsDuplicated,
        Self::PacketsReordered,
        Self::OperatorsRace,
        Self::AddressReused,
        Self::TokensForged,
    ];

    pub fn label(self) -> &'static str {
        match self {
            Self::None => "no fault",
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
            Self::PacketsDuplicated => "packets doubled",
            Self::PacketsReordered => "packets reordered",
            Self::OperatorsRace => "operators race",
            Self::AddressReused => "address given to another service",
            Self::TokensForged => "tokens forged or replayed",
        }
    }

    /// Reports whether flows may break under this fault, because a balancer or backend server that
    /// holds them fails without notice or becomes unreachable, or because packets are lost.
    pub fn allows_broken_flows(self) -> bool {
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

    /// Reports whether requests may end without an answer under this fault.
    pub fn allows_unanswered_requests(self) -> bool {
        !matches!(
            self,
            Self::None
                | Self::BalancerJoins
                | Self::AnswersLost
                | Self::WatchLags
                | Self::PacketsDuplicated
                | Self::PacketsReordered
                | Self::OperatorsRace
                | Self::TokensForged
        )
    }

    /// Reports whether a configuration may come into force later than the limit under this fault.
    pub fn allows_late_configuration(self) -> bool {
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
