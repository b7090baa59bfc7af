//! Starts the tasks of the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use actix_rt::System;
use valvestage_platform::{PlatformClient, StoreOptions};
use valvestage_wire::peers::PeerKey;

use super::control_state::ControlState;
use super::peer_clients::PeerClients;
use super::platform_driver::PlatformDriver;
use super::{admin_server, bindings_task, peer_server, step_task, stop_task, watch_task};
use crate::errors::BalancerError;

/// Time limit of one platform call.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Inputs of the control thread.
pub struct ControlInputs {
    /// State shared by the control tasks and the admin server.
    pub state: Arc<ControlState>,
    /// Key with which balancers authenticate to each other.
    pub peer_key: PeerKey,
    /// Bearer token for the platform; `None` if the settings name no token file.
    pub platform_token: Option<String>,
    /// Bearer token that `/status` and `/decisions` require.
    pub admin_token: String,
    /// Flag that SIGTERM and SIGINT set to request the planned stop.
    pub stop_requested: Arc<AtomicBool>,
}

/// Runs the control tasks on the calling thread until the planned stop has ended.
pub fn run(inputs: ControlInputs) -> Result<(), BalancerError> {
    System::new().block_on(serve(inputs))
}

async fn serve(inputs: ControlInputs) -> Result<(), BalancerError> {
    let state = inputs.state;
    let peers = PeerClients::new(inputs.peer_key.clone());
    let client = PlatformClient::new(StoreOptions {
        address: state.settings.platform_address,
        token: inputs.platform_token,
        timeout: PLATFORM_TIMEOUT,
    });
    let platform = PlatformDriver::new(client, state.clone());

    // Bind the listeners first, so that an address in use ends the process at once.
    peer_server::start(state.clone(), inputs.peer_key, peers.byte_count()).await?;
    admin_server::start(state.clone(), inputs.admin_token)?;

    actix_rt::spawn(step_task::run(state.clone(), peers.clone(), platform.clone()));
    actix_rt::spawn(watch_task::run(state.clone(), platform.clone()));
    actix_rt::spawn(bindings_task::run(state.clone(), peers.clone()));

    stop_task::wait_for_stop_request(&inputs.stop_requested).await;
    stop_task::stop(&state, &peers, &platform).await;
    Ok(())
}
