//! The lease of this balancer.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::sleep;
use valvestage_policy::control::{LeaseKeeper, LeaseOptions};
use valvestage_policy::rendezvous::mix;

use super::control_state::ControlState;
use super::platform_driver::PlatformDriver;

/// Balancers of one zone that hold leases: the renewals do not grow with the zone beyond it.
const OWNERS_PER_ZONE: usize = 8;

/// Pause between two looks at what is due.
const PAUSE: Duration = Duration::from_millis(50);

/// `SharedLease` is the lease keeper, as the planned stop needs it, too.
pub(super) type SharedLease = Rc<RefCell<LeaseKeeper>>;

pub(super) fn start(state: Arc<ControlState>, platform: PlatformDriver) -> SharedLease {
    let options = LeaseOptions {
        length: state.settings.lease_length,
        clock_bound: state.settings.clock_bound,
    };
    let keeper = LeaseKeeper::new(state.settings.id, options, SystemTime::now());
    let lease = Rc::new(RefCell::new(keeper));

    actix_rt::spawn(run(state, platform, lease.clone()));
    lease
}

async fn run(state: Arc<ControlState>, platform: PlatformDriver, lease: SharedLease) {
    loop {
        let now = SystemTime::now();
        let call = if may_hold(&state, now) {
            lease.borrow_mut().next_call(now)
        } else {
            None
        };

        if let Some(call) = call {
            let reply = platform.execute(call).await;
            lease.borrow_mut().on_reply(SystemTime::now(), &reply);
        } else {
            sleep(PAUSE).await;
        }

        let grant = lease.borrow().grant(SystemTime::now());
        state.install_grant(grant);
    }
}

/// The balancers chosen in this zone, and whoever owns a service.
fn may_hold(state: &ControlState, now: SystemTime) -> bool {
    let mut mates = state.zone_mates(now);
    mates.sort_by_key(|id| mix(u64::from(*id), 1));
    let is_chosen = mates
        .iter()
        .take(OWNERS_PER_ZONE)
        .any(|id| *id == state.settings.id);

    is_chosen || !state.owned_services().is_empty()
}
