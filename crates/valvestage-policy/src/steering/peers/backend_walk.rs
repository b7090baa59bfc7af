//! Reads the backend servers that another balancer knows, window by window.
//!
//! Changes are ordered by position and incarnation, so what has arrived is not sent again: the next
//! answer continues from there. At the end of the walk everything is known up to a position, unless
//! its parts have a gap.
//!
//! The parts of a walk are given at different moments, by balancers that may have gaps in what they
//! know. See [`PartCoverage`] for what they show together.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::awaited_answer::AwaitedAnswer;
use super::backend_parts::entries_of;
use super::part_coverage::{PartCoverage, PartRange};
use super::peer_message::{BackendsPart, BackendsPull, ChangeCursor, PeerMessage, WalkScope};
use crate::steering::decision::{ConcludedRemovals, IncompleteAnswer, RemovalBasis};
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_directory::BackendDirectory;
use crate::steering::knowledge::backend_entry::BackendEntry;
use crate::steering::store::store_follower::StoreKind;

/// A walk that has taken longer than this is restarted: backend servers that were reported at its
/// beginning may have gone meanwhile, and peers forget those 60 s later. The longest walk that was
/// observed took less than 1 s.
const WALK_TIMEOUT: Duration = Duration::from_secs(10);

/// A walk that has advanced within this time counts as progressing. An answer that does not arrive
/// is asked for twice meanwhile.
const PROGRESS_TTL: Duration = Duration::from_millis(400);

/// Time between two comparisons with peers that have a different set of live backend servers,
/// since each comparison transfers all backend servers.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// What a part of an answer brought.
#[derive(Debug, Default)]
pub(in crate::steering) struct WalkUpdate {
    /// Backend servers whose known state has changed.
    pub changed: Vec<InstanceId>,
    /// The balancer to pull the next window from, and the pull.
    pub next_pull: Option<(SocketAddrV4, PeerMessage)>,
    /// Whether everything that the peer knows has arrived.
    pub is_walk_complete: bool,
    /// Whether everything up to a position is known with the walk.
    pub is_conclusive: bool,
    /// Backend servers that were concluded to be removed, by what shows it.
    pub removals: Vec<ConcludedRemovals>,
    /// Whether a backend server ended that was known as live, by an end up to the position up to
    /// which everything was known. This balancer should have known such an end.
    pub has_unexpected_end: bool,
}

impl WalkUpdate {
    /// Adds backend servers that were concluded to be removed. Nothing is added if there are none.
    fn add_removals(
        &mut self,
        basis: RemovalBasis,
        position: StorePosition,
        removed: Vec<InstanceId>,
    ) {
        if !removed.is_empty() {
            self.removals.push(ConcludedRemovals { basis, position, count: removed.len() });
        }
        self.changed.extend(removed);
    }
}

/// A part that has arrived.
#[derive(Debug)]
struct ArrivedPart {
    /// Number in the order of arrival.
    arrival: u32,
    range: PartRange,
    reported: ReportedBackends,
}

/// The backend servers that a peer reported.
#[derive(Debug, Default)]
struct ReportedBackends {
    /// Those that it counts as live.
    live: HashSet<InstanceId>,
    /// Those whose entries are gone, with the positions of their ends. The peer may report such an
    /// end at the position that the entry had while it existed.
    gone: HashMap<InstanceId, StorePosition>,
}

impl ReportedBackends {
    fn of(entries: &[BackendEntry]) -> Self {
        let mut reported = Self::default();

        for entry in entries {
            if entry.is_gone() {
                reported.gone.insert(entry.instance, entry.position);
            } else {
                reported.live.insert(entry.instance);
            }
        }
        reported
    }

    fn extend(&mut self, other: Self) {
        self.live.extend(other.live);
        self.gone.extend(other.gone);
    }

