//! The planned stop: no request cut, no claim lost, no flow forgotten.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_core::ids::ServiceId;
use valvestage_policy::control::{
    HandoverOutcome, ObjectKey, ObjectValue, OwnerCandidate, OwnerHandover, OwnerMap,
};
use valvestage_wire::WireError;

use super::bindings_task::copy_exceptions;
use super::control_state::ControlState;
use super::lease_task::SharedLease;
use super::owner_task::candidates;
use super::peer_clients::{PeerClients, call_context};
use super::platform_driver::PlatformDriver;
use crate::commands::Command;

/// Pause between two looks at something that is awaited.
const PAUSE: Duration = Duration::from_millis(50);

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
    lease: &SharedLease,
) {
    let deadline = SystemTime::now() + state.settings.stop_within;
    log::info!("stopping: no new work, services are handed over");

    // The fabric sees that this balancer is not ready, the peers that it leaves.
    state.set_ready(false);
    state.set_leaving();
    let announced = SystemTime::now();

    hand_over_all(state, peers, platform, deadline).await;
    lease.borrow_mut().give_back();
    copy_exceptions(state, peers).await;

    // Until every peer and the fabric have noticed, packets still come and are relayed.
    let noticed = announced + state.settings.dead_after;
    loop {
        let open_work = state.snapshot().await.open_work;
        let now = SystemTime::now();
        let is_done = open_work == 0 && now >= noticed && lease.borrow().is_given_back();
        if is_done || now >= deadline {
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
    for service in state.owned_services() {
        let moved = hand_over(state, peers, platform, service, deadline).await;

        state.tell(Command::SettleHandover { service, moved });
        log::info!(service, moved; "handover of a service");
    }
}

/// Hands one service over; false if this balancer stays its owner.
async fn hand_over(
    state: &Arc<ControlState>,
    peers: &PeerClients,
    platform: &PlatformDriver,
    service: ServiceId,
    deadline: SystemTime,
) -> bool {
    let question = |reply| Command::StartHandover { service, reply };
    let Some(claims) = state.ask(question).await else {
        return false;
    };

    for next in next_owners(state) {
        let base = state.owner_map();
        let Some(handover) = OwnerHandover::new(service, &base, next, SystemTime::now()) else {
            return false;
        };
        match offer(state, peers, next, service, handover.id, claims.clone()).await {
            Ok(true) => return move_service(state, platform, &handover, deadline).await,
            Ok(false) => {}
            Err(error) => log::warn!("{error}"),
        }
    }
    false
}

/// The other candidates, those with fewer services first.
fn next_owners(state: &ControlState) -> Vec<OwnerCandidate> {
    let map = state.owner_map();
    let owned = |id| {
        map.raw
            .entries
            .values()
            .filter(|entry| entry.owner == id)
            .count()
    };
    let mut next = candidates(state, SystemTime::now());

    next.retain(|candidate| candidate.id != state.settings.id);
    next.sort_by_key(|candidate| owned(candidate.id));
    next
}

async fn offer(
    state: &ControlState,
    peers: &PeerClients,
    next: OwnerCandidate,
    service: ServiceId,
    handover: u64,
    claims: Vec<valvestage_policy::requests::HandedClaim<Vec<u8>>>,
) -> Result<bool, WireError> {
    let known = state.known_peers(SystemTime::now());
    let Some((record, _)) = known.into_iter().find(|(record, _)| record.id == next.id) else {
        return Ok(false);
    };

    let address = record.peer_address;
    let client = peers.get(address).await?;
    let result = client
        .offer_handover(call_context(), service, handover, claims)
        .await;
    peers.check(address, "offer handover", result)
}

/// Writes the owner map. While the result is open nothing of the service is run here.
async fn move_service(
    state: &ControlState,
    platform: &PlatformDriver,
    handover: &OwnerHandover,
    deadline: SystemTime,
) -> bool {
    let mut call = handover.call();

    while SystemTime::now() < deadline {
        match handover.on_reply(platform.execute(call.clone()).await) {
            HandoverOutcome::Call(next) => call = next,
            HandoverOutcome::Moved(map) => {
                put_in_force(state, map);
                return true;
            }
            HandoverOutcome::Stays(map) => {
                put_in_force(state, map);
                return false;
            }
            HandoverOutcome::Unsettled => {
                sleep(PAUSE).await;
                call = valvestage_policy::control::PlatformCall::Read {
                    key: ObjectKey::OwnerMap,
                };
            }
        }
    }
    // Not settled: the next owner may have it, so nothing held back is run here.
    true
}

fn put_in_force(state: &ControlState, map: OwnerMap) {
    state.offer(
        ObjectKey::OwnerMap,
        map.version,
        ObjectValue::OwnerMap(map.raw),
    );
}
