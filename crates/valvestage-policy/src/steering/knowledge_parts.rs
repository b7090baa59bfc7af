//! Knowledge cut into datagrams, and back.

use std::time::{Duration, Instant};

use valvestage_core::ids::StoreRevision;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEntry, BackendPhase};
use super::peer_message::{
    BackendChange, BackendRecord, BackendStanding, BackendsPart, MAX_MESSAGE_BYTES, MessagePart,
    PeerMessage, RoutesPart,
};
use super::route_map::{RouteMap, RouteTarget};
use super::watch_duty::millis_since;

/// Bytes of a message besides its list.
const FRAME_BYTES: usize = 40;

/// Bytes of an address, a number or a length at most, as the codec writes them.
const FIELD_BYTES: usize = 10;

/// `routes_messages` gives a configuration in messages.
#[must_use]
pub fn routes_messages(map: &RouteMap) -> Vec<PeerMessage> {
    let routes: Vec<_> = map.routes.iter().map(|(at, to)| (*at, to.clone())).collect();
    let parts = cut(routes, |(_, targets)| targets.iter().map(target_bytes).sum());

    number(parts)
        .map(|(part, routes)| {
            PeerMessage::Routes(RoutesPart {
                part,
                version: map.version,
                idle_timeout_ms: map.idle_timeout_ms,
                routes,
            })
        })
        .collect()
}

/// `routes_of` puts the parts of a configuration together.
#[must_use]
pub fn routes_of(parts: Vec<RoutesPart>) -> RouteMap {
    let mut map = RouteMap::default();

    for part in parts {
        map.version = part.version;
        map.idle_timeout_ms = part.idle_timeout_ms;
        map.routes.extend(part.routes);
    }
    map
}

/// `backends_messages` gives the changes after a revision in messages, or all that there is if not
/// all of them are remembered.
#[must_use]
pub fn backends_messages(
    directory: &BackendDirectory,
    after: StoreRevision,
    now: Instant,
) -> Vec<PeerMessage> {
    let after = if directory.remembers(after) { after } else { 0 };
    let changed = directory.iter().filter(|entry| entry.revision > after);
    let changes: Vec<_> = changed.map(|entry| change_of(entry, now)).collect();

    // While entries are missing that may return, only what was complete before counts as complete.
    let until = directory.complete_until();
    number(cut(changes, change_bytes))
        .map(|(part, changes)| PeerMessage::Backends(BackendsPart { part, after, until, changes }))
        .collect()
}

fn change_of(entry: &BackendEntry, now: Instant) -> BackendChange {
    let cold_until = entry.cold_until.unwrap_or(now);
    let standing = match entry.phase {
        BackendPhase::Ready => BackendStanding::Ready,
        BackendPhase::Draining => BackendStanding::Draining,
        BackendPhase::Gone { .. } => BackendStanding::Gone,
    };

    BackendChange {
        instance: entry.instance,
        revision: entry.revision,
        record: BackendRecord {
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            slots: entry.slots,
            cold_for_ms: millis_since(now, cold_until),
            standing,
        },
    }
}

/// `entry_of` gives the entry that a peer told of.
#[must_use]
pub fn entry_of(change: BackendChange, now: Instant) -> BackendEntry {
    let BackendChange { instance, revision, record } = change;
    let cold_left = Duration::from_millis(record.cold_for_ms.into());
    let phase = match record.standing {
        BackendStanding::Ready => BackendPhase::Ready,
        BackendStanding::Draining => BackendPhase::Draining,
        BackendStanding::Gone => BackendPhase::Gone { since: now },
    };

    BackendEntry {
        instance,
        revision,
        service: record.service,
        address: record.address,
        zone: record.zone,
        slots: record.slots.max(1),
        cold_until: (!cold_left.is_zero()).then(|| now + cold_left),
        phase,
        missing_until: None,
    }
}

fn target_bytes(target: &RouteTarget) -> usize {
    target.service.len() + 2 * FIELD_BYTES
}

fn change_bytes(change: &BackendChange) -> usize {
    change.record.service.len() + change.record.zone.len() + 6 * FIELD_BYTES
}

/// Cuts a list so that each part fits into a datagram; an empty list is one empty part.
fn cut<T>(items: Vec<T>, bytes_of: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts = vec![Vec::new()];
    let mut used = FRAME_BYTES;

    for item in items {
        let bytes = bytes_of(&item) + FIELD_BYTES;
        if used + bytes > MAX_MESSAGE_BYTES {
            parts.push(Vec::new());
            used = FRAME_BYTES;
        }
        used += bytes;
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}

fn number<T>(parts: Vec<T>) -> impl Iterator<Item = (MessagePart, T)> {
    let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);

    (0..count).zip(parts).map(move |(index, value)| (MessagePart { index, count }, value))
}
