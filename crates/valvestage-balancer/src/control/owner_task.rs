//! Giving services to owners.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_policy::control::{
    CoordinatorInputs, ObjectKey, ObjectValue, OwnerCandidate, OwnerCoordinator,
};
use valvestage_policy::membership::PeerState;

use super::control_state::ControlState;
use super::platform_driver::PlatformDriver;

/// The balancer that is home of this key does it; two that do it at once do no harm.
const COORDINATOR_KEY: u64 = 0x6f77_6e65;

/// Pause between two looks at the owners.
const PAUSE: Duration = Duration::from_millis(200);

pub(super) async fn run(state: Arc<ControlState>, platform: PlatformDriver) {
    let own = state.settings.id;
    let clock_bound = state.settings.clock_bound;
    let mut coordinator = OwnerCoordinator::new(own, clock_bound, SystemTime::now());

    loop {
        let now = SystemTime::now();
        let is_chosen = state.view().home(COORDINATOR_KEY) == Some(own);
        coordinator.on_map(&state.owner_map());
        let inputs = inputs(&state, now);
        let call = if is_chosen {
            coordinator.next_call(now, &inputs)
        } else {
            None
        };

        let Some(call) = call else {
            sleep(PAUSE).await;
            continue;
        };
        let reply = platform.execute(call).await;
        if let Some(map) = coordinator.on_reply(SystemTime::now(), reply) {
            state.offer(
                ObjectKey::OwnerMap,
                map.version,
                ObjectValue::OwnerMap(map.raw),
            );
        }
    }
}

fn inputs(state: &ControlState, now: SystemTime) -> CoordinatorInputs {
    let configuration = state.configuration();
    let services = configuration
        .iter()
        .flat_map(|configuration| configuration.services().map(|service| service.id))
        .collect();

    CoordinatorInputs {
        services,
        candidates: candidates(state, now),
    }
}

/// Live, staying balancers that hold a lease, this one included.
pub(super) fn candidates(state: &ControlState, now: SystemTime) -> Vec<OwnerCandidate> {
    let peers = state
        .known_peers(now)
        .into_iter()
        .filter(|(_, alive)| *alive);

    peers
        .map(|(record, _)| record)
        .chain([state.own_record()])
        .filter(|record| record.state == PeerState::Serving && record.lease_epoch > 0)
        .map(|record| OwnerCandidate {
            id: record.id,
            lease: record.lease_epoch,
        })
        .collect()
}
