//! The routers' question whether this VM takes packets.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::dev::Server;
use actix_web::web::{Data, get};
use actix_web::{App, HttpResponse, HttpServer};
use valvestage_platform::catalogue::READY_PATH;

/// `start` serves readiness on a listener.
pub fn start(listener: TcpListener, ready: Arc<AtomicBool>) -> std::io::Result<Server> {
    let data = Data::from(ready);

    let server = HttpServer::new(move || {
        App::new().app_data(data.clone()).route(READY_PATH, get().to(answer))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

async fn answer(ready: Data<AtomicBool>) -> HttpResponse {
    if ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}
