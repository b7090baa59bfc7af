//! HTTP server of the platform stand-in.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{Server, ServiceRequest, ServiceResponse};
use actix_web::http::header::HeaderName;
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{Data, Json, JsonConfig, Path, PayloadConfig, Query, delete, get, post, put};
use actix_web::{App, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use valvestage_core::ids::StoreRevision;
use valvestage_platform::messages::WireObject;
use valvestage_platform::objects::object_kind;

use super::faults::Faults;
use super::store::{ObjectStore, WriteError};

/// Largest object value; request bodies may have twice this size.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Page size of lists, in objects, unless the faults set another.
const DEFAULT_PAGE_SIZE: usize = 500;

/// Longest time that a watch may ask to wait for a change, milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Object store and faults of the platform stand-in, shared by all connections.
#[derive(Clone, Default)]
pub struct PlatformStandin {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    store: Mutex<ObjectStore>,
    faults: Mutex<Faults>,
    write_notify: Notify,
}

impl PlatformStandin {
    /// Writes one of valvestage's own objects without a revision check. Its kind follows from the
    /// key.
    pub fn put(&self, key: &str, value: Value) {
        self.put_object(object_kind(key), key, value);
    }

    /// Returns the value of one of valvestage's own objects.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        self.store().read(object_kind(key), key).map(|object| object.spec.clone())
    }

    /// Creates or replaces an object of any kind without a revision check.
    pub fn put_object(&self, kind: &str, name: &str, value: Value) {
        let mut store = self.store();

        if store.read(kind, name).is_some() {
            let _ = store.replace(kind, name, None, value);
        } else {
            let _ = store.create(kind, name, value);
        }
        drop(store);
        self.inner.write_notify.notify_waiters();
    }

    /// Deletes an object of any kind, if there is one.
    pub fn delete_object(&self, kind: &str, name: &str) {
        self.store().delete(kind, name);

        self.inner.write_notify.notify_waiters();
    }

    /// Drops the history of changes, so that watches from an older revision are answered with 410.
    pub fn compact_history(&self) {
        self.store().compact_history();

        self.inner.write_notify.notify_waiters();
    }

    /// Restores the state before the last `lost_changes` changes and starts the next era of the
    /// store.
    pub fn restore(&self, lost_changes: u64) {
        let mut store = self.store();
        let revision = store.revision().saturating_sub(lost_changes);
        store.restore(revision);
        drop(store);

        self.inner.write_notify.notify_waiters();
    }

    /// Replaces the faults that are injected.
    pub fn inject_faults(&self, faults: Faults) {
        *self.faults() = faults;
    }

    fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.inner.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.inner.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected delay. Returns `None` if the call has to fail.
    async fn apply_faults(&self) -> Option<()> {
        let faults = *self.faults();
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }

        (!faults.down).then_some(())
    }

    /// Answers a write. A write that took effect is answered with 503 while the faults ask for lost
    /// answers.
    fn answer_write(&self, result: Result<WireObject, WriteError>) -> HttpResponse {
        let object = match result {
            Ok(object) => object,
            Err(WriteError::Missing) => return HttpResponse::NotFound().finish(),
            Err(WriteError::Conflict(object)) => return HttpResponse::Conflict().json(object),
        };
        self.inner.write_notify.notify_waiters();

        let mut faults = self.faults();
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return unavailable();
        }
        HttpResponse::Ok().json(object)
    }
}

