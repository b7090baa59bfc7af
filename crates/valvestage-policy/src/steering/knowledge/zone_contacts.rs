//! Since when balancers of the other availability zones have been heard from.
//!
//! A network partition around a zone shows in the silence of its balancers. What is learned of its
//! backend servers during the partition, and just after it, shows where the partition was, not
//! which of them are alive.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

/// Silence after which a zone may have been cut off by a network partition. The shortest partition
/// in which entries lapse lasts for two heartbeats of backend servers, 1.5 s. Each balancer sends
/// heartbeats to four others every 0.4 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether an availability zone can be reached, as far as its balancers show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneReach {
    /// No balancer of another zone was ever heard from, so nothing is known of partitions.
    Unknown,
    /// No balancer of the zone was heard from recently.
    Silent,
    /// Balancers of the zone have been heard from without a break since this time.
    Since(Instant),
}

/// When one zone, or any of the other zones, was heard from.
#[derive(Debug, Clone, Copy)]
struct ZoneContact {
    /// When it was first heard from after the last silence. Never later than `heard_at`.
    heard_since: Instant,
    heard_at: Instant,
}

impl ZoneContact {
    fn on_heard(&mut self, now: Instant) {
        if self.is_silent(now) {
            self.heard_since = now;
        }
        self.heard_at = now;
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) > SILENCE_TIMEOUT
    }

    fn reach(&self, now: Instant) -> ZoneReach {
        if self.is_silent(now) { ZoneReach::Silent } else { ZoneReach::Since(self.heard_since) }
    }
}

/// When the other availability zones were heard from.
#[derive(Debug, Default)]
pub struct ZoneContacts {
    zones: HashMap<ZoneName, ZoneContact>,
    /// Contact with any of the other zones.
    any_zone: Option<ZoneContact>,
}

impl ZoneContacts {
    /// Records that a balancer of another zone was heard from.
    pub fn on_heard(&mut self, zone: &ZoneName, now: Instant) {
        let first = ZoneContact { heard_since: now, heard_at: now };

        self.any_zone.get_or_insert(first).on_heard(now);
        match self.zones.get_mut(zone) {
            Some(contact) => contact.on_heard(now),
            None => {
                self.zones.insert(zone.clone(), first);
            }
        }
    }

    /// Reports whether any other zone was heard from within the given time before now.
    #[must_use]
    pub fn hears_others(&self, within: Duration, now: Instant) -> bool {
        self.any_zone
            .is_some_and(|contact| now.saturating_duration_since(contact.heard_at) < within)
    }

    /// Returns whether another zone can be reached from here.
    #[must_use]
    pub fn reach(&self, zone: &ZoneName, now: Instant) -> ZoneReach {
        match self.zones.get(zone) {
            Some(contact) => contact.reach(now),
            None if self.any_zone.is_some() => ZoneReach::Silent,
            None => ZoneReach::Unknown,
        }
    }

    /// Returns whether any other zone can be reached. If none can, the zone of this balancer is the
    /// one that is cut off.
    #[must_use]
    pub fn reach_of_others(&self, now: Instant) -> ZoneReach {
        self.any_zone.map_or(ZoneReach::Unknown, |contact| contact.reach(now))
    }
}