    /// Removes the backend servers that a list of everything up to a position shows to be gone.
    /// Returns these, and what shows it; `None` if more is known here.
    fn apply_removals(
        &self,
        directory: &mut BackendDirectory,
        until: StorePosition,
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Option<(RemovalBasis, Vec<InstanceId>)> {
        let Self { live, gone } = self;

        match until.cmp(&directory.complete_until()) {
            Ordering::Greater => {
                let refuted = gone.iter().filter(|(id, end)| directory.is_end_refuted(**id, **end));
                let live = live.iter().chain(refuted.map(|(instance, _)| instance));
                let live = live.copied().collect();
                let absent = directory.retain_listed(&live, until, missing_until, now);
                Some((RemovalBasis::AbsentFromList, absent))
            }
            Ordering::Equal => {
                let ended = directory.apply_peer_removals(gone, until, missing_until, now);
                Some((RemovalBasis::ReportedGone, ended))
            }
            Ordering::Less => None,
        }
    }
}

/// Reads the backend servers that other balancers know.
#[derive(Debug, Default)]
pub(in crate::steering) struct BackendWalk {
    /// Whether a peer has reported everything that it remembers. The store does not report which
    /// backend servers are gone, and packets of their flows still arrive.
    has_history: bool,
    /// The walk in progress.
    walk: Option<Walk>,
    awaited: Option<AwaitedAnswer>,
    /// When a walk last advanced.
    advanced_at: Option<Instant>,
    /// Earliest time to ask for everything again, to compare.
    next_compare_at: Option<Instant>,
}

/// One walk.
#[derive(Debug)]
struct Walk {
    peer: SocketAddrV4,
    scope: WalkScope,
    /// Everything up to here has arrived; initially the beginning of the walk.
    cursor: ChangeCursor,
    /// Where the answer in progress begins. If it does not advance the cursor, no further pull
    /// follows it.
    pulled_from: ChangeCursor,
    /// What the parts up to the cursor show together.
    coverage: PartCoverage,
    /// The backend servers that were reported.
    reported: ReportedBackends,
    /// Parts that arrived before their predecessors, by their beginnings.
    out_of_order: BTreeMap<ChangeCursor, ArrivedPart>,
    /// Number of parts that have arrived.
    arrivals: u32,
    /// When the walk expires.
    expires_at: Instant,
}

impl Walk {
    fn new(peer: SocketAddrV4, scope: WalkScope, after: ChangeCursor, now: Instant) -> Self {
        Self {
            peer,
            scope,
            cursor: after,
            pulled_from: after,
            coverage: PartCoverage::new(after),
            reported: ReportedBackends::default(),
            out_of_order: BTreeMap::new(),
            arrivals: 0,
            expires_at: now + WALK_TIMEOUT,
        }
    }

    /// Continues the walk with a balancer. If it is not the former one, it may not know what the
    /// former one has reported beyond the position up to which that one knew everything.
    fn continue_with(&mut self, peer: SocketAddrV4) {
        if self.peer != peer {
            self.peer = peer;
            self.cursor = self.cursor.min(self.coverage.certain_until());
            self.out_of_order.clear();
        }
    }

    /// Adds a part. Returns whether all parts have arrived.
    fn apply_part(&mut self, range: PartRange, reported: ReportedBackends) -> bool {
        self.arrivals += 1;
        let part = ArrivedPart { arrival: self.arrivals, range, reported };
        self.out_of_order.insert(range.after, part);

        while let Some(first) = self.out_of_order.first_entry() {
            if *first.key() > self.cursor {
                return false;
            }
            let ArrivedPart { arrival, range, reported } = first.remove();
            self.reported.extend(reported);
            self.coverage.add(&range, self.peer, arrival);
            let Some(until) = range.covers_until else { return true };
            self.cursor = self.cursor.max(until);
        }
        false
    }
}

impl BackendWalk {
    /// Reports whether a peer has reported everything that it remembers.
    pub(in crate::steering) fn has_history(&self) -> bool {
        self.has_history
    }