/// Builds the server on a bound listener and returns it with its address. The server runs once its
/// future is polled.
pub fn start(listener: TcpListener, standin: PlatformStandin) -> io::Result<(SocketAddr, Server)> {
    let address = listener.local_addr()?;
    let data = Data::new(standin);

    let server = HttpServer::new(move || {
        App::new()
            .wrap(from_fn(add_era_header))
            .app_data(data.clone())
            .app_data(PayloadConfig::new(2 * MAX_VALUE_BYTES))
            .app_data(JsonConfig::default().limit(2 * MAX_VALUE_BYTES))
            .route("/-/objects/{kind}", get().to(list_or_watch))
            .route("/-/objects/{kind}", post().to(create))
            .route("/-/objects/{kind}/{name}", get().to(read))
            .route("/-/objects/{kind}/{name}", put().to(replace))
            .route("/-/objects/{kind}/{name}", delete().to(remove))
            .route("/faults", post().to(set_faults))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok((address, server))
}

/// Adds the store's era to each answer, so that clients notice that the store was restored.
async fn add_era_header(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let standin = request.app_data::<Data<PlatformStandin>>().cloned();
    let mut response = next.call(request).await?;

    if let Some(standin) = standin {
        let era = standin.store().era();
        response.headers_mut().insert(HeaderName::from_static("store-era"), era.into());
    }
    Ok(response)
}

#[derive(Deserialize)]
struct ListQuery {
    after: Option<String>,
    watch: Option<StoreRevision>,
    #[serde(default)]
    wait_ms: u64,
}

async fn list_or_watch(
    standin: Data<PlatformStandin>,
    kind: Path<String>,
    query: Query<ListQuery>,
) -> HttpResponse {
    if let Some(after) = query.watch {
        return watch(&standin, &kind, after, query.wait_ms.min(MAX_WAIT_MS)).await;
    }
    if standin.apply_faults().await.is_none() {
        return unavailable();
    }

    let page_size = match standin.faults().page {
        0 => DEFAULT_PAGE_SIZE,
        page_size => page_size,
    };
    HttpResponse::Ok().json(standin.store().list(&kind, query.after.as_deref(), page_size))
}

async fn watch(
    standin: &PlatformStandin,
    kind: &str,
    after: StoreRevision,
    wait_ms: u64,
) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);

    loop {
        if standin.apply_faults().await.is_none() {
            return unavailable();
        }

        // The notification is created before the store is read: a write between the two would
        // otherwise be missed.
        let next_write = standin.inner.write_notify.notified();
        let lag = standin.faults().watch_lag;
        let Some(page) = standin.store().changes(kind, after, lag) else {
            return HttpResponse::Gone().finish();
        };
        if !page.events.is_empty() || Instant::now() >= deadline {
            return HttpResponse::Ok().json(page);
        }
        let _ = timeout_at(deadline, next_write).await;
    }
}

async fn read(standin: Data<PlatformStandin>, path: Path<(String, String)>) -> HttpResponse {
    if standin.apply_faults().await.is_none() {
        return unavailable();
    }

    match standin.store().read(&path.0, &path.1) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn create(
    standin: Data<PlatformStandin>,
    kind: Path<String>,
    object: Json<WireObject>,
) -> HttpResponse {
    if standin.apply_faults().await.is_none() {
        return unavailable();
    }

    let object = object.into_inner();
    let result = standin.store().create(&kind, &object.meta.name, object.spec);
    standin.answer_write(result)
}

async fn replace(
    standin: Data<PlatformStandin>,
    path: Path<(String, String)>,
    object: Json<WireObject>,
) -> HttpResponse {
    if standin.apply_faults().await.is_none() {
        return unavailable();
    }

    let WireObject { meta, spec, .. } = object.into_inner();
    let expected = (meta.revision > 0).then_some(meta.revision);
    let result = standin.store().replace(&path.0, &path.1, expected, spec);
    standin.answer_write(result)
}

async fn remove(standin: Data<PlatformStandin>, path: Path<(String, String)>) -> HttpResponse {
    if standin.apply_faults().await.is_none() {
        return unavailable();
    }

    let removed = standin.store().delete(&path.0, &path.1);
    standin.answer_write(removed.ok_or(WriteError::Missing))
}

async fn set_faults(standin: Data<PlatformStandin>, faults: Json<Faults>) -> HttpResponse {
    standin.inject_faults(faults.into_inner());

    HttpResponse::Ok().finish()
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}
