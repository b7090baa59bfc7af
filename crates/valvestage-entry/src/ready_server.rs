//! HTTP endpoint by which the routers check whether this VM is ready.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_http::StatusCode;
use valvestage_platform::catalogue::READY_PATH;

use crate::http_server::{HttpResponse, serve};

/// Serves the readiness endpoint until the process ends.
pub async fn run(listener: TcpListener, ready: Arc<AtomicBool>) -> io::Result<()> {
    let status = move |path: &str| match (path, ready.load(Ordering::Relaxed)) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };

    serve(listener, move |path| HttpResponse { status: status(path), body: String::new() }).await
}
