//! Watches the platform for changed objects, on the balancers selected for it.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_platform::objects::{WatchResult, from_json, watched_key};

use super::control_state::ControlState;
use super::platform_driver::PlatformDriver;

/// Longest time for which the platform holds one watch call open.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed watch, and between two checks whether this balancer has to watch.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

pub(super) async fn run(state: Arc<ControlState>, platform: PlatformDriver) {
    let mut after = None;

    loop {
        if !state.read(|policy| policy.should_watch(SystemTime::now())) {
            sleep(RETRY_INTERVAL).await;
            continue;
        }

        match platform.watch(after, WATCH_WAIT).await {
            Ok(result) => {
                // The watch may lag behind, and then returns a lower revision than before.
                after = after.max(Some(result.revision));
                apply_watch_result(&state, result);
            }
            Err(error) => {
                log::warn!("{error}");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn apply_watch_result(state: &ControlState, result: WatchResult) {
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
