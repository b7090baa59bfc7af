//! Since when balancers of the other availability zones are heard.
//!
//! A zone that is cut off shows it by the silence of its balancers. What is learned of its backend servers meanwhile, and just
//! after it, says where the cut was, not which of them live.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

/// Silence from which on a zone may have been cut off. The shortest cut in which entries lapse lasts for two heartbeats of backend
/// servers, 1.5 s; four balancers of all are told by each one every 0.4 s.
const SILENCE: Duration = Duration::from_millis(1_500);

/// `ZoneReach` says whether an availability zone can be reached, as far as its balancers show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneReach {
    /// No balancer of another zone was ever heard, so that nothing is known of cuts.
    Unknown,
    /// The zone says nothing.
    Silent,
    /// Its balancers are heard without a break since a time.
    Since(Instant),
}

/// `ZoneContact` is how one zone, or any other one, is heard.
#[derive(Debug, Clone, Copy)]
struct ZoneContact {
    /// When it was first heard after the last silence. Not after `heard_at`.
    joined_at: Instant,
    heard_at: Instant,
}

impl ZoneContact {
    fn on_heard(&mut self, now: Instant) {
        if self.is_silent(now) {
            self.joined_at = now;
        }
        self.heard_at = now;
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) > SILENCE
    }

    fn reach(&self, now: Instant) -> ZoneReach {
        if self.is_silent(now) { ZoneReach::Silent } else { ZoneReach::Since(self.joined_at) }
    }
}

/// `ZoneContacts` holds how the other availability zones are heard.
#[derive(Debug, Default)]
pub struct ZoneContacts {
    zones: HashMap<ZoneName, ZoneContact>,
    /// Any of them.
    any: Option<ZoneContact>,
}

impl ZoneContacts {
    /// `on_heard` takes in that a balancer of another zone has spoken.
    pub fn on_heard(&mut self, zone: &ZoneName, now: Instant) {
        let first = ZoneContact { joined_at: now, heard_at: now };

        self.any.get_or_insert(first).on_heard(now);
        match self.zones.get_mut(zone) {
            Some(contact) => contact.on_heard(now),
            None => {
                self.zones.insert(zone.clone(), first);
            }
        }
    }

    /// `hears_others` tells whether any other zone was heard in the time before now.
    #[must_use]
    pub fn hears_others(&self, within: Duration, now: Instant) -> bool {
        self.any.is_some_and(|contact| now.saturating_duration_since(contact.heard_at) < within)
    }

    /// `reach` tells whether another zone can be reached from here.
    #[must_use]
    pub fn reach(&self, zone: &ZoneName, now: Instant) -> ZoneReach {
        match self.zones.get(zone) {
            Some(contact) => contact.reach(now),
            None if self.any.is_some() => ZoneReach::Silent,
            None => ZoneReach::Unknown,
        }
    }

    /// `reach_of_others` tells whether any other zone can be reached: where none can, this one is cut off itself.
    #[must_use]
    pub fn reach_of_others(&self, now: Instant) -> ZoneReach {
        self.any.map_or(ZoneReach::Unknown, |contact| contact.reach(now))
    }
}
