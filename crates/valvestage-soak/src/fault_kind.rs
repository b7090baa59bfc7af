//! Kinds of faults that a run injects.

use serde::{Deserialize, Serialize};

/// Kind of an injected fault, or of planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A balancer is killed, and restarted when the fault ends.
    BalancerKill,
    /// All balancers outside of one zone are killed at once, and restarted when the fault ends.
    HerdKill,
    /// A balancer gets SIGTERM, and is restarted after it has exited.
    BalancerStop,
    /// A balancer is suspended by SIGSTOP, and resumed when the fault ends.
    BalancerPause,
    /// A balancer's settings file changes, and SIGHUP makes the balancer reload it.
    BalancerReload,
    /// A zone is partitioned from the others in both directions.
    ZoneCut,
    /// Datagrams out of a zone are lost, those into it arrive.
    ZoneOneWay,
    /// A balancer exchanges no datagrams with other balancers and reaches no backend server.
    BalancerCut,
    /// A share of all datagrams is lost.
    Loss,
    /// All datagrams are delayed.
    Delay,
    /// The store refuses all calls. In a long outage, entries of some backend servers lapse.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store's watches report changes late.
    StoreLag,
    /// The store discards its history of changes, so that watches fail.
    StoreForgets,
    /// Connections of a balancer to the store pass nothing on. Those on which something was sent
    /// during the fault stay silent when it ends.
    StoreLinkSilent,
    /// Connections of a balancer to the store are reset.
    StoreLinkReset,
    /// Calls of a balancer reach the store, but their answers are lost.
    StoreLinkOneWay,
    /// Connections of all balancers to the store pass nothing on, as in [`Self::StoreLinkSilent`].
    StoreLinksSilent,
    /// A backend server crashes; a new instance takes its address later.
    BackendCrash,
    /// A backend server drains and stops; its address goes to an instance of the other service, if
    /// enough backend servers of its own service are left.
    BackendReplace,
    /// A backend server answers only every second request.
    BackendFails,
    /// A new configuration is written.
    Configuration,
    /// Several configurations are written in quick succession.
    ConfigurationStorm,
    /// A backend server takes five times as long for its requests.
    BackendSlow,
    /// The entry of a backend server is deleted and written again, while the backend server runs
    /// and the store answers.
    BackendUnlisted,
    /// The store refuses all calls of one balancer, and answers those of the others.
    StoreRefusesOne,
    /// The operator evacuates a zone, and later ends the evacuation.
    Evacuation,
    /// Most backend servers of the first service crash while callers open more flows, so that the
    /// service is short of slots.
    Overload,
}

impl FaultKind {
    /// All kinds. New kinds are appended: a seed of a known failure draws from the first kinds of
    /// this list, as many as existed when it was recorded.
    pub const ALL: [Self; 28] = [
        Self::BalancerKill,
        Self::HerdKill,
        Self::BalancerStop,
        Self::BalancerPause,
        Self::BalancerReload,
        Self::ZoneCut,
        Self::ZoneOneWay,
        Self::BalancerCut,
        Self::Loss,
        Self::Delay,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLag,
        Self::StoreForgets,
        Self::StoreLinkSilent,
        Self::StoreLinkReset,
        Self::StoreLinkOneWay,
        Self::StoreLinksSilent,
        Self::BackendCrash,
        Self::BackendReplace,
        Self::BackendFails,
        Self::Configuration,
        Self::ConfigurationStorm,
        Self::BackendSlow,
        Self::BackendUnlisted,
        Self::StoreRefusesOne,
        Self::Evacuation,
        Self::Overload,
    ];
}
