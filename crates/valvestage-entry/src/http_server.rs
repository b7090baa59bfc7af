//! HTTP server for the readiness and metrics endpoints, on the control thread.
//!
//! It uses `actix-http` directly. The server of `actix-web` starts an accept thread and worker
//! threads, which takes a third of the time to readiness on a small VM and costs two more wake-ups
//! per request.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;

use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

/// Response to a request for a path.
pub struct HttpResponse {
    /// Status code.
    pub status: actix_http::StatusCode,
    /// Body, which may be empty.
    pub body: String,
}

/// Serves requests until the process ends. `answer` returns the response for a request's path.
/// Returns only if the server cannot be started.
pub async fn serve(
    listener: std::net::TcpListener,
    answer: impl Fn(&str) -> HttpResponse + 'static,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let answer = Rc::new(answer);
    let factory = HttpService::build()
        .finish(fn_service(move |request: Request| {
            let HttpResponse { status, body } = answer(request.path());
            let response = Response::build(status).body(body);
            async move { Ok::<_, Infallible>(response) }
        }))
        .tcp();
    let service = factory.new_service(()).await;
    let service = service.map_err(|()| io::Error::other("failed to create the HTTP service"))?;

    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let call = service.call(stream);
                actix_rt::spawn(async move {
                    if let Err(error) = call.await {
                        log::debug!("HTTP connection failed: {error}");
                    }
                });
            }
            // For example, too many open files: wait until other connections are closed.
            Err(error) => {
                log::warn!("failed to accept an HTTP connection: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}
