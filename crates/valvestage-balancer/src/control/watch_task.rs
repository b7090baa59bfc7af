//! Watching the platform, on the balancers chosen for it.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_platform::objects::{WatchResult, from_json, watched_key};

use super::control_state::ControlState;
use super::platform_driver::PlatformDriver;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed watch, and of those that do not watch.
const PAUSE: Duration = Duration::from_millis(300);

pub(super) async fn run(state: Arc<ControlState>, platform: PlatformDriver) {
    let mut after = None;

    loop {
        if !state.read(|policy| policy.should_watch(SystemTime::now())) {
            sleep(PAUSE).await;
            continue;
        }

        match platform.watch(after, WATCH_WAIT).await {
            Ok(result) => {
                // A platform whose watch lags may answer with less than before.
                after = after.max(Some(result.revision));
                take_in(&state, result);
            }
            Err(error) => {
                log::warn!("{error}");
                sleep(PAUSE).await;
            }
        }
    }
}

fn take_in(state: &ControlState, result: WatchResult) {
    for object in result.objects {
        let Some(key) = watched_key(&object) else {
            continue;
        };

        match from_json(key, object.value) {
            Ok(value) => state.on_object(key, object.version, value),
            Err(error) => log::error!(version = object.version; "{error}"),
        }
    }
}
