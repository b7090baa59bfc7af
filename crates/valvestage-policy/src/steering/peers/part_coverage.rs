//! What the parts of answers about backend servers show together.

use std::net::SocketAddrV4;

use valvestage_core::StorePosition;

use super::peer_message::{BackendsPart, ChangeCursor};

/// The changes that a part is about, and how much its sender knew when it sent the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartRange {
    /// The part begins here.
    pub(super) after: ChangeCursor,
    /// The part ends here; `None` if it is the last one.
    pub(super) covers_until: Option<ChangeCursor>,
    /// The sender knew every change up to this position.
    pub(super) complete_until: StorePosition,
    /// The sender knew no change after this position.
    pub(super) changed_at: StorePosition,
}

impl PartRange {
    /// Returns the range of a part.
    pub(super) fn of(part: &BackendsPart) -> Self {
        Self {
            after: part.after,
            covers_until: part.covers_until,
            complete_until: part.complete_until,
            changed_at: part.changed_at,
        }
    }

    /// Returns up to where the part contains every change after its beginning.
    fn certain_until(&self) -> ChangeCursor {
        let known_until = ChangeCursor::after(self.complete_until);

        self.covers_until.map_or(known_until, |until| until.min(known_until))
    }
}

/// The changes that the parts of a walk cover together without a gap.
///
/// A part shows every entry in its range only up to the position up to which its sender knew every
/// change. Parts of different moments or senders may miss an entry that has moved: one sender has
/// left it out since it knew a later change, and another one that does not know that change has it
/// at a position which the first one covered. That is excluded if no sender knew a change beyond
/// what is covered in the end, or if one sender gave all parts in the order in which it learned.
#[derive(Debug)]
pub(super) struct PartCoverage {
    /// Every change after the beginning of the walk up to here is contained.
    certain_until: ChangeCursor,
    /// The latest change that a sender knew.
    changed_at: StorePosition,
    /// The sender of the latest part; `None` before the first one.
    sender: Option<SocketAddrV4>,
    /// Number of the latest part in the order of arrival.
    arrival: u32,
    /// Whether all parts are of one sender, in the order of their arrival, and each was sent when the
    /// sender knew at least as much as at the one before.
    is_consistent: bool,
}

impl PartCoverage {
    /// Creates the coverage of a walk that begins at a place.
    pub(super) fn new(after: ChangeCursor) -> Self {
        Self {
            certain_until: after,
            changed_at: StorePosition::START,
            sender: None,
            arrival: 0,
            is_consistent: true,
        }
    }

    /// Returns up to where every change after the beginning of the walk is contained.
    pub(super) fn certain_until(&self) -> ChangeCursor {
        self.certain_until
    }

    /// Records that every change up to a position has become known otherwise.
    pub(super) fn advance(&mut self, until: StorePosition) {
        self.certain_until = self.certain_until.max(ChangeCursor::after(until));
    }

    /// Adds a part, given its number in the order of arrival. A part that arrived before its
    /// predecessor may have been sent when less was known.
    pub(super) fn add(&mut self, range: &PartRange, sender: SocketAddrV4, arrival: u32) {
        let is_other_sender = self.sender.is_some_and(|former| former != sender);
        let is_in_order = arrival >= self.arrival && range.changed_at >= self.changed_at;

        self.is_consistent &= !is_other_sender && is_in_order;
        self.sender = Some(sender);
        self.arrival = arrival;
        self.changed_at = self.changed_at.max(range.changed_at);
        if range.after <= self.certain_until {
            self.certain_until = self.certain_until.max(range.certain_until());
        }
    }

    /// Returns the position up to which all changes are known with the parts, if they have all
    /// arrived. `None` if an entry may be missing.
    pub(super) fn complete_until(&self) -> Option<StorePosition> {
        (self.is_consistent || self.shows_absence()).then(|| self.certain_until.whole_until())
    }

    /// Reports whether a backend server that no part contains is gone, if all parts have arrived.
    pub(super) fn shows_absence(&self) -> bool {
        self.certain_until.whole_until() >= self.changed_at
    }
}
