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
use valvestage_policy::steering::{BackendUpdate, RouteMap, StoreCall, StoreKind, StoreReply};

use crate::entry_metrics::EntryMetrics;
use crate::rejection_log::RejectionLog;
use crate::updates::{ControlUpdate, UpdateSender};

/// A request to the store, with the kind of objects that it is for.
pub type StoreRequest = (StoreKind, StoreCall);

/// What a task needs to execute a store request.
#[derive(Clone)]
pub struct StoreTaskContext {
    /// Client for the store.
    pub client: StoreClient,
    /// Sends the replies to the data thread.
    pub updates: UpdateSender,
    /// Metrics, which count the requests.
    pub metrics: Arc<EntryMetrics>,
    /// Logs the invalid values of configurations.
    pub rejections: Arc<RejectionLog>,
}

/// Executes store requests, each in a task of its own, until the data thread ends. The policy has
/// at most one request per kind in flight.
pub async fn run(context: StoreTaskContext, mut store_requests: Receiver<StoreRequest>) {
    while let Some((kind, call)) = store_requests.recv().await {
        actix_rt::spawn(execute(context.clone(), kind, call));
    }
}

async fn execute(context: StoreTaskContext, kind: StoreKind, call: StoreCall) {
    let client = &context.client;

    let (update, is_answered) = match kind {
        StoreKind::Configuration => {
            let read = |event: &WireEvent| read_configuration(event, &context.rejections);
            let reply = call_store(client, CONFIGURATION_KIND, call, read).await;
            let is_answered = reply != StoreReply::Failed;
            (ControlUpdate::Routes(reply), is_answered)
        }
        StoreKind::Backends => {
            let reply = call_store(client, BACKEND_KIND, call, read_backend_event).await;
            let is_answered = reply != StoreReply::Failed;
            (ControlUpdate::Backends(reply), is_answered)
        }
        StoreKind::Evacuations => {
            let read = |event: &WireEvent| Some(read_evacuation(event));
            let reply = call_store(client, EVACUATION_KIND, call, read).await;
            let is_answered = reply != StoreReply::Failed;
            (ControlUpdate::Evacuations(reply), is_answered)
        }
    };
    context.metrics.on_store_call(kind, is_answered);
    context.updates.send(update);
}

async fn call_store<T>(
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
fn read_configuration(event: &WireEvent, rejections: &RejectionLog) -> Option<RouteMap> {
    if event.deleted {
        return None;
    }

    let reading = ok_or_log(read_routes(&event.object))?;
    if let Some(line) = rejections.line(&reading) {
        log::error!("{line}");
    }
    Some(reading.routes)
}

fn read_backend_event(event: &WireEvent) -> Option<BackendUpdate> {
    let BackendReading { update, error } = ok_or_log(read_backend(event, Instant::now()))?;

    if let Some(error) = error {
        log::error!("{error}; the backend server's entry is unusable");
    }
    Some(update)
}

fn ok_or_log<T>(result: Result<T, PlatformError>) -> Option<T> {
    result.map_err(|error| log::error!("{error}")).ok()
}
