//! Executes the actions of the control policy: heartbeats, fetches and platform calls.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_policy::control::{ControlAction, ObjectKey, PlatformCall, StateMachine};
use valvestage_policy::membership::{HeartbeatMessage, PeerRecord};
use valvestage_wire::WireError;
use valvestage_wire::peers::SharedObject;

use super::control_state::ControlState;
use super::peer_clients::{PeerClients, call_context};
use super::platform_driver::PlatformDriver;
use crate::metrics::DirectionLabel;

/// Interval between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the control policy at a fixed interval, and at once after each change.
pub(super) async fn run(state: Arc<ControlState>, peers: PeerClients, platform: PlatformDriver) {
    loop {
        for action in state.step(SystemTime::now()) {
            actix_rt::spawn(perform(action, state.clone(), peers.clone(), platform.clone()));
        }
        update_metrics(&state, &peers);

        tokio::select! {
            () = sleep(STEP_INTERVAL) => {}
            () = state.step_now.notified() => {}
        }
    }
}

async fn perform(
    action: ControlAction,
    state: Arc<ControlState>,
    peers: PeerClients,
    platform: PlatformDriver,
) {
    match action {
        ControlAction::Call { machine, call } => {
            call_platform(&state, &platform, machine, call).await;
        }
        ControlAction::Heartbeat { to, message } => match heartbeat(&peers, &to, message).await {
            Ok(answer) => {
                state.update(|policy, _| policy.on_heartbeat_answer(SystemTime::now(), answer));
            }
            Err(error) => log::debug!("{error}"),
        },
        ControlAction::Fetch { from, key } => match fetch(&peers, &from, key).await {
            Ok(Some(object)) => state.on_object(key, object.version, object.value),
            Ok(None) => {}
            Err(error) => log::debug!("{error}"),
        },
        // The control state has already installed it.
        ControlAction::Install(_) => {}
    }
}

async fn call_platform(
    state: &ControlState,
    platform: &PlatformDriver,
    machine: StateMachine,
    call: PlatformCall,
) {
    let reply = platform.execute(call).await;

    let result =
        state.update(|policy, out| policy.on_reply(SystemTime::now(), machine, reply, out));
    if let Err(error) = result {
        log::error!("object from the platform not installed: {error}");
    }
    state.step_now.notify_one();
}

async fn heartbeat(
    peers: &PeerClients,
    to: &PeerRecord,
    message: HeartbeatMessage,
) -> Result<HeartbeatMessage, WireError> {
    let address = to.peer_address;
    let client = peers.get(address).await?;
    let result = client.heartbeat(call_context(), message).await;

    peers.check(address, "heartbeat", result)
}

async fn fetch(
    peers: &PeerClients,
    from: &PeerRecord,
    key: ObjectKey,
) -> Result<Option<SharedObject>, WireError> {
    let address = from.peer_address;
    let client = peers.get(address).await?;
    let result = client.fetch(call_context(), key).await;

    peers.check(address, "fetch object", result)
}

fn update_metrics(state: &ControlState, peers: &PeerClients) {
    let count = peers.byte_count();
    let bytes = &state.metrics.control_bytes;
    bytes.get_or_create(&DirectionLabel { direction: "sent" }).set(count.sent());
    bytes.get_or_create(&DirectionLabel { direction: "received" }).set(count.received());

    if let Some(heard) = state.read(|policy| policy.last_platform_contact()) {
        let age = SystemTime::now().duration_since(heard).unwrap_or_default();
        state.metrics.configuration_age_ms.set(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    }
}
