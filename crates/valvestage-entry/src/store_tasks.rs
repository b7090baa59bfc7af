//! Calls to the store that the policy asks for.

use std::time::Instant;

use tokio::sync::mpsc::Receiver;
use valvestage_platform::catalogue::{BACKEND_KIND, CONFIGURATION_KIND, read_backend, read_routes};
use valvestage_platform::messages::WireEvent;
use valvestage_platform::{PlatformError, StoreClient};
use valvestage_policy::steering::{StoreCall, StoreKind, StoreReply};

use crate::updates::{ControlUpdate, UpdateSender};

/// `StoreOrder` is one call that the policy asks for.
pub type StoreOrder = (StoreKind, StoreCall);

/// `run` carries out orders, one for each kind at a time, until the data thread ends.
pub async fn run(client: StoreClient, mut orders: Receiver<StoreOrder>, updates: UpdateSender) {
    while let Some((kind, call)) = orders.recv().await {
        let (client, updates) = (client.clone(), updates.clone());

        actix_rt::spawn(async move {
            let update = match kind {
                StoreKind::Configuration => ControlUpdate::Routes(
                    carry_out(&client, CONFIGURATION_KIND, call, read_configuration).await,
                ),
                StoreKind::Backends => ControlUpdate::Backends(
                    carry_out(&client, BACKEND_KIND, call, read_backend_event).await,
                ),
            };
            updates.send(update);
        });
    }
}

async fn carry_out<T>(
    client: &StoreClient,
    kind: &'static str,
    call: StoreCall,
    read: impl Fn(&WireEvent) -> Option<T>,
) -> StoreReply<T> {
    let result = match call {
        StoreCall::List { after } => client.list(kind, after.as_deref(), read).await,
        StoreCall::Watch { revision, wait } => client.watch(kind, revision, wait, read).await,
    };

    result.unwrap_or_else(|error| {
        log::warn!(kind; "{error}");
        StoreReply::Failed
    })
}

/// A configuration stays in force until another one comes, so its deletion says nothing.
fn read_configuration(event: &WireEvent) -> Option<valvestage_policy::steering::RouteMap> {
    if event.deleted { None } else { logged(read_routes(&event.object)) }
}

fn read_backend_event(event: &WireEvent) -> Option<valvestage_policy::steering::BackendNews> {
    logged(read_backend(event, Instant::now()))
}

fn logged<T>(result: Result<T, PlatformError>) -> Option<T> {
    result.map_err(|error| log::error!("{error}")).ok()
}
