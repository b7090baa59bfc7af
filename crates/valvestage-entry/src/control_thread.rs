//! The control thread: store access, readiness and metrics endpoints, settings and signals, on a
//! single-threaded actix system.

use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::Receiver;
use tokio::sync::oneshot;
use valvestage_core::settings::EntrySettings;
use valvestage_platform::{StoreClient, StoreOptions};

use crate::entry_metrics::EntryMetrics;
use crate::store_tasks::{StoreRequest, StoreTaskContext};
use crate::updates::{ControlUpdate, UpdateSender};
use crate::{metrics_server, ready_server, settings_task, store_tasks};

/// Time limit for a response of the store. The store usually responds in 4 ms, but can be about 60
/// times slower at times.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time from SIGTERM to the end of the process. The routers check readiness twice a second and
/// remove a balancer after two failed checks; the rest of the time is for packets in flight.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(2_000);

/// Time reserved between the planned end of the process and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// State with which the control thread starts.
pub struct ControlThread {
    /// Settings file, which is watched for changes.
    pub settings_file: PathBuf,
    /// Settings of this VM as read at the start.
    pub settings: EntrySettings,
    /// Listener of the readiness endpoint.
    pub ready_listener: TcpListener,
    /// Listener of the metrics endpoint.
    pub metrics_listener: TcpListener,
    /// Metrics, shared with the data thread.
    pub metrics: Arc<EntryMetrics>,
    /// Readiness of this VM. Set by the data thread, and cleared here on SIGTERM.
    pub ready: Arc<AtomicBool>,
    /// Store requests from the data thread.
    pub store_requests: Receiver<StoreRequest>,
    /// Sends updates to the data thread.
    pub updates: UpdateSender,
    /// Receives the error with which the data thread ended. Without an error the data thread runs
    /// as long as the process.
    pub data_thread_error: oneshot::Receiver<io::Error>,
    /// Whether SIGTERM arrived before this thread handled signals.
    pub stop_requested: Arc<AtomicBool>,
}

impl ControlThread {
    /// Runs until SIGTERM, then keeps the process forwarding packets for a grace period.
    pub fn run(self) -> io::Result<()> {
        actix_rt::System::new().block_on(self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        // Read only after the handler above is installed, so that no SIGTERM in between is missed.
        let was_requested = self.stop_requested.load(Ordering::Relaxed);
        let client = StoreClient::new(StoreOptions {
            address: self.settings.store_address.into(),
            token: None,
            timeout: STORE_TIMEOUT,
        });
        actix_rt::spawn(settings_task::run(
            self.settings_file,
            self.settings.clone(),
            client.clone(),
            self.updates.clone(),
        ));
        let context = StoreTaskContext {
            client,
            updates: self.updates.clone(),
            metrics: self.metrics.clone(),
            rejections: Arc::default(),
        };
        actix_rt::spawn(store_tasks::run(context, self.store_requests));
        let ready = self.ready.clone();
        let listener = self.ready_listener;
        actix_rt::spawn(async move {
            log_server_error("readiness", ready_server::run(listener, ready).await);
        });
        let listener = self.metrics_listener;
        actix_rt::spawn(async move {
            log_server_error("metrics", metrics_server::run(listener, self.metrics).await);
        });

        tokio::select! {
            _ = terminate.recv(), if !was_requested => {}
            () = std::future::ready(()), if was_requested => {}
            // The balancer is useless without the data thread: end the process, which the platform
            // then restarts.
            error = self.data_thread_error => {
                return Err(error.unwrap_or_else(|_| io::Error::other("the data thread panicked")));
            }
        }
        log::info!("SIGTERM received: no longer ready, still forwarding packets");
        self.updates.send(ControlUpdate::Stop);
        self.ready.store(false, Ordering::Relaxed);
        let longest = self.settings.stop_timeout.saturating_sub(KILL_MARGIN);
        tokio::time::sleep(SHUTDOWN_GRACE.min(longest)).await;
        log::info!("stopped");
        Ok(())
    }
}

fn log_server_error(what: &str, result: io::Result<()>) {
    if let Err(error) = result {
        log::error!("the {what} server failed: {error}");
    }
}
