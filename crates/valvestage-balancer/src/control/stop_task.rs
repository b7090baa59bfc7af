//! The planned stop: lets open requests finish, hands claims to the next owners and copies the
//! bindings of flows to other balancers.

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

/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a signal requests the stop.
pub(super) async fn wait_for_stop_request(stop_requested: &AtomicBool) {
    while !stop_requested.load(Ordering::Relaxed) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Performs the planned stop, within the time that the settings allow.
pub(super) async fn stop(
    state: &Arc<ControlState>,
    peers: &PeerClients,
    platform: &PlatformDriver,
) {
    let deadline = SystemTime::now() + state.settings.stop_timeout;
    log::info!("stopping: taking no new work, handing services over");

    // From now on `/readyz` reports not ready to the fabric, and heartbeats report to the peers
    // that this balancer is leaving.
    state.leave();
    let announced_at = SystemTime::now();

    hand_over_services(state, peers, platform, deadline).await;
    state.update(|policy, _| policy.release_lease());
    copy_exceptions(state, peers).await;

    // Packets arrive, and are relayed, until the fabric and every peer have noticed the stop.
    let noticed_at = announced_at + state.settings.dead_after;
    loop {
        let open_work = state.snapshot().await.open_work;
        let is_given_back = state.read(|policy| policy.is_lease_released());
        let now = SystemTime::now();
        if (open_work == 0 && now >= noticed_at && is_given_back) || now >= deadline {
            log::info!(open_work; "stopped");
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn hand_over_services(
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
                let result = offer_service(state, peers, to, service, handover).await;
                let accepted = result.unwrap_or_else(|error| {
                    log::warn!("{error}");
                    false
                });
                stop.on_offered(accepted);
            }
            Some(StopStep::Call(call)) => {
                stop.on_reply(SystemTime::now(), platform.execute(call).await);
            }
            Some(StopStep::Settle { service, moved, map }) => {
                if let Some(map) = map {
                    state.update(|policy, out| policy.on_owner_map(map, out));
                }
                state.send_command(Command::SettleHandover { service, moved });
                log::info!(service, moved; "service handover finished");
            }
            None => sleep(POLL_INTERVAL).await,
        }
    }
}

async fn offer_service(
    state: &ControlState,
    peers: &PeerClients,
    to: BalancerId,
    service: ServiceId,
    handover: u64,
) -> Result<bool, WireError> {
    let to_command = |reply| Command::StartHandover { service, reply };
    let (Some(record), Some(claims)) =
        (state.find_peer(to), state.query_data_path(to_command).await)
    else {
        return Ok(false);
    };

    let address = record.peer_address;
    let client = peers.get(address).await?;
    let result = client.offer_handover(call_context(), service, handover, claims).await;
    peers.check(address, "offer handover", result)
}
