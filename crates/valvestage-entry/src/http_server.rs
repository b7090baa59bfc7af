//! HTTP for the routers' question and for metrics, on the control thread itself.
//!
//! `actix-web`'s server starts an accept thread and workers, which takes a third of the time to
//! readiness on a small VM and two wake-ups more for each call. The protocol underneath, `actix-http`,
//! runs on this thread as well.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;

use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

/// `HttpAnswer` is the status and the text of an answer.
pub struct HttpAnswer {
    /// Its status.
    pub status: actix_http::StatusCode,
    /// Its body.
    pub text: String,
}

/// `serve` answers requests by their path as long as the process lives.
pub async fn serve(
    listener: std::net::TcpListener,
    answer: impl Fn(&str) -> HttpAnswer + 'static,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let answer = Rc::new(answer);
    let factory = HttpService::build()
        .finish(fn_service(move |request: Request| {
            let HttpAnswer { status, text } = answer(request.path());
            let response = Response::build(status).body(text);
            async move { Ok::<_, Infallible>(response) }
        }))
        .tcp();
    let service = factory.new_service(()).await;
    let service = service.map_err(|()| io::Error::other("the HTTP service cannot be made"))?;

    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let call = service.call(stream);
                actix_rt::spawn(async move {
                    if let Err(error) = call.await {
                        log::debug!("HTTP connection: {error}");
                    }
                });
            }
            // Such as too many open files: others may close theirs meanwhile.
            Err(error) => {
                log::warn!("accept HTTP connection: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}
