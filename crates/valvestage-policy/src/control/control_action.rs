//! Actions of the control policy, to be carried out by the driver.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use valvestage_core::Configuration;
use valvestage_core::ids::BalancerId;

use super::lease_manager::LeaseGrant;
use super::object_key::ObjectKey;
use super::owner_map::OwnerMap;
use super::platform_call::PlatformCall;
use crate::flows::TokenKeys;
use crate::membership::{HeartbeatMessage, LiveView, PeerRecord};

/// State machine that a platform call belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateMachine {
    /// The lease manager of this balancer.
    Lease,
    /// The coordinator of service ownership.
    Owners,
    /// The first read of the configuration after the start of the process.
    FirstRead,
}

/// State to put in force in the [`crate::BalancerPolicy`].
#[derive(Debug, Clone)]
pub enum Installation {
    /// A newer deployment configuration.
    Configuration(Arc<Configuration>),
    /// A newer owner map.
    OwnerMap(Arc<OwnerMap>),
    /// A newer set of token keys.
    Keys(TokenKeys),
    /// A changed set of live balancers.
    View {
        /// Live balancers, by availability zone.
        view: LiveView,
        /// Data addresses of all other known balancers, dead ones included.
        addresses: BTreeMap<BalancerId, SocketAddr>,
    },
    /// The lease that this balancer holds, or `None`.
    Grant(Option<LeaseGrant>),
}

/// One action of the control policy.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Perform a platform call and return the reply to the policy.
    Call {
        /// State machine that gets the reply.
        machine: StateMachine,
        /// The call to perform.
        call: PlatformCall,
    },
    /// Send a heartbeat and return the answer to the policy.
    Heartbeat {
        /// Receiver of the heartbeat.
        to: PeerRecord,
        /// The heartbeat to send.
        message: HeartbeatMessage,
    },
    /// Fetch an object from a peer and return it to the policy.
    Fetch {
        /// Peer that announced a newer version.
        from: PeerRecord,
        /// Key of the object.
        key: ObjectKey,
    },
    /// Put newer state in force.
    Install(Installation),
}
