//! Execution of the store requests that the policy asks for.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc::Receiver;
use valvestage_platform::catalogue::{
    BACKEND_KIND, BackendReading, CONFIGURATION_KIND, EVACUATION_KIND, read_backend,
    read_evacuation, read_routes,
};
use valvestage_platform::messages::WireEvent;
use valvestage_platform::{PlatformError, StoreClient};
use valvestage_policy::steering::{BackendNews, RouteMap, StoreCall, StoreKind, StoreReply};

use crate::entry_metrics::EntryMetrics;
use crate::updates::{ControlUpdate, UpdateSender};

/// A request to the store, with the kind of objects that it is for.
pub type StoreOrder = (StoreKind, StoreCall);

/// What a task needs to execute a store request.
#[derive(Clone)]
pub struct StoreLinks {
    /// Client for the store.
    pub client: StoreClient,
    /// Sends the replies to the data thread.
    pub updates: UpdateSender,
    /// Metrics, which count the requests.
    pub metrics: Arc<EntryMetrics>,
}

/// Executes store requests, each in a task of its own, until the data thread ends. The policy has
/// at most one request per kind in flight.
pub async fn run(links: StoreLinks, mut orders: Receiver<StoreOrder>) {
    while let Some((kind, call)) = orders.recv().await {
        actix_rt::spawn(answer(links.clone(), kind, call));
    }
}

async fn answer(links: StoreLinks, kind: StoreKind, call: StoreCall) {
    let client = &links.client;

    let (update, is_answered) = match kind {
        StoreKind::Configuration => {
            let reply = carry_out(client, CONFIGURATION_KIND, call, read_configuration).await;
            let is_answered = reply != StoreReply::Failed;
            (ControlUpdate::Routes(reply), is_answered)
        }
        StoreKind::Backends => {
            let reply = carry_out(client, BACKEND_KIND, call, read_backend_event).await;
            let is_answered = reply != StoreReply::Failed;
            (ControlUpdate::Backends(reply), is_answered)
        }
        StoreKind::Evacuations => {
            let read = |event: &WireEvent| Some(read_evacuation(event));
            let reply = carry_out(client, EVACUATION_KIND, call, read).await;
            let is_answered = reply != StoreReply::Failed;
            (ControlUpdate::Evacuations(reply), is_answered)
        }
    };
    links.metrics.on_store_call(kind, is_answered);
    links.updates.send(update);
}

async fn carry_out<T>(
    client: &StoreClient,
    kind: &'static str,
    call: StoreCall,
    read: impl Fn(&WireEvent) -> Option<T>,
) -> StoreReply<T> {
    let result = match call {
        StoreCall::List { after, freshness } => {
            client.list(kind, after.as_deref(), freshness, read).await
        }
        StoreCall::Watch { revision, wait } => client.watch(kind, revision, wait, read).await,
    };

    result.unwrap_or_else(|error| {
        log::warn!(kind; "{error}");
        StoreReply::Failed
    })
}

/// Parses a change of the configuration. A deletion is ignored: the configuration stays in force
/// until it is replaced.
fn read_configuration(event: &WireEvent) -> Option<RouteMap> {
    if event.deleted { None } else { logged(read_routes(&event.object)) }
}

fn read_backend_event(event: &WireEvent) -> Option<BackendNews> {
    let BackendReading { news, fault } = logged(read_backend(event, Instant::now()))?;

    if let Some(fault) = fault {
        log::error!("{fault}; the backend server's entry is unusable");
    }
    Some(news)
}

fn logged<T>(result: Result<T, PlatformError>) -> Option<T> {
    result.map_err(|error| log::error!("{error}")).ok()
}
