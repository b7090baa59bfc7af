//! Availability of backend servers for new flows, as learned from their answers.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use hashbrown::HashMap;
use valvestage_core::Backend;
use valvestage_core::ids::{BackendId, ZoneName};
use valvestage_core::time::Deadline;

/// Number of consecutive unanswered opening packets after which a backend server gets no new flows.
const UNANSWERED_LIMIT: u32 = 3;

/// Pause before a backend server that does not answer is tried with one new flow again.
const SILENCE_PAUSE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, Default)]
struct AvailabilityEntry {
    /// Opening packets sent since the last packet from the backend server.
    unanswered: u32,
    /// The backend server stopped answering, and gets no new flow until this time.
    paused_until: Option<Deadline>,
    /// The backend server refused a flow for its connection limit, and gets no new one until this
    /// time.
    full_until: Option<Deadline>,
}

/// Tracks which backend servers do not answer, are at their connection limit, or are in an
/// availability zone without any live balancer.
#[derive(Debug, Clone, Default)]
pub struct BackendAvailability {
    entries: HashMap<BackendId, AvailabilityEntry>,
    /// Availability zones without any live balancer.
    lost_zones: BTreeSet<ZoneName>,
}

impl BackendAvailability {
    /// Reports whether a new flow may go to a backend server.
    #[must_use]
    pub fn is_usable(&self, backend: &Backend, now: SystemTime) -> bool {
        let entry = self.entries.get(&backend.id);
        let is_paused = entry.and_then(|e| e.paused_until).is_some_and(|until| now < until);

        !is_paused && !self.is_full(backend.id, now) && !self.lost_zones.contains(&backend.zone)
    }

    /// Reports whether a backend server is paused because it refused a flow for its connection
    /// limit.
    #[must_use]
    pub fn is_full(&self, backend: BackendId, now: SystemTime) -> bool {
        let entry = self.entries.get(&backend);

        entry.and_then(|entry| entry.full_until).is_some_and(|until| now < until)
    }

    /// Counts an opening packet that is forwarded to a backend server.
    pub fn on_opening(&mut self, backend: BackendId, now: SystemTime) {
        let entry = self.entries.entry(backend).or_default();

        entry.unanswered += 1;
        if entry.unanswered >= UNANSWERED_LIMIT {
            entry.paused_until = Some(now + SILENCE_PAUSE);
        }
    }

    /// Records a packet from a backend server, which ends its pause for missing answers.
    #[inline]
    pub fn on_packet_from(&mut self, backend: BackendId) {
        if let Some(entry) = self.entries.get_mut(&backend)
            && entry.unanswered > 0
        {
            entry.unanswered = 0;
            entry.paused_until = None;
        }
    }

    /// Pauses a backend server that refused a flow for its connection limit.
    pub fn on_full(&mut self, backend: BackendId, until: Deadline) {
        let entry = self.entries.entry(backend).or_default();

        entry.unanswered = 0;
        entry.full_until = Some(until);
    }

    /// Sets the availability zones without any live balancer; their backend servers get no new
    /// flows.
    pub fn set_lost_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.lost_zones = zones;
    }
}
