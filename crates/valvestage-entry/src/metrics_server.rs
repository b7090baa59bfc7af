//! HTTP endpoint for metrics.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use actix_http::StatusCode;

use crate::entry_metrics::EntryMetrics;
use crate::http_server::{HttpResponse, serve};

/// Path of the endpoint.
const PATH: &str = "/metrics";

/// Serves the metrics endpoint until the process ends.
pub async fn run(listener: TcpListener, metrics: Arc<EntryMetrics>) -> io::Result<()> {
    serve(listener, move |path| match path {
        PATH => HttpResponse { status: StatusCode::OK, body: metrics.encode_text() },
        _ => HttpResponse { status: StatusCode::NOT_FOUND, body: String::new() },
    })
    .await
}
