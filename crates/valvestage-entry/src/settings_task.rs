//! Settings that change while the process runs.
//!
//! SIGHUP says that the file has changed; it may also change without a signal, so its time of change
//! is looked at now and then. Seeds and the store's address take effect at once. Addresses of this VM
//! cannot change under open sockets: they take effect at the next start.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;
use valvestage_core::settings::EntrySettings;
use valvestage_platform::StoreClient;

use crate::updates::{ControlUpdate, UpdateSender};

/// Time between two looks at the file. One system call each; nothing on the platform asks for more.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// `run` keeps the settings up to date.
pub async fn run(
    file: PathBuf,
    mut settings: EntrySettings,
    client: StoreClient,
    updates: UpdateSender,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("SIGHUP cannot be watched: {error}");
            return;
        }
    };
    let mut seen = modified(&file);

    loop {
        let signalled = timeout(LOOK_INTERVAL, hangup.recv()).await.is_ok();
        let now = modified(&file);
        if !signalled && now == seen {
            continue;
        }

        seen = now;
        match EntrySettings::read(&file) {
            Ok(newer) => {
                apply(&settings, &newer, &client, &updates);
                settings = newer;
            }
            Err(error) => log::error!("reload: the settings in force stay: {error}"),
        }
    }
}

fn apply(
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

/// When the file last changed; none if that cannot be told, which counts as no change.
fn modified(file: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(file).and_then(|metadata| metadata.modified());

    metadata.inspect_err(|error| log::warn!("look at {}: {error}", file.display())).ok()
}