    /// Reports whether a walk is in progress and has advanced recently.
    pub(in crate::steering) fn is_progressing(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROGRESS_TTL;

        self.walk.is_some() && self.advanced_at.is_some_and(is_recent)
    }

    /// Returns the pull for a balancer that knows more; `None` while another answer is in progress.
    pub(in crate::steering) fn pull(
        &mut self,
        knowledge: &Knowledge,
        peer: SocketAddrV4,
        now: Instant,
    ) -> Option<PeerMessage> {
        if self.awaited.as_ref().is_some_and(|awaited| awaited.is_pending(peer, now)) {
            return None;
        }

        let known_until = knowledge.directory.complete_until();
        let asks_all = !self.has_history || self.should_pull_everything(knowledge, now);
        let known_cursor = ChangeCursor::after(known_until);
        let begin = if asks_all { ChangeCursor::START } else { known_cursor };
        let scope =
            if begin > ChangeCursor::START { WalkScope::Changes } else { WalkScope::Everything };
        self.walk = self.walk.take().filter(|walk| walk.expires_at > now);
        let walk = self.walk.get_or_insert_with(|| Walk::new(peer, scope, begin, now));
        walk.continue_with(peer);
        if walk.scope == WalkScope::Changes {
            walk.cursor = walk.cursor.max(known_cursor);
            walk.coverage.advance(known_until);
        }
        Some(self.next_pull(peer, now))
    }

    /// Reports whether to ask for everything because an entry is missing whose time to return is
    /// over; true at most once per [`COMPARE_INTERVAL`]. Changes after the position up to which
    /// everything is known do not show that the entry was removed before, and while it is missing,
    /// this balancer's knowledge does not become complete.
    fn should_pull_everything(&mut self, knowledge: &Knowledge, now: Instant) -> bool {
        let is_due = self.next_compare_at.is_none_or(|from| from <= now);
        if !is_due || !knowledge.directory.has_expired_missing(now) {
            return false;
        }

        self.next_compare_at = Some(now + COMPARE_INTERVAL);
        true
    }

    /// Returns the pull of everything for a balancer; `None` while another answer is in progress,
    /// or soon after the last comparison.
    pub(in crate::steering) fn compare(
        &mut self,
        peer: SocketAddrV4,
        now: Instant,
    ) -> Option<PeerMessage> {
        let is_asking = self.awaited.is_some() || self.walk.is_some();
        if is_asking || self.next_compare_at.is_some_and(|from| from > now) {
            return None;
        }

        self.next_compare_at = Some(now + COMPARE_INTERVAL);
        self.walk = Some(Walk::new(peer, WalkScope::Everything, ChangeCursor::START, now));
        Some(self.next_pull(peer, now))
    }

    /// Gives up an answer that has timed out. Returns what arrived of it, for the log, and the pull
    /// for the rest; `None` if no answer has timed out.
    pub(in crate::steering) fn retry(
        &mut self,
        knowledge: &Knowledge,
        now: Instant,
    ) -> Option<(IncompleteAnswer, Option<(SocketAddrV4, PeerMessage)>)> {
        let awaited = self.awaited.as_ref().filter(|awaited| awaited.is_timed_out(now))?;
        let (peer, may_ask) = (awaited.peer(), awaited.can_retry());
        let cursor = self.walk.as_ref().map_or(0, |walk| walk.cursor.position.revision);
        let incomplete = awaited.incomplete(StoreKind::Backends, cursor, now);

        let next_message = may_ask.then(|| self.pull(knowledge, peer, now)).flatten();
        if next_message.is_none() {
            self.awaited = None;
        }
        Some((incomplete, next_message.map(|message| (peer, message))))
    }

