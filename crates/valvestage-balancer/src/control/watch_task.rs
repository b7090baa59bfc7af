//! Reading the platform, on the balancers chosen for it.
//!
//! A watch that waits counts as a call, so only a few balancers of each zone watch; the others
//! get new objects from peers.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_platform::objects::{from_json, watched_key};
use valvestage_policy::rendezvous::mix;
use valvestage_wire::platform::WatchResult;

use super::control_state::ControlState;
use super::platform_driver::PlatformDriver;

/// Balancers of one zone that watch.
const WATCHERS_PER_ZONE: usize = 2;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Without news of the platform for this long, a balancer looks for itself.
const STALE_AFTER: Duration = Duration::from_secs(6);

/// Pause after a failed watch, and of those that do not watch.
const PAUSE: Duration = Duration::from_millis(300);

pub(super) async fn run(state: Arc<ControlState>, platform: PlatformDriver) {
    let mut after = 0;

    loop {
        if !should_watch(&state, SystemTime::now()) {
            sleep(PAUSE).await;
            continue;
        }

        match platform.watch(after, WATCH_WAIT).await {
            Ok(result) => {
                // A platform whose watch lags may answer with less than before.
                after = after.max(result.revision);
                take_in(&state, result);
            }
            Err(error) => {
                log::warn!("{error}");
                sleep(PAUSE).await;
            }
        }
    }
}

fn should_watch(state: &ControlState, now: SystemTime) -> bool {
    let own = state.settings.id;
    let mut mates = state.zone_mates(now);
    mates.sort_by_key(|id| mix(u64::from(*id), 0));
    let is_chosen = mates.iter().take(WATCHERS_PER_ZONE).any(|id| *id == own);

    let is_stale = state
        .platform_heard()
        .is_none_or(|heard| now.duration_since(heard).unwrap_or_default() > STALE_AFTER);
    is_chosen || is_stale
}

fn take_in(state: &ControlState, result: WatchResult) {
    for object in result.objects {
        let Some(key) = watched_key(&object) else {
            continue;
        };

        match from_json(key, object.value) {
            Ok(value) => state.offer(key, object.version, value),
            Err(error) => log::error!(version = object.version; "{error}"),
        }
    }
}
