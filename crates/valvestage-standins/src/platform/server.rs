//! The HTTP server of the platform stand-in.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::http::header::{IF_MATCH, IF_NONE_MATCH};
use actix_web::web::{Data, Json, JsonConfig, Path, PayloadConfig, Query, get, post, put};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use valvestage_core::ids::ObjectVersion;
use valvestage_wire::platform::WriteResult;

use super::faults::Faults;
use super::store::ObjectStore;

/// Longest value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// `PlatformStandin` is the state that all connections share.
#[derive(Clone, Default)]
pub struct PlatformStandin {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    store: Mutex<ObjectStore>,
    faults: Mutex<Faults>,
    written: Notify,
}

impl PlatformStandin {
    /// `put` writes an object whatever its version, for tests.
    pub fn put(&self, key: &str, value: Value) {
        let mut store = self.store();
        let expected = store.read(key).map(|object| object.version);

        store.write(key, expected, value);
        drop(store);
        self.inner.written.notify_waiters();
    }

    /// `get` reads an object, for tests.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        self.store().read(key).map(|object| object.value.clone())
    }

    /// `misbehave` sets the faults.
    pub fn misbehave(&self, faults: Faults) {
        *self.faults() = faults;
    }

    fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.inner.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.inner.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as long as the faults say; none if the call is to fail.
    async fn admit(&self) -> Option<()> {
        let faults = *self.faults();
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }

        (!faults.down).then_some(())
    }
}

/// `start` serves on a listener; the address of the listener is known before.
pub fn start(listener: TcpListener, standin: PlatformStandin) -> io::Result<(SocketAddr, Server)> {
    let address = listener.local_addr()?;
    let data = Data::new(standin);

    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(PayloadConfig::new(MAX_VALUE_BYTES))
            .app_data(JsonConfig::default().limit(MAX_VALUE_BYTES))
            .route("/v1/objects/{key}", get().to(read))
            .route("/v1/objects/{key}", put().to(write))
            .route("/v1/watch", get().to(watch))
            .route("/faults", post().to(set_faults))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok((address, server))
}

async fn read(standin: Data<PlatformStandin>, key: Path<String>) -> HttpResponse {
    if standin.admit().await.is_none() {
        return unavailable();
    }

    match standin.store().read(&key) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn write(
    request: HttpRequest,
    standin: Data<PlatformStandin>,
    key: Path<String>,
    value: Json<Value>,
) -> HttpResponse {
    if standin.admit().await.is_none() {
        return unavailable();
    }
    let Some(expected) = expected_version(&request) else {
        return HttpResponse::BadRequest().body("If-Match or If-None-Match is needed\n");
    };

    let written = standin.store().write(&key, expected, value.into_inner());
    let Some(version) = written else {
        return HttpResponse::PreconditionFailed().finish();
    };
    standin.inner.written.notify_waiters();

    // The write took effect; its answer may still be lost.
    let mut faults = standin.faults();
    if faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        return unavailable();
    }
    HttpResponse::Ok().json(WriteResult { version })
}

fn expected_version(request: &HttpRequest) -> Option<Option<ObjectVersion>> {
    let text = |name| request.headers().get(name).and_then(|value| value.to_str().ok());

    if text(IF_NONE_MATCH) == Some("*") {
        return Some(None);
    }
    text(IF_MATCH)?.trim_matches('"').parse().ok().map(Some)
}

#[derive(Deserialize)]
struct WatchQuery {
    after: ObjectVersion,
    timeout_ms: u64,
}

async fn watch(standin: Data<PlatformStandin>, query: Query<WatchQuery>) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.timeout_ms);

    loop {
        if standin.admit().await.is_none() {
            return unavailable();
        }

        // Listen before looking, so that no write falls between.
        let written = standin.inner.written.notified();
        let lag = standin.faults().watch_lag;
        let result = standin.store().changes(query.after, lag);
        if !result.objects.is_empty() || Instant::now() >= deadline {
            return HttpResponse::Ok().json(result);
        }
        let _ = timeout_at(deadline, written).await;
    }
}

async fn set_faults(standin: Data<PlatformStandin>, faults: Json<Faults>) -> HttpResponse {
    standin.misbehave(faults.into_inner());

    HttpResponse::Ok().finish()
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}
