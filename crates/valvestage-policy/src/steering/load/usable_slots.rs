//! What the usable backend servers can process, as far as this balancer knows.

use std::collections::BTreeMap;
use std::time::Instant;

use valvestage_core::ids::{ServiceName, ZoneName};

use crate::steering::health::backend_observer::BackendObserver;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendPhase;
use crate::steering::placement::fleet_demand::{UsableBackends, usable_by_service};
use crate::steering::placement::slow_slots::slow_slots;
use crate::steering::placement::steering_options::SteeringOptions;

/// Usable backend servers by service and availability zone.
pub(in crate::steering) type UsableByService<'a> =
    BTreeMap<&'a ServiceName, BTreeMap<&'a ZoneName, UsableBackends>>;

/// Returns the usable backend servers. The slots of those that are known to be slow count less, in
/// proportion to their pace.
pub(in crate::steering) fn usable_slots<'a>(
    options: &SteeringOptions,
    knowledge: &'a Knowledge,
    backends: &BackendObserver,
    now: Instant,
) -> UsableByService<'a> {
    let health = backends.health();
    let slow = slow_slots(knowledge, backends, now);
    let mut usable = usable_by_service(options, knowledge, backends, &slow, now);

    if backends.fleet_pace().is_some() {
        // The pace as known from all balancers is included already.
        return usable;
    }
    for (instance, factor) in backends.pace().slow_backends(now) {
        let Some(entry) = knowledge.directory.get(instance) else { continue };
        let counts = entry.phase == BackendPhase::Ready
            && entry.missing_until.is_none()
            && entry.cold_until.is_none_or(|until| until <= now)
            && !health.is_suspect(instance, now);
        let zone = usable.get_mut(&entry.service).and_then(|zones| zones.get_mut(&entry.zone));
        if let Some(zone) = zone.filter(|_| counts) {
            let lost = f64::from(entry.slots) * (1.0 - 1.0 / factor.max(1.0));
            zone.slots = (zone.slots - lost).max(0.0);
        }
    }
    usable
}
