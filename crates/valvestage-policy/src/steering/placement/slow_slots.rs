//! Slots of the backend servers that are known to be slow.

use std::collections::BTreeMap;

use valvestage_core::ids::{ServiceName, ZoneName};

use crate::steering::health::backend_observer::BackendObserver;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendPhase;

/// Requests in flight in relation to the slots of a service; 0 where the pace is not shared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotPressure {
    /// Requests in flight per slot of all usable backend servers.
    pub per_slot: f64,
    /// Requests in flight per slot of those that are not known to be slow.
    pub per_fast_slot: f64,
}

/// Slots of a service's slow backend servers in one zone.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::steering) struct SlowSlots {
    /// Number of their slots.
    pub(in crate::steering) all: f64,
    /// The part of them that does not count, since each serves fewer requests.
    pub(in crate::steering) lost: f64,
}

/// Returns the slots of the backend servers that take new flows and are known to be slow.
pub(in crate::steering) fn slow_slots<'a>(
    knowledge: &'a Knowledge,
    backends: &BackendObserver,
    now: std::time::Instant,
) -> BTreeMap<(&'a ServiceName, &'a ZoneName), SlowSlots> {
    let mut slots: BTreeMap<_, SlowSlots> = BTreeMap::new();
    let slow = backends.fleet_pace().into_iter().flat_map(|pace| pace.slow_backends());

    for (instance, factor) in slow {
        let Some(entry) = knowledge.directory.get(instance) else { continue };
        let is_usable = entry.phase == BackendPhase::Ready
            && entry.missing_until.is_none()
            && !backends.health().is_suspect(instance, now);
        if is_usable {
            let sum = slots.entry((&entry.service, &entry.zone)).or_default();
            sum.all += f64::from(entry.slots);
            sum.lost += f64::from(entry.slots) * (1.0 - 1.0 / factor);
        }
    }
    slots
}
