//! Answers calls of peers.

use std::sync::Arc;
use std::time::SystemTime;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use valvestage_core::ids::ServiceId;
use valvestage_policy::control::ObjectKey;
use valvestage_policy::flows::Binding;
use valvestage_policy::membership::HeartbeatMessage;
use valvestage_policy::operations::{DecisionRecord, Subject};
use valvestage_policy::requests::ExportedClaim;
use valvestage_wire::peers::{ByteCount, PeerKey, PeerService, SharedObject, accept};

use super::control_state::ControlState;
use crate::commands::{Command, Payload};
use crate::errors::BalancerError;

/// Listens on the peer address and answers calls in the background.
pub(super) async fn start(
    state: Arc<ControlState>,
    key: PeerKey,
    count: ByteCount,
) -> Result<(), BalancerError> {
    let address = state.settings.peer_address;
    let listener = TcpListener::bind(address)
        .await
        .map_err(BalancerError::socket("listen for peers on", address))?;

    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let serving = serve(state.clone(), stream, peer, key.clone(), count.clone());
                    actix_rt::spawn(serving);
                }
                Err(error) => log::warn!(step = "accept peer"; "{error}"),
            }
        }
    });
    Ok(())
}

async fn serve(
    state: Arc<ControlState>,
    stream: TcpStream,
    peer: std::net::SocketAddr,
    key: PeerKey,
    count: ByteCount,
) {
    let transport = match accept(stream, peer, &key, count).await {
        Ok(transport) => transport,
        Err(error) => {
            log::debug!("{error}");
            return;
        }
    };

    // A frame with a wrong MAC closes the connection before the frame is decoded.
    BaseChannel::with_defaults(transport)
        .execute(PeerHandler { state }.serve())
        .for_each(|response| async {
            actix_rt::spawn(response);
        })
        .await;
}

#[derive(Clone)]
struct PeerHandler {
    state: Arc<ControlState>,
}

impl PeerService for PeerHandler {
    async fn heartbeat(self, _: Context, message: HeartbeatMessage) -> HeartbeatMessage {
        let now = SystemTime::now();
        let answer = self.state.update(|policy, _| policy.on_heartbeat(now, message));

        // Run a step at once: it fetches the object versions that the heartbeat has announced.
        self.state.step_now.notify_one();
        answer
    }

    async fn fetch(self, _: Context, key: ObjectKey) -> Option<SharedObject> {
        let (version, value) = self.state.read(|policy| policy.object(key).cloned())?;

        Some(SharedObject { version, value })
    }

    async fn copy_bindings(self, _: Context, bindings: Vec<Binding>) {
        self.state.send_command(Command::AddBindings(bindings));
    }

    async fn offer_handover(
        self,
        _: Context,
        service: ServiceId,
        handover: u64,
        claims: Vec<ExportedClaim<Payload>>,
    ) -> bool {
        // A balancer without a lease cannot own a service.
        let accepts = self.state.is_ready() && self.state.read(|policy| policy.grant().is_some());

        if accepts {
            self.state.send_command(Command::OfferHandover { service, handover, claims });
        }
        accepts
    }

    async fn decisions(self, _: Context, subject: Subject) -> Vec<DecisionRecord> {
        let to_command = |reply| Command::ListDecisions { subject, reply };

        self.state.query_data_path(to_command).await.unwrap_or_default()
    }
}
