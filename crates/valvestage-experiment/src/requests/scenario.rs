//! What goes wrong in a run.

/// `Scenario` is the fault of a run; it strikes after a third of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// Two backend servers are 10 times slower.
    TwoSlow,
    /// One backend server refuses everything.
    OneShedding,
    /// One backend server reports no load at all on its answers, whatever it does.
    OneLying,
    /// All backend servers are new.
    ColdStart,
    /// Three backend servers are drained.
    ThreeDraining,
    /// The backend servers of one availability zone, and its callers' entry VMs, are cut off.
    ZoneCut,
    /// The admitting balancer is lost; another takes over once it has noticed.
    BalancerLost,
    /// Half of the requests come from one caller.
    SkewedCallers,
}

impl Scenario {
    /// All faults.
    pub const FAULTS: [Self; 8] = [
        Self::TwoSlow,
        Self::OneShedding,
        Self::OneLying,
        Self::ColdStart,
        Self::ThreeDraining,
        Self::ZoneCut,
        Self::BalancerLost,
        Self::SkewedCallers,
    ];

    /// Its name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Steady => "none",
            Self::TwoSlow => "two 10 times slower",
            Self::OneShedding => "one sheds",
            Self::OneLying => "one lies about its load",
            Self::ColdStart => "cold start",
            Self::ThreeDraining => "3 of 14 drain",
            Self::ZoneCut => "zone cut",
            Self::BalancerLost => "balancer lost",
            Self::SkewedCallers => "skewed callers",
        }
    }
}
