//! Which backend servers can take new flows now, learned from what they answer.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use hashbrown::HashMap;
use valvestage_core::Backend;
use valvestage_core::ids::{BackendId, ZoneName};
use valvestage_core::time::Deadline;

/// Opening packets without an answer after which a backend server gets no new flows.
const UNANSWERED_LIMIT: u32 = 3;

/// Pause before a silent backend server is given one new flow again.
const SILENCE_PAUSE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, Default)]
struct WatchEntry {
    /// Opening packets sent since it was last heard.
    unanswered: u32,
    /// It fell silent, and gets no new flow until then.
    paused_until: Option<Deadline>,
    /// It refused a flow for its connection limit, and gets no new one until then.
    full_until: Option<Deadline>,
}

/// `BackendWatch` notes which backend servers are silent, full or cut off.
#[derive(Debug, Clone, Default)]
pub struct BackendWatch {
    entries: HashMap<BackendId, WatchEntry>,
    /// Availability zones of which no balancer is alive.
    lost_zones: BTreeSet<ZoneName>,
}

impl BackendWatch {
    /// `is_usable` tells whether a new flow may go to a backend server.
    #[must_use]
    pub fn is_usable(&self, backend: &Backend, now: SystemTime) -> bool {
        let entry = self.entries.get(&backend.id);
        let is_paused = entry.and_then(|e| e.paused_until).is_some_and(|until| now < until);

        !is_paused && !self.is_full(backend.id, now) && !self.lost_zones.contains(&backend.zone)
    }

    /// `is_full` tells whether a backend server refused a flow for its connection limit lately.
    #[must_use]
    pub fn is_full(&self, backend: BackendId, now: SystemTime) -> bool {
        let entry = self.entries.get(&backend);

        entry.and_then(|entry| entry.full_until).is_some_and(|until| now < until)
    }

    /// `on_opening` counts an opening packet on its way to a backend server.
    pub fn on_opening(&mut self, backend: BackendId, now: SystemTime) {
        let entry = self.entries.entry(backend).or_default();

        entry.unanswered += 1;
        if entry.unanswered >= UNANSWERED_LIMIT {
            entry.paused_until = Some(now + SILENCE_PAUSE);
        }
    }

    /// `on_heard` notes a packet from a backend server.
    #[inline]
    pub fn on_heard(&mut self, backend: BackendId) {
        if let Some(entry) = self.entries.get_mut(&backend)
            && entry.unanswered > 0
        {
            entry.unanswered = 0;
            entry.paused_until = None;
        }
    }

    /// `on_full` pauses a backend server that refused a flow.
    pub fn on_full(&mut self, backend: BackendId, until: Deadline) {
        let entry = self.entries.entry(backend).or_default();

        entry.unanswered = 0;
        entry.full_until = Some(until);
    }

    /// `set_lost_zones` names the availability zones of which no balancer is alive.
    pub fn set_lost_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.lost_zones = zones;
    }
}
