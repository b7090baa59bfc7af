//! Correction of ends that a list of the store contradicts.
//!
//! Balancers conclude ends from what others report, and pass them on. Such an end may be wrong, and
//! the entry in the store does not change by it, so that no later change would correct it. A list of
//! the store that shows the entry unchanged at a later position than that of its end proves the end
//! wrong: an entry that was written again has a later position of its own. The position of that list
//! goes along with the entry, so that the balancers that took over the wrong end correct it, too.

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEntry, BackendPhase};
use super::backend_name::BackendName;

impl BackendDirectory {
    /// Makes a backend server live again whose end is contradicted by a list of the store that showed
    /// its entry at a position. Returns false if the list contradicts nothing.
    ///
    /// A superseded backend server stays ended: its entry lasts for some seconds after its end.
    pub fn correct_end(&mut self, entry: &BackendEntry, listed_at: StorePosition) -> bool {
        let Some(known) = self.entries.get(entry.instance) else { return false };
        let is_contradicted = known.is_gone()
            && !known.is_superseded()
            && entry.position <= known.position
            && known.position <= listed_at;
        let takes_packets = matches!(entry.phase, BackendPhase::Ready | BackendPhase::Draining);
        if !is_contradicted || !takes_packets || !self.live_of(entry.name).is_empty() {
            return false;
        }

        self.newly_gone.retain(|instance| *instance != entry.instance);
        self.entries.insert(BackendEntry {
            listed_at: Some(listed_at),
            missing_until: None,
            ..entry.clone()
        });
        self.assign_token(entry);
        true
    }

    /// Reports whether the end of a live entry is known to be wrong that another balancer reports at
    /// a position.
    pub(in crate::steering) fn is_end_refuted(
        &self,
        instance: InstanceId,
        ended_at: StorePosition,
    ) -> bool {
        let entry = self.entries.get(instance).filter(|entry| !entry.is_gone());

        entry.is_some_and(|entry| entry.listed_at >= Some(ended_at))
    }

    /// Records that the store has removed the entry of a name at a position, if its backend server
    /// was taken for gone before. The list that may have shown the entry in between does not show
    /// any more that it is live.
    pub(in crate::steering) fn record_removal_after_end(
        &mut self,
        name: BackendName,
        removed_at: StorePosition,
    ) {
        let incarnations = self.incarnations(name).into_iter();
        let entries = incarnations.filter_map(|instance| self.entries.get(instance));
        let latest = entries.max_by_key(|entry| entry.position);
        let ended = latest.filter(|entry| entry.is_gone() && !entry.is_superseded());

        if let Some(instance) = ended.map(|entry| entry.instance) {
            self.entries.change(instance, |entry| {
                entry.position = entry.position.max(removed_at);
            });
            self.record_change(removed_at);
        }
    }
}
