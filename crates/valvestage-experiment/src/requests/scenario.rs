//! Fault scenarios of the request model.

/// Fault of a run, which is injected after a third of the run's expected length. Skewed callers are
/// skewed from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    Steady,
    /// Two backend servers are 10 times slower.
    TwoSlow,
    /// One backend server refuses all requests.
    OneShedding,
    /// One backend server reports zero load with its answers regardless of its real load.
    OneLying,
    /// All backend servers get a new incarnation, as after a restart.
    ColdStart,
    /// Three backend servers are drained.
    ThreeDraining,
    /// The backend servers of one availability zone, and its callers' entry VMs, are cut off.
    ZoneCut,
    /// The owner of the service fails; another balancer takes over once the failure is detected.
    BalancerLost,
    /// Half of the requests come from one caller.
    SkewedCallers,
}

impl Scenario {
    /// All scenarios with a fault, in the order of the table.
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

    /// Returns the name of the scenario in tables.
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
