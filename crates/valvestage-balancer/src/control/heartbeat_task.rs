//! Gossip with peers: live view, and fetching newer objects.

use std::sync::Arc;
use std::time::SystemTime;

use tokio::time::sleep;
use valvestage_policy::control::ObjectKey;
use valvestage_policy::membership::{HeartbeatMessage, PeerRecord};
use valvestage_wire::WireError;

use super::control_state::ControlState;
use super::peer_clients::{PeerClients, call_context};
use crate::metrics::DirectionLabel;

/// Sends heartbeats at the interval of the settings, and at once when something is new.
pub(super) async fn run(state: Arc<ControlState>, peers: PeerClients) {
    loop {
        let (targets, message) = state.beat(SystemTime::now());
        for target in targets {
            actix_rt::spawn(exchange(
                state.clone(),
                peers.clone(),
                target,
                message.clone(),
            ));
        }

        tokio::select! {
            () = sleep(state.settings.heartbeat_interval) => {}
            () = state.beat_now.notified() => {}
        }

        state.refresh_view(SystemTime::now());
        fetch_newer(&state, &peers).await;
        update_metrics(&state, &peers);
    }
}

async fn exchange(
    state: Arc<ControlState>,
    peers: PeerClients,
    target: PeerRecord,
    message: HeartbeatMessage,
) {
    match try_exchange(&peers, &target, message).await {
        Ok(answer) => state.merge(answer, SystemTime::now()),
        Err(error) => log::debug!("{error}"),
    }
}

async fn try_exchange(
    peers: &PeerClients,
    target: &PeerRecord,
    message: HeartbeatMessage,
) -> Result<HeartbeatMessage, WireError> {
    let address = target.peer_address;
    let client = peers.get(address).await?;
    let result = client.heartbeat(call_context(), message).await;

    peers.check(address, "heartbeat", result)
}

/// Fetches every object of which a live peer announced a newer version.
async fn fetch_newer(state: &Arc<ControlState>, peers: &PeerClients) {
    for (record, key) in state.newer_at(SystemTime::now()) {
        match fetch(peers, &record, key).await {
            Ok(Some(object)) => state.offer(key, object.version, object.value),
            Ok(None) => {}
            Err(error) => log::debug!("{error}"),
        }
    }
}

async fn fetch(
    peers: &PeerClients,
    record: &PeerRecord,
    key: ObjectKey,
) -> Result<Option<valvestage_wire::peers::SharedObject>, WireError> {
    let address = record.peer_address;
    let client = peers.get(address).await?;
    let result = client.fetch(call_context(), key).await;

    peers.check(address, "fetch object", result)
}

fn update_metrics(state: &ControlState, peers: &PeerClients) {
    let count = peers.byte_count();
    let bytes = &state.metrics.control_bytes;
    bytes
        .get_or_create(&DirectionLabel { direction: "sent" })
        .set(count.sent());
    bytes
        .get_or_create(&DirectionLabel {
            direction: "received",
        })
        .set(count.received());

    let now = SystemTime::now();
    if let Some(heard) = state.platform_heard() {
        let age = now.duration_since(heard).unwrap_or_default();
        state
            .metrics
            .configuration_age_ms
            .set(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    }
}
