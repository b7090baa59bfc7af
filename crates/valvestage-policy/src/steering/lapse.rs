//! Entries that lapse while their backend servers live.
//!
//! An entry goes when its backend server has left, has died, or has been kept from the store. In the last
//! case it returns, and the flows there go on meanwhile.

use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::backend_health::BackendHealth;
use super::knowledge::Knowledge;

/// Entries that lapsed while their backend servers could not reach the store return within about 2 s; one
/// that is missing after that is gone. Confirmations take up to 0.3 s more.
pub(super) const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Entries lapse after three heartbeats of some 0.8 s, so a dead backend server was silent for longer.
pub(super) const SHORTEST_LAPSE: Duration = Duration::from_secs(2);

/// `has_ended` tells whether a backend server has ended, so that its flows can be. One whose entry is gone
/// has not if it may return and either showed life shortly before, or shared a cut with this balancer.
///
/// After a cut of one zone in three for 5 s this keeps 40 to 60 requests a second from being lost in the
/// second that it takes until the entries are back.
pub(super) fn has_ended(
    entry: &BackendEntry,
    own_zone: &ZoneName,
    knowledge: &Knowledge,
    health: &BackendHealth,
    now: Instant,
) -> bool {
    let BackendPhase::Gone { since, end } = entry.phase else { return false };
    let may_return =
        end == BackendEnd::Lapsed && now.saturating_duration_since(since) < RETURN_TIME;
    if !may_return {
        return true;
    }

    let alive_from = since.checked_sub(SHORTEST_LAPSE);
    let was_alive = alive_from.is_some_and(|from| health.shows_life_since(entry.instance, from));
    let shared_cut = entry.zone == *own_zone && knowledge.was_out_of_touch(since);
    !was_alive && !shared_cut
}
