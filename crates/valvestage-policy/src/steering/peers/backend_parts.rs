//! Encoding of backend servers in datagrams.

use std::time::{Duration, Instant};

use valvestage_core::ids::ShortToken;

use super::name_list::index_of_name;
use super::part_size::{CHANGES_PER_PART, split_into_parts};
use super::peer_message::{
    ANSWER_WINDOW, BackendChange, BackendRecord, BackendsPart, BackendsPull, ChangeCursor,
    MessagePart, PeerMessage, RecordedPhase, WalkScope,
};
use crate::steering::knowledge::backend_directory::BackendDirectory;
use crate::steering::knowledge::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use crate::steering::store::watch_role::millis_since;

/// Number of changes in one answer.
const CHANGES_PER_ANSWER: usize = CHANGES_PER_PART * ANSWER_WINDOW;

/// Returns the next changes that another balancer does not know, in the order of their positions.
/// If not all changes after its position are remembered, returns the first of all backend servers
/// instead.
#[must_use]
pub fn backends_messages(
    directory: &BackendDirectory,
    pull: BackendsPull,
    now: Instant,
) -> Vec<PeerMessage> {
    let BackendsPull { after, scope } = pull;
    let is_forgotten =
        scope == WalkScope::Changes && !directory.knows_changes_after(after.whole_until());
    let (after, scope) =
        if is_forgotten { (ChangeCursor::START, WalkScope::Everything) } else { (after, scope) };

    let (changes, mut has_more) = next_changes(directory, after);
    let mut parts = split_into_parts(&changes);
    has_more |= parts.len() > ANSWER_WINDOW;
    parts.truncate(ANSWER_WINDOW);
    let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);

    let mut begin = after;
    let mut messages = Vec::with_capacity(parts.len());
    for (index, entries) in (0..count).zip(parts) {
        let is_last = !has_more && index + 1 == count;
        let end = entries.last().filter(|_| !is_last).map(|entry| cursor_of(entry));
        let mut names = Vec::new();
        let changes = entries.iter().map(|entry| change_of(entry, &mut names, now)).collect();
        messages.push(PeerMessage::Backends(BackendsPart {
            part: MessagePart { index, count },
            scope,
            after: begin,
            covers_until: end,
            complete_until: directory.complete_until(),
            changed_at: directory.changed_at(),
            names,
            changes,
        }));
        begin = end.unwrap_or(begin);
    }
    messages
}

/// Returns the backend servers of some tokens, including gone ones; `None` if no token is known.
#[must_use]
pub fn requested_entries_message(
    directory: &BackendDirectory,
    tokens: &[ShortToken],
    now: Instant,
) -> Option<PeerMessage> {
    let known: Vec<_> = tokens.iter().filter_map(|token| directory.by_token(*token)).collect();
    let part = *split_into_parts(&known).first()?;
    let mut names = Vec::new();
    let changes: Vec<_> = part.iter().map(|entry| change_of(entry, &mut names, now)).collect();

    (!changes.is_empty()).then(|| {
        PeerMessage::Backends(BackendsPart {
            part: MessagePart { index: 0, count: 1 },
            scope: WalkScope::UnresolvedTokens,
            after: ChangeCursor::START,
            covers_until: None,
            complete_until: directory.complete_until(),
            changed_at: directory.changed_at(),
            names,
            changes,
        })
    })
}

fn cursor_of(entry: &BackendEntry) -> ChangeCursor {
    ChangeCursor { position: entry.position, instance: entry.instance }
}

/// Returns the entries after a place, as many as go into one answer, and whether more follow.
fn next_changes(directory: &BackendDirectory, after: ChangeCursor) -> (Vec<&BackendEntry>, bool) {
    let conflicting = directory.conflicting().filter(|entry| cursor_of(entry) > after);
    // What a balancer concluded from a conflict is left to each of the others.
    let concluded = |entry: &&BackendEntry| !directory.is_left_out(entry);
    let first = directory
        .after(after.position, after.instance)
        .filter(concluded)
        .take(CHANGES_PER_ANSWER + 1);
    let mut entries: Vec<_> = first.chain(conflicting).collect();

    entries.sort_unstable_by_key(|entry| cursor_of(entry));
    let has_more = entries.len() > CHANGES_PER_ANSWER;
    entries.truncate(CHANGES_PER_ANSWER);
    (entries, has_more)
}

fn change_of(entry: &BackendEntry, names: &mut Vec<String>, now: Instant) -> BackendChange {
    let cold_until = entry.cold_until.unwrap_or(now);
    let phase = match entry.phase {
        BackendPhase::Ready => RecordedPhase::Ready,
        BackendPhase::Draining => RecordedPhase::Draining,
        BackendPhase::Unusable => RecordedPhase::Unusable,
        BackendPhase::Gone { since, end: BackendEnd::Lapsed | BackendEnd::LapsedUnseen } => {
            RecordedPhase::Lapsed { ago_ms: millis_since(since, now) }
        }
        BackendPhase::Gone { .. } => RecordedPhase::Gone,
    };

    BackendChange {
        name: entry.name,
        incarnation_digest: entry.name.incarnation_digest(entry.instance),
        born: entry.born,
        position: entry.position,
        listed_at: entry.listed_at,
        record: BackendRecord {
            service: index_of_name(names, &entry.service),
            zone: index_of_name(names, &entry.zone),
            address: entry.address,
            slots: entry.slots,
            cold_for_ms: millis_since(now, cold_until),
            phase,
        },
    }
}

/// Returns the entries that a peer reported, without those whose names are missing.
#[must_use]
pub fn entries_of(part: BackendsPart, now: Instant) -> Vec<BackendEntry> {
    let BackendsPart { names, changes, .. } = part;

    changes.into_iter().filter_map(|change| entry_of(change, &names, now)).collect()
}

fn entry_of(change: BackendChange, names: &[String], now: Instant) -> Option<BackendEntry> {
    let BackendChange { name, incarnation_digest, born, position, listed_at, record } = change;
    let cold_for = Duration::from_millis(record.cold_for_ms.into());
    let phase = match record.phase {
        RecordedPhase::Ready => BackendPhase::Ready,
        RecordedPhase::Draining => BackendPhase::Draining,
        RecordedPhase::Unusable => BackendPhase::Unusable,
        RecordedPhase::Gone => BackendPhase::Gone { since: now, end: BackendEnd::Left },
        RecordedPhase::Lapsed { ago_ms } => {
            let since = now.checked_sub(Duration::from_millis(ago_ms.into())).unwrap_or(now);
            BackendPhase::Gone { since, end: BackendEnd::LapsedUnseen }
        }
    };

    Some(BackendEntry {
        instance: name.with_digest(incarnation_digest),
        name,
        born,
        position,
        service: names.get(usize::from(record.service))?.clone(),
        address: record.address,
        zone: names.get(usize::from(record.zone))?.clone(),
        slots: record.slots.max(1),
        cold_until: (!cold_for.is_zero()).then(|| now + cold_for),
        phase,
        missing_until: None,
        listed_at,
    })
}
