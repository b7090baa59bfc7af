//! Knowledge cut into datagrams, and back.

use std::time::{Duration, Instant};

use valvestage_core::ids::StoreRevision;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::peer_message::{
    BackendChange, BackendRecord, BackendStanding, BackendsPart, MAX_MESSAGE_BYTES, MessagePart,
    PeerMessage, RoutesPart,
};
use super::route_map::{RouteMap, RouteTarget};
use super::watch_role::millis_since;

/// Bytes of a message besides its list.
const FRAME_BYTES: usize = 40;

/// Bytes of an address, a number or a length at most, as the codec writes them.
const FIELD_BYTES: usize = 10;

/// Bytes of one change of a backend server, as the codec writes it: two numbers of up to 9 bytes, an
/// address of 7, and some small ones. The names of a part have room in what is left of a datagram.
const CHANGE_BYTES: usize = 24;

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
    let changed: Vec<_> = directory.iter().filter(|entry| entry.revision > after).collect();

    let until = directory.complete_until();
    number(cut(changed, |_| CHANGE_BYTES))
        .map(|(part, entries)| {
            let mut names = NameList::default();
            let changes = entries.into_iter().map(|entry| change_of(entry, &mut names, now));
            let changes = changes.collect();
            let names = names.names;
            PeerMessage::Backends(BackendsPart { part, after, until, names, changes })
        })
        .collect()
}

/// The names of one part. Entries have few different ones.
#[derive(Default)]
struct NameList {
    names: Vec<String>,
}

impl NameList {
    /// The place of a name; it is added if it is new.
    fn place(&mut self, name: &str) -> u16 {
        let known = self.names.iter().position(|known| known == name);
        let place = known.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        });

        u16::try_from(place).unwrap_or(u16::MAX)
    }
}

fn change_of(entry: &BackendEntry, names: &mut NameList, now: Instant) -> BackendChange {
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
            service: names.place(&entry.service),
            zone: names.place(&entry.zone),
            address: entry.address,
            slots: entry.slots,
            cold_for_ms: millis_since(now, cold_until),
            standing,
        },
    }
}

/// `entries_of` gives the entries that a peer told of; those whose names are missing are left out.
#[must_use]
pub fn entries_of(part: BackendsPart, now: Instant) -> Vec<BackendEntry> {
    let BackendsPart { names, changes, .. } = part;

    changes.into_iter().filter_map(|change| entry_of(change, &names, now)).collect()
}

fn entry_of(change: BackendChange, names: &[String], now: Instant) -> Option<BackendEntry> {
    let BackendChange { instance, revision, record } = change;
    let cold_for = Duration::from_millis(record.cold_for_ms.into());
    let phase = match record.standing {
        BackendStanding::Ready => BackendPhase::Ready,
        BackendStanding::Draining => BackendPhase::Draining,
        BackendStanding::Gone => BackendPhase::Gone { since: now, end: BackendEnd::Left },
    };

    Some(BackendEntry {
        instance,
        revision,
        service: names.get(usize::from(record.service))?.clone(),
        address: record.address,
        zone: names.get(usize::from(record.zone))?.clone(),
        slots: record.slots.max(1),
        cold_until: (!cold_for.is_zero()).then(|| now + cold_for),
        phase,
        missing_until: None,
    })
}

fn target_bytes(target: &RouteTarget) -> usize {
    target.service.len() + 2 * FIELD_BYTES
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
