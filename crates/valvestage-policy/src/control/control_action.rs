//! What the driver of the control policy has to do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use valvestage_core::Configuration;
use valvestage_core::ids::BalancerId;

use super::lease_keeper::LeaseGrant;
use super::object_key::ObjectKey;
use super::owner_map::OwnerMap;
use super::platform_call::PlatformCall;
use crate::flows::TokenKeys;
use crate::membership::{HeartbeatMessage, LiveView, PeerRecord};

/// `Machine` names the state machine that a platform call belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Machine {
    /// The lease of this balancer.
    Lease,
    /// The owners of services.
    Owners,
    /// The first read of the configuration after the start.
    FirstRead,
}

/// `Installation` is something to put in force in the [`crate::BalancerPolicy`].
#[derive(Debug, Clone)]
pub enum Installation {
    /// A newer configuration.
    Configuration(Arc<Configuration>),
    /// Newer owners of services.
    OwnerMap(Arc<OwnerMap>),
    /// Newer token keys.
    Keys(TokenKeys),
    /// Another set of live balancers.
    View {
        /// The live balancers.
        view: LiveView,
        /// Data addresses of all other balancers known.
        addresses: BTreeMap<BalancerId, SocketAddr>,
    },
    /// The present lease, or that there is none.
    Grant(Option<LeaseGrant>),
}

/// `ControlAction` is one thing to do.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Carry a platform call out and bring the reply back.
    Call {
        /// Whose call it is.
        machine: Machine,
        /// The call.
        call: PlatformCall,
    },
    /// Send a heartbeat and bring the answer back.
    Heartbeat {
        /// The partner.
        to: PeerRecord,
        /// The message.
        message: HeartbeatMessage,
    },
    /// Fetch an object from a peer and bring it back.
    Fetch {
        /// The peer.
        from: PeerRecord,
        /// The object.
        key: ObjectKey,
    },
    /// Put something in force.
    Install(Installation),
}
