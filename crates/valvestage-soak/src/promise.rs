//! Promises to callers, backend servers and operators, and their time bounds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after the end of a disturbance of a balancer, a backend server or the store during which it
/// still counts as disturbed. This and the bounds below are those of the current deployments.
pub const DISTURBANCE_MARGIN: Duration = Duration::from_secs(4);

/// Time within which balancers have to apply a configuration, from when the store accepted it.
pub const CONFIGURATION_WITHIN: Duration = Duration::from_secs(3);

/// Time after which a balancer that was seen to use a configuration must not open flows by an older
/// one.
pub const ROLLBACK_GRACE: Duration = Duration::from_millis(250);

/// Time after which a backend server gets no new flows, from when the store accepted that it
/// drains.
pub const DRAIN_WITHIN: Duration = Duration::from_secs(3);

/// Time after which a zone gets no new flows, from when the store accepted its evacuation.
pub const EVACUATION_WITHIN: Duration = Duration::from_secs(3);

/// Sliding window over which misrouted packets of one flow are counted.
pub const MISROUTE_WINDOW: Duration = Duration::from_secs(2);

/// Number of misrouted packets of one flow within [`MISROUTE_WINDOW`] that breaks
/// [`Promise::FlowNotMoved`], if no packet reaches the flow's own backend server in between.
pub const MISROUTE_LIMIT: usize = 3;

/// Time after an opening packet within which a refusal of its flow reaches the caller. The next copy
/// of the packet is due 200 ms after the first.
pub const REFUSAL_WITHIN: Duration = Duration::from_millis(150);

/// How much smaller than that of the other requests the answered share of urgent requests may be in
/// overloads, since both vary by chance.
pub const URGENT_MARGIN: f64 = 0.05;

/// Number of requests of each kind from which their answered shares are compared.
pub const MIN_COMPARED: u64 = 200;

/// Time after the end of the last fault within which callers have to be served again.
pub const RECOVERY_WITHIN: Duration = Duration::from_secs(12);

/// Promise that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A flow opens only at a service to which some configuration has routed its address.
    RightService,
    /// A draining backend server gets no new flows after [`DRAIN_WITHIN`].
    Drain,
    /// An evacuated zone gets no new flows after [`EVACUATION_WITHIN`].
    Evacuation,
    /// A configuration is in force after [`CONFIGURATION_WITHIN`].
    ConfigurationInForce,
    /// A balancer never returns to an older configuration.
    ConfigurationNeverBack,
    /// A new flow is not refused while its service has a backend server that can take it.
    NoFalseRefusal,
    /// A balancer does not reset an open flow whose backend server runs.
    FlowNotEnded,
    /// Packets of an open flow keep going to its backend server.
    FlowNotMoved,
    /// An answer is complete, and belongs to its request.
    WholeAnswer,
    /// A request that is not repeatable is executed at most once.
    RunsOnce,
    /// Packets arrive as their sender wrote them.
    PacketUnchanged,
    /// A balancer does not exit without a signal, exits successfully after SIGTERM, and is running
    /// again at the end of the run.
    NoOwnEnd,
    /// While a service is overloaded, urgent requests are answered at least as often as others.
    UrgentFirst,
    /// While a service is overloaded, refusals come within [`REFUSAL_WITHIN`] of an opening packet.
    RefusedAtOnce,
    /// Callers are served again within [`RECOVERY_WITHIN`] after the last fault.
    Recovery,
}

impl Promise {
    /// Reports whether the promise has a time bound, which other load on the VM may cause a
    /// balancer to miss.
    #[must_use]
    pub fn is_timed(self) -> bool {
        matches!(
            self,
            Self::Drain
                | Self::Evacuation
                | Self::ConfigurationInForce
                | Self::ConfigurationNeverBack
                | Self::NoFalseRefusal
                | Self::RefusedAtOnce
        )
    }
}
