//! How many changes of backend servers go into one datagram.

use super::peer_message::{MAX_MESSAGE_BYTES, long_varint_bytes};
use crate::steering::knowledge::backend_entry::BackendEntry;

/// Maximum number of changes in one datagram.
pub(super) const CHANGES_PER_PART: usize = 30;

/// Maximum size in bytes of what a datagram holds beside names and changes: the version byte, the
/// kind, two counts of 3 bytes, a scope, four positions of 20 bytes, of which two have an
/// incarnation of 10 and one an option byte, and two lengths of 2 bytes.
const HEADER_BYTES: usize = 114;

/// Size in bytes of the fields of a change whose size does not vary: two indexes of names, of which
/// a part has less than 128, an address of 7 bytes, and the option bytes of the start time and of
/// the position of a list.
const FIXED_BYTES: usize = 11;

/// Maximum size in bytes of a remaining slow start, and of the time since a lapse.
const TIME_BYTES: usize = 5;

/// Splits entries into parts that each fit into one datagram. Returns at least one part.
pub(super) fn split_into_parts<'a, 'b>(
    entries: &'b [&'a BackendEntry],
) -> Vec<&'b [&'a BackendEntry]> {
    let mut parts = Vec::new();
    let mut begin = 0;
    let mut size = PartSize::default();

    for (index, entry) in entries.iter().enumerate() {
        if !size.add(entry) {
            // An entry that is too large for a datagram gets one of its own. An empty part would
            // count as the last one.
            if index > begin {
                parts.push(&entries[begin..index]);
            }
            begin = index;
            size = PartSize::default();
            size.add(entry);
        }
    }
    parts.push(&entries[begin..]);
    parts
}

/// The size of a part so far.
#[derive(Debug, Default)]
struct PartSize<'a> {
    changes: usize,
    bytes: usize,
    names: Vec<&'a str>,
}

impl<'a> PartSize<'a> {
    /// Adds an entry. Returns false, and leaves the part as it is, if it does not fit. The first
    /// entry is always added.
    fn add(&mut self, entry: &'a BackendEntry) -> bool {
        let is_new = |name: &&str| !self.names.contains(name);
        let names = [entry.service.as_str(), entry.zone.as_str()].into_iter().filter(is_new);
        let names: Vec<_> = names.collect();
        let name_bytes: usize = names.iter().map(|name| name.len() + length_bytes(name)).sum();
        let bytes = self.bytes + name_bytes + change_bytes(entry);
        let fits = self.changes < CHANGES_PER_PART && HEADER_BYTES + bytes <= MAX_MESSAGE_BYTES;
        if self.changes > 0 && !fits {
            return false;
        }

        self.changes += 1;
        self.bytes = bytes;
        self.names.extend(names);
        true
    }
}

fn length_bytes(name: &str) -> usize {
    long_varint_bytes(u64::try_from(name.len()).unwrap_or(u64::MAX))
}

/// Returns the maximum size of the change that describes an entry.
fn change_bytes(entry: &BackendEntry) -> usize {
    let cold_bytes = if entry.cold_until.is_some() { TIME_BYTES } else { 1 };
    let phase_bytes = if entry.is_gone() { 1 + TIME_BYTES } else { 1 };
    let digest = entry.name.incarnation_digest(entry.instance);
    let numbers = [
        entry.name.digest.into(),
        entry.name.number,
        digest.into(),
        entry.born.unwrap_or(0),
        entry.position.era,
        entry.position.revision,
        entry.slots.into(),
    ];
    let listed_at = entry.listed_at.into_iter().flat_map(|at| [at.era, at.revision]);

    numbers.into_iter().chain(listed_at).map(long_varint_bytes).sum::<usize>()
        + cold_bytes
        + phase_bytes
        + FIXED_BYTES
}
