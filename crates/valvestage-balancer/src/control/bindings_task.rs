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

/// Largest number of bindings in one message; such a message has about 1.3 KB.
const BINDINGS_PER_MESSAGE: usize = 100;

/// Pause between two messages. Together with [`BINDINGS_PER_MESSAGE`] it limits the bandwidth of
/// the copies.
const MESSAGE_PAUSE: Duration = Duration::from_millis(800);

/// Time to wait after a change, so that changes in quick succession are handled together.
const GATHER: Duration = Duration::from_millis(150);

pub(super) async fn run(state: Arc<ControlState>, peers: PeerClients) {
    loop {
        state.placement_changed.notified().await;
        sleep(GATHER).await;

        copy_exceptions(&state, &peers).await;
    }
}

/// Copies each binding that the configuration would not place the same way to the balancers that
/// may need it. The configuration and the live balancers are read once at the start; a change
/// during the copy makes the task run again afterwards.
pub(super) async fn copy_exceptions(state: &Arc<ControlState>, peers: &PeerClients) {
    let Some(flows) = state.ask(Command::ListBindings).await else {
        return;
    };
    let finder = ExceptionFinder::new(state.settings.id, &flows.history, flows.view);
    let Some(finder) = finder else {
        return;
    };

    // This may compute millions of hashes, which would delay heartbeats on the control thread.
    let finding = tokio::task::spawn_blocking(move || finder.copies(&flows.bindings));
    let Ok(copies) = finding.await else {
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
        for part in bindings.chunks(BINDINGS_PER_MESSAGE) {
            if !is_first {
                sleep(MESSAGE_PAUSE).await;
            }
            is_first = false;
            match send(peers, *address, part).await {
                Ok(()) => {
                    state.metrics.bindings_copied.inc_by(part.len() as u64);
                }
                Err(error) => log::warn!("{error}"),
            }
        }
    }
}

async fn send(peers: &PeerClients, peer: SocketAddr, part: &[Binding]) -> Result<(), WireError> {
    let client = peers.get(peer).await?;
    let result = client.copy_bindings(call_context(), part.to_vec()).await;

    peers.check(peer, "copy bindings", result)
}
