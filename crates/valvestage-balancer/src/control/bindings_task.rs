//! Copies bindings that do not follow from the configuration to other balancers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use valvestage_core::ids::BalancerId;
use valvestage_policy::flows::{Binding, ExceptionFinder};
use valvestage_wire::WireError;

use super::control_state::ControlState;
use super::peer_clients::{PeerClients, call_context};
use crate::commands::Command;

/// Largest number of bindings in one message; a message with this number has about 1.3 KB.
const BINDINGS_PER_MESSAGE: usize = 100;

/// Pause between two messages. Together with [`BINDINGS_PER_MESSAGE`] it limits the bandwidth of
/// the copies.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(800);

/// Time to wait after a change, so that changes in quick succession are handled together.
const COALESCE_DELAY: Duration = Duration::from_millis(150);

pub(super) async fn run(state: Arc<ControlState>, peers: PeerClients) {
    loop {
        state.placement_changed.notified().await;
        sleep(COALESCE_DELAY).await;

        copy_exceptions(&state, &peers).await;
    }
}

/// Copies each binding that does not follow from the configuration to the balancers that may need
/// it. The configuration and the live balancers are read once at the start; if they change
/// meanwhile, the task runs again afterwards.
pub(super) async fn copy_exceptions(state: &Arc<ControlState>, peers: &PeerClients) {
    let Some(flows) = state.query_data_path(Command::ListBindings).await else {
        return;
    };
    let finder = ExceptionFinder::new(state.settings.id, &flows.history, flows.view);
    let Some(finder) = finder else {
        return;
    };

    // This may compute millions of hashes, which would delay heartbeats on the control thread.
    let search = tokio::task::spawn_blocking(move || finder.copies(&flows.bindings));
    let Ok(copies) = search.await else {
        return;
    };
    let addresses: BTreeMap<BalancerId, SocketAddr> = state
        .known_peers()
        .into_iter()
        .map(|(record, _)| (record.id, record.peer_address))
        .collect();

    let mut is_first = true;
    for (target, bindings) in copies {
        let Some(address) = addresses.get(&target) else {
            continue;
        };
        for chunk in bindings.chunks(BINDINGS_PER_MESSAGE) {
            if !is_first {
                sleep(MESSAGE_INTERVAL).await;
            }
            is_first = false;
            match send_bindings(peers, *address, chunk).await {
                Ok(()) => {
                    state.metrics.bindings_copied.inc_by(chunk.len() as u64);
                }
                Err(error) => log::warn!("{error}"),
            }
        }
    }
}

async fn send_bindings(
    peers: &PeerClients,
    peer: SocketAddr,
    chunk: &[Binding],
) -> Result<(), WireError> {
    let client = peers.get(peer).await?;
    let result = client.copy_bindings(call_context(), chunk.to_vec()).await;

    peers.check(peer, "copy bindings", result)
}