    /// Processes a part. At the end of a walk of everything, backend servers that the peer has
    /// shown to be gone are gone here, too, or missing until `missing_until` if that is given.
    pub(in crate::steering) fn on_part(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        part: BackendsPart,
        missing_until: Option<Instant>,
        now: Instant,
    ) -> WalkUpdate {
        let mut update = WalkUpdate::default();
        let (scope, number) = (part.scope, part.part);
        let range = PartRange::of(&part);
        let entries = entries_of(part, now);
        let reported = ReportedBackends::of(&entries);
        let mut obsolete = Vec::new();
        let complete_until = knowledge.directory.complete_until();
        for entry in entries {
            let directory = &mut knowledge.directory;
            let instance = entry.instance;
            let may_be_unexpected = entry.position <= complete_until && directory.is_live(instance);
            if directory.is_obsolete(&entry, now) {
                obsolete.extend(directory.apply_obsolete_entry(entry, now));
            } else {
                update.changed.extend(directory.apply_peer_entry(entry, now));
            }
            update.has_unexpected_end |= may_be_unexpected && !directory.is_live(instance);
        }
        let known_until = knowledge.directory.complete_until();
        update.add_removals(RemovalBasis::UnknownHere, known_until, obsolete);

        let Some(walk) = self.walk_of(sender, scope, range.after, now) else { return update };
        let cursor = walk.cursor;
        let is_walk_complete = walk.apply_part(range, reported);
        let has_more = number.index + 1 >= number.count && walk.cursor > walk.pulled_from;
        if walk.cursor > cursor {
            self.advanced_at = Some(now);
            if let Some(awaited) = &mut self.awaited {
                awaited.on_part(now);
            }
        }
        if is_walk_complete {
            self.finish_walk(knowledge, &mut update, missing_until, now);
        } else if has_more {
            update.next_pull = Some((sender, self.next_pull(sender, now)));
        }
        update
    }

    /// Returns the walk that a part belongs to, if any.
    fn walk_of(
        &mut self,
        sender: SocketAddrV4,
        scope: WalkScope,
        after: ChangeCursor,
        now: Instant,
    ) -> Option<&mut Walk> {
        let walk = self.walk.as_mut().filter(|walk| walk.peer == sender)?;

        // The peer does not remember all changes that were asked for, and begins with everything.
        if scope == WalkScope::Everything
            && walk.scope == WalkScope::Changes
            && after == ChangeCursor::START
        {
            *walk = Walk::new(sender, WalkScope::Everything, ChangeCursor::START, now);
        }
        Some(walk).filter(|walk| walk.scope == scope)
    }

    fn next_pull(&mut self, peer: SocketAddrV4, now: Instant) -> PeerMessage {
        let former = self.awaited.take();
        self.awaited = Some(AwaitedAnswer::new(peer, 0, former.as_ref(), now));
        let (after, scope) = match &mut self.walk {
            Some(walk) => {
                walk.pulled_from = walk.cursor;
                (walk.cursor, walk.scope)
            }
            None => (ChangeCursor::START, WalkScope::Everything),
        };

        PeerMessage::BackendsPull(BackendsPull { after, scope })
    }

    /// Ends the walk, with what its parts show together: up to which position all is known, and
    /// which backend servers are gone.
    fn finish_walk(
        &mut self,
        knowledge: &mut Knowledge,
        update: &mut WalkUpdate,
        missing_until: Option<Instant>,
        now: Instant,
    ) {
        update.is_walk_complete = true;
        self.awaited = None;
        let Some(walk) = self.walk.take() else { return };
        let directory = &mut knowledge.directory;
        let Some(until) = walk.coverage.complete_until() else { return };
        update.is_conclusive = true;

        if walk.scope == WalkScope::Everything {
            self.has_history = true;
            let removals = walk
                .coverage
                .shows_absence()
                .then(|| walk.reported.apply_removals(directory, until, missing_until, now));
            if let Some((basis, removed)) = removals.flatten() {
                update.has_unexpected_end |= !removed.is_empty();
                update.add_removals(basis, until, removed);
            }
        }
        directory.complete(until);
    }
}
