//! Case: another writer leaves out a field of the entry of a backend that lives. Do its flows stay?

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::backend::name_of;
use crate::client::ClientHandle;
use crate::deployment::{Deployment, PHOTO_BACKEND, entry_of};
use crate::idle_flows::{start_brief_client, start_client};

const CLIENTS: u8 = 12;
const WARM_UP: Duration = Duration::from_secs(15);
const REST: Duration = Duration::from_secs(12);

/// Time from the other writer's entry to the drain, and for which the backend serves on.
const BEFORE_DRAIN: Duration = Duration::from_secs(5);
const SERVES_ON: Duration = Duration::from_secs(10);

/// Bound of the rule DRAIN on the sheet.
const DRAIN_MS: Duration = Duration::from_millis(3_000);

/// Interval at which a backend writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(770);

/// Plays the case. Returns whether the rule held.
pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let born = unix_millis()?;
    let deployment = Deployment::start(folder, has_trouble, Some(born))?;
    keep_entries(&deployment, born, Arc::default());
    let clients = (1..=CLIENTS).map(|number| start_client(&deployment, number, 1, (1.0, 3.0)));
    let clients = clients.collect::<Result<Vec<_>, _>>()?;

    sleep(WARM_UP);
    if has_trouble {
        write_foreign_entry(&deployment);
    }
    sleep(REST);
    deployment.finish(&clients, &[])
}

/// Plays the same, and lets the backend drain afterwards. Does it get new flows? Returns whether the
/// rule held.
pub fn play_drain(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let born = unix_millis()?;
    let deployment = Deployment::start(folder, has_trouble, Some(born))?;
    let drains = Arc::new(AtomicBool::new(false));
    keep_entries(&deployment, born, drains.clone());
    let clients = (1..=CLIENTS).map(|number| start_brief_client(&deployment, number));
    let clients = clients.collect::<Result<Vec<_>, _>>()?;

    sleep(WARM_UP);
    if has_trouble {
        write_foreign_entry(&deployment);
    }
    sleep(BEFORE_DRAIN);
    drains.store(true, Ordering::Relaxed);
    let entry = entry_of(&deployment.site, PHOTO_BACKEND, Some(born), "draining");
    deployment.store.put("servers", &name_of(PHOTO_BACKEND), &entry);
    let acknowledged_at = Instant::now();
    deployment.record.say(&format!("backend {PHOTO_BACKEND} drains, acknowledged by the store"));
    sleep(SERVES_ON);

    let openings = deployment.openings.lock().unwrap().clone();
    let to_drained = openings.iter().filter(|(number, _)| *number == PHOTO_BACKEND);
    let since: Vec<_> = to_drained
        .filter_map(|(_, at)| at.checked_duration_since(acknowledged_at))
        .filter(|since| *since > DRAIN_MS)
        .collect();
    deployment.record.say(&format!(
        "opening packets of new flows at the draining backend later than {} ms after: {}, the last after {} ms",
        DRAIN_MS.as_millis(),
        since.len(),
        since.last().map_or(0, Duration::as_millis)
    ));
    let clients: Vec<&ClientHandle> = clients.iter().collect();
    deployment.end("DRAIN", !since.is_empty(), &clients)
}

fn unix_millis() -> Result<u64, String> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;

    u64::try_from(now.as_millis()).map_err(|error| error.to_string())
}

fn write_foreign_entry(deployment: &Deployment) {
    deployment.record.say("another writer writes the backend's entry without \"born\"");
    let entry = entry_of(&deployment.site, PHOTO_BACKEND, None, "ready");
    deployment.store.put("servers", &name_of(PHOTO_BACKEND), &entry);
}

/// Lets each backend write its entry at its interval. A write that changes nothing raises no
/// revision.
fn keep_entries(deployment: &Deployment, born: u64, drains: Arc<AtomicBool>) {
    let (site, store) = (deployment.site, deployment.store.clone());
    let record = deployment.record.clone();

    thread::spawn(move || {
        loop {
            sleep(HEARTBEAT);
            for number in 1..=18 {
                let is_draining = number == PHOTO_BACKEND && drains.load(Ordering::Relaxed);
                let state = if is_draining { "draining" } else { "ready" };
                let entry = entry_of(&site, number, Some(born), state);
                if store.put_if_changed("servers", &name_of(number), &entry) {
                    record.say(&format!("backend {number} writes its entry again"));
                }
            }
        }
    });
}
