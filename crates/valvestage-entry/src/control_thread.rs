//! Store, readiness and signals, on an actix system of one thread.

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
use crate::store_tasks::{StoreLinks, StoreOrder};
use crate::updates::{ControlUpdate, UpdateSender};
use crate::{metrics_server, ready_server, settings_task, store_tasks};

/// Longest wait for an answer of the store, which takes 4 ms on a calm day and is at times some 60
/// times slower.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time from SIGTERM to the end of the process. The routers ask twice a second and need two misses;
/// the rest is for packets under way.
const FORWARD_AFTER_TERM: Duration = Duration::from_millis(2_000);

/// Time left before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// `ControlThread` is what the thread needs.
pub struct ControlThread {
    /// The file that the settings were read from.
    pub settings_file: PathBuf,
    /// Settings of this VM.
    pub settings: EntrySettings,
    /// Where readiness is asked for.
    pub ready_listener: TcpListener,
    /// Where metrics are asked for.
    pub metrics_listener: TcpListener,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
    /// Whether this VM takes packets.
    pub ready: Arc<AtomicBool>,
    /// Calls to the store that the data thread asks for.
    pub orders: Receiver<StoreOrder>,
    /// News for the data thread.
    pub updates: UpdateSender,
    /// Why the data thread has ended, which it never should.
    pub data_end: oneshot::Receiver<io::Error>,
    /// Whether SIGTERM came before it was watched here.
    pub told_to_stop: Arc<AtomicBool>,
}

impl ControlThread {
    /// `run` serves until SIGTERM, and forwards for a while after it.
    pub fn run(self) -> io::Result<()> {
        actix_rt::System::new().block_on(self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        // Watched from now on, so that none falls between.
        let was_told = self.told_to_stop.load(Ordering::Relaxed);
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
        let links =
            StoreLinks { client, updates: self.updates.clone(), metrics: self.metrics.clone() };
        actix_rt::spawn(store_tasks::run(links, self.orders));
        let ready = self.ready.clone();
        let listener = self.ready_listener;
        actix_rt::spawn(async move {
            log_end("readiness", ready_server::run(listener, ready).await);
        });
        let listener = self.metrics_listener;
        actix_rt::spawn(async move {
            log_end("metrics", metrics_server::run(listener, self.metrics).await);
        });

        tokio::select! {
            _ = terminate.recv(), if !was_told => {}
            () = std::future::ready(()), if was_told => {}
            // Without packets there is nothing left to do: the platform starts the process again.
            end = self.data_end => {
                return Err(end.unwrap_or_else(|_| io::Error::other("the data thread has ended")));
            }
        }
        log::info!("SIGTERM: no longer ready, forwarding for a while");
        self.updates.send(ControlUpdate::Stop);
        self.ready.store(false, Ordering::Relaxed);
        let longest = self.settings.stop_within.saturating_sub(KILL_MARGIN);
        tokio::time::sleep(FORWARD_AFTER_TERM.min(longest)).await;
        log::info!("stopped");
        Ok(())
    }
}

fn log_end(what: &str, result: io::Result<()>) {
    if let Err(error) = result {
        log::error!("{what} cannot be served any more: {error}");
    }
}
