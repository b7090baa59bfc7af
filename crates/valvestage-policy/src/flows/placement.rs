//! Placement of new flows by weighted rendezvous hashing.

use valvestage_core::Configuration;
use valvestage_core::ids::{BackendId, FlowKey, ServiceId};

use crate::rendezvous::{best, weighted_score};

/// Returns the backend server that a configuration places a flow on.
///
/// `usable` rules out backend servers that cannot take the flow now; their flows go to the
/// next-ranked backend server, and all other flows stay.
pub fn place(
    configuration: &Configuration,
    service: ServiceId,
    key: FlowKey,
    usable: impl Fn(BackendId) -> bool,
) -> Option<BackendId> {
    let candidates = configuration
        .eligible(service)
        .iter()
        .filter(|id| usable(**id))
        .filter_map(|id| configuration.backend(*id));

    best(candidates.map(|backend| {
        let seed = u64::from(backend.id) << 32 | u64::from(backend.incarnation);

        (backend.id, weighted_score(key, seed, backend.weight.into()))
    }))
}
