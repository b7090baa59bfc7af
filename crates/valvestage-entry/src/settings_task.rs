//! Reload of the settings while the process runs.
//!
//! The settings are read again on SIGHUP, and when the file's modification time has changed, which
//! is polled since the file may also change without a signal. Changed seeds and a changed store
//! address take effect at once. Changed addresses of this VM take effect at the next start, since
//! the sockets are already bound.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;
use valvestage_core::settings::EntrySettings;
use valvestage_platform::StoreClient;

use crate::updates::{ControlUpdate, UpdateSender};

/// Interval between checks of the file's modification time. Each check costs one system call, and
/// the platform does not require a faster reaction.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file and applies its changes until the process ends.
pub async fn run(
    file: PathBuf,
    mut settings: EntrySettings,
    client: StoreClient,
    updates: UpdateSender,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("failed to handle SIGHUP, so the settings are never reloaded: {error}");
            return;
        }
    };
    let mut last_modified = modification_time(&file);

    loop {
        let signalled = timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        let now = modification_time(&file);
        if !signalled && now == last_modified {
            continue;
        }

        last_modified = now;
        match EntrySettings::read(&file) {
            Ok(newer) => {
                apply_changes(&settings, &newer, &client, &updates);
                settings = newer;
            }
            Err(error) => log::error!("reload: the settings in force stay: {error}"),
        }
    }
}

fn apply_changes(
    older: &EntrySettings,
    newer: &EntrySettings,
    client: &StoreClient,
    updates: &UpdateSender,
) {
    if newer.seeds != older.seeds {
        updates.send(ControlUpdate::Seeds(newer.seeds.clone()));
    }
    if newer.store_address != older.store_address {
        client.set_address(newer.store_address.into());
    }

    let addresses = |settings: &EntrySettings| {
        (settings.data_address, settings.peer_address, settings.ready_address)
    };
    log::info!(
        changed = newer != older,
        seeds = newer.seeds.len(),
        store = newer.store_address.to_string().as_str(),
        needs_restart = addresses(newer) != addresses(older) || newer.zone != older.zone;
        "reloaded"
    );
}

/// Returns the file's modification time, or `None` with a warning in the log if it cannot be read.
fn modification_time(file: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(file).and_then(|metadata| metadata.modified());

    metadata.inspect_err(|error| log::warn!("cannot stat {}: {error}", file.display())).ok()
}
