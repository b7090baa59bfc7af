//! The planned stop: no request cut, no claim lost, no flow forgotten.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_core::ids::{BalancerId, ServiceId};
use valvestage_policy::control::StopStep;
use valvestage_wire::WireError;

use super::bindings_task::copy_exceptions;
use super::control_state::ControlState;
use super::peer_clients::{PeerClients, call_context};
use super::platform_driver::PlatformDriver;
use crate::commands::Command;

/// Pause between two looks at something that is awaited.
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until a signal asks for the stop.
pub(super) async fn wait_for_stop(stop_asked: &AtomicBool) {
    while !stop_asked.load(Ordering::Relaxed) {
        sleep(PAUSE).await;
    }
}

/// Stops within the time that the settings allow.
pub(super) async fn stop(
    state: &Arc<ControlState>,
    peers: &PeerClients,
    platform: &PlatformDriver,
) {
    let deadline = SystemTime::now() + state.settings.stop_within;
    log::info!("stopping: no new work, services are handed over");

    // The fabric sees that this balancer is not ready, the peers that it leaves.
    state.leave();
    let announced = SystemTime::now();

    hand_over_all(state, peers, platform, deadline).await;
    state.change(|policy, _| policy.release_lease());
    copy_exceptions(state, peers).await;

    // Until every peer and the fabric have noticed, packets still come and are relayed.
    let noticed = announced + state.settings.dead_after;
    loop {
        let open_work = state.snapshot().await.open_work;
        let is_given_back = state.read(|policy| policy.is_lease_released());
        let now = SystemTime::now();
        if (open_work == 0 && now >= noticed && is_given_back) || now >= deadline {
            log::info!(open_work; "stopped");
            return;
        }
        sleep(PAUSE).await;
    }
}

async fn hand_over_all(
    state: &Arc<ControlState>,
    peers: &PeerClients,
    platform: &PlatformDriver,
    deadline: SystemTime,
) {
    let mut stop = state.read(|policy| policy.planned_stop(SystemTime::now()));

    while !stop.is_done() && SystemTime::now() < deadline {
        let now = SystemTime::now();
        let step = state.read(|policy| stop.next(now, policy.owner_map(), &policy.candidates(now)));

        match step {
            Some(StopStep::Offer { to, service, handover }) => {
                let offered = offer(state, peers, to, service, handover).await;
                let taken = offered.unwrap_or_else(|error| {
                    log::warn!("{error}");
                    false
                });
                stop.on_offered(taken);
            }
            Some(StopStep::Call(call)) => {
                stop.on_reply(SystemTime::now(), platform.execute(call).await);
            }
            Some(StopStep::Settle { service, moved, map }) => {
                if let Some(map) = map {
                    state.change(|policy, out| policy.on_owner_map(map, out));
                }
                state.tell(Command::SettleHandover { service, moved });
                log::info!(service, moved; "handover of a service");
            }
            None => sleep(PAUSE).await,
        }
    }
}

async fn offer(
    state: &ControlState,
    peers: &PeerClients,
    to: BalancerId,
    service: ServiceId,
    handover: u64,
) -> Result<bool, WireError> {
    let question = |reply| Command::StartHandover { service, reply };
    let (Some(record), Some(claims)) = (state.find_peer(to), state.ask(question).await) else {
        return Ok(false);
    };

    let address = record.peer_address;
    let client = peers.get(address).await?;
    let result = client.offer_handover(call_context(), service, handover, claims).await;
    peers.check(address, "offer handover", result)
}
