//! Balancers whose messages a test writes, and one that receives them.

use valvestage_policy::steering::peers::peer_message::{HealthReport, PeerHeartbeat};
use valvestage_policy::steering::{BackendDirectory, PeerMessage};

use crate::deployment::{Deployment, node_address};
use crate::fixtures::{OWN_ZONE, millis};

/// Returns a balancer whose calls to the store are not answered, and have not failed yet.
pub fn alone() -> Deployment {
    let mut deployment = Deployment::new(1);
    deployment.disconnected_from_store = vec![0];
    deployment.run(millis(500));
    deployment
}

/// Returns the heartbeat of a balancer that knows what a directory contains, and no configuration.
pub fn heartbeat_of(sender: &BackendDirectory) -> PeerHeartbeat {
    PeerHeartbeat {
        zone: OWN_ZONE.to_owned(),
        wants_answer: false,
        version: 0,
        complete_until: sender.complete_until(),
        changed_at: sender.changed_at(),
        era_head: sender.era_head(),
        live_digest: sender.live_digest(),
        age_ms: 0,
        outage_age_ms: u32::MAX,
        watchers: Vec::new(),
        peers: Vec::new(),
        health: HealthReport::default(),
        evacuations: None,
        demands: None,
        loads: Vec::new(),
        unresolved_tokens: Vec::new(),
    }
}

/// Delivers a message of the balancer with a number to the first balancer of a deployment.
pub fn deliver(deployment: &mut Deployment, sender: usize, message: PeerMessage) {
    let now = deployment.now;

    let policy = deployment.nodes[0].as_mut().expect("the balancer runs");
    policy.on_message(node_address(sender), message, now);
}
