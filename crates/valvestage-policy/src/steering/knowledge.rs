//! What a balancer knows of routes and backend servers.
//!
//! | module | contents |
//! |---|---|
//! | [`route_map`] | which service an address leads to |
//! | [`request_class`] | what a route says about its requests |
//! | [`cold_rate`] | the request rate of a backend server during slow start |
//! | [`backend_name`] | names of backend servers, and their incarnations |
//! | [`backend_entry`] | the known state of one backend server |
//! | [`backend_directory`] | all known backend servers, including removed ones |
//! | `entry_table` | the entries and their indexes |
//! | [`entry_times`] | how soon entries lapse and are written again |
//! | [`ready_backends`] | backend servers that take new flows, by service and availability zone |
//! | `incarnation_order` | the order of incarnations at one address and under one name |
//! | `births` | what the births of processes say about entries |
//! | `end_corrections` | ends that a list of the store contradicts |
//! | `unknown_services` | entries of services that no configuration is known to name |
//! | `store_restores` | what stays known after the store is restored from a backup |
//! | [`evacuated_zones`] | availability zones that get no new flows at the operator's request |
//! | [`zone_contacts`] | since when the other availability zones have been heard from |
//! | `lapse` | which removed entries may return |

pub mod backend_directory;
pub mod backend_entry;
pub mod backend_name;
mod births;
pub mod cold_rate;
mod end_corrections;
mod entry_table;
pub mod entry_times;
pub mod evacuated_zones;
mod incarnation_order;
pub(in crate::steering) mod lapse;
pub mod ready_backends;
pub mod request_class;
pub mod route_map;
mod store_restores;
mod unknown_services;
pub mod zone_contacts;

use std::time::{Duration, Instant};

use valvestage_core::ids::{ConfigurationVersion, ZoneName};

use self::backend_directory::BackendDirectory;
use self::entry_times::EntryTimes;
use self::evacuated_zones::EvacuatedZones;
use self::lapse::RETURN_TIME;
use self::route_map::RouteMap;
use self::zone_contacts::ZoneContacts;

/// Age of the last confirmation by the store above which knowledge may be out of date.
/// Confirmations come with each watch, every 1.5 s, and travel in heartbeats.
const CERTAIN_FOR: Duration = Duration::from_secs(5);

/// Time within which this balancer catches up with a peer that knows more: two rounds of pulls to a
/// slow VM, and a heartbeat from a peer that knows the same.
pub(in crate::steering) const CATCH_UP_TIME: Duration = Duration::from_millis(700);

/// Version of the configuration of a peer.
#[derive(Debug, Clone, Copy)]
struct ReportedVersion {
    version: ConfigurationVersion,
    /// When a peer last reported it.
    reported_at: Instant,
}

/// What a balancer knows, on which placement and steering are based.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The configuration in force. Replaced only by [`Knowledge::replace_routes`].
    pub routes: RouteMap,
    /// All known backend servers.
    pub directory: BackendDirectory,
    /// The availability zones that get no new flows.
    pub evacuated: EvacuatedZones,
    /// Since when the other availability zones have been heard from.
    pub contacts: ZoneContacts,
    /// Whether operators can evacuate zones here. If so, no flow is placed before the evacuated
    /// zones are known.
    awaits_evacuations: bool,
    /// When the store last confirmed that this knowledge is current, to this balancer or to a peer.
    confirmed_at: Option<Instant>,
    /// The last confirmation before the most recent gap in which entries could lapse unseen.
    gap_began_at: Option<Instant>,
    /// The first confirmation after the most recent gap in which entries could lapse unseen.
    gap_ended_at: Option<Instant>,
    /// When entries that lapsed before the store last failed to answer have had time to return.
    /// `None` if the store never failed.
    settles_at: Option<Instant>,
    /// The newest version of the configuration that a peer has reported; `None` before the first
    /// report.
    newest_reported: Option<ReportedVersion>,
    /// Since when a peer is known to know more. `None` if no peer does.
    behind_since: Option<Instant>,
    /// Whether this balancer is cut off, together with its availability zone, from the store and
    /// all other zones.
    is_isolated: bool,
    /// Since when this balancer sees the callers' packets. `None` if it has seen them for as long
    /// as matters.
    packets_seen_from: Option<Instant>,
}

impl Knowledge {
    /// Puts a newer configuration in force. Returns false if the given one is not newer.
    pub fn replace_routes(&mut self, newer: RouteMap) -> bool {
        if newer.version <= self.routes.version {
            return false;
        }

        self.directory.set_services(newer.services());
        self.routes = newer;
        true
    }

    /// Records that the store confirmed the knowledge at a time.
    pub fn confirm(&mut self, at: Option<Instant>) {
        let Some(at) = at else { return };

        if let Some(before) = self.confirmed_at.filter(|before| self.could_lapse(*before, at)) {
            self.gap_began_at = Some(before);
            self.gap_ended_at = Some(at);
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Sets how soon entries lapse and are written again.
    pub fn set_entry_times(&mut self, times: EntryTimes) {
        self.directory.set_times(times);
    }

    /// Returns how soon entries lapse and are written again.
    #[must_use]
    pub fn entry_times(&self) -> EntryTimes {
        self.directory.times()
    }

    /// Reports whether entries could lapse unseen between two confirmations.
    fn could_lapse(&self, before: Instant, after: Instant) -> bool {
        after.saturating_duration_since(before) >= self.entry_times().shortest_lapse()
    }

    /// Sets when entries that lapsed before the store last failed to answer have had time to
    /// return. Only ever extends that time.
    pub fn settle_at(&mut self, at: Instant) {
        self.settles_at = self.settles_at.max(Some(at));
        self.directory.settle_at(at);
    }

    /// Reports whether entries that could not return during a store outage have had time to do so.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles_at.is_none_or(|at| at <= now)
    }

    /// Records that this balancer saw no packets of callers before a time.
    pub fn set_packets_seen_from(&mut self, at: Instant) {
        self.packets_seen_from = Some(at);
    }

    /// Reports whether this balancer has seen the callers' packets ever since a time.
    #[must_use]
    pub fn has_seen_packets_since(&self, at: Instant) -> bool {
        self.packets_seen_from.is_none_or(|from| from <= at)
    }

    /// Reports whether an event that was learned at a time may have happened while this balancer
    /// did not hear from the store. That is so during a gap between confirmations, and for as long
    /// after the gap as entries take to return.
    #[must_use]
    pub fn was_disconnected_from_store(&self, learned_at: Instant) -> bool {
        let is_out = self.confirmed_at.is_some_and(|at| self.could_lapse(at, learned_at));
        let was_out = self
            .gap_ended_at
            .is_some_and(|at| learned_at.saturating_duration_since(at) <= RETURN_TIME);

        is_out || was_out
    }

    /// Returns the earliest time from which updates of the store may have been missing here when an
    /// event was learned at a time. That is the time itself if none may have been.
    pub(in crate::steering) fn updates_missing_since(&self, learned_at: Instant) -> Instant {
        let is_near = |at: Instant| learned_at.saturating_duration_since(at) <= CERTAIN_FOR;
        let gap_began_at = self.gap_began_at.filter(|_| self.gap_ended_at.is_some_and(is_near));
        let unconfirmed = self.confirmed_at.filter(|at| self.could_lapse(*at, learned_at));

        [gap_began_at, unconfirmed].into_iter().flatten().fold(learned_at, Instant::min)
    }

    /// Records the version of a peer's configuration.
    pub fn note_peer_version(&mut self, version: ConfigurationVersion, now: Instant) {
        // A version that is no longer reported may not exist any more.
        let is_newest = self.newest_reported.is_none_or(|newest| {
            let age = now.saturating_duration_since(newest.reported_at);
            newest.version <= version || age > CERTAIN_FOR
        });

        if is_newest {
            self.newest_reported = Some(ReportedVersion { version, reported_at: now });
        }
    }

    /// Reports whether no peer is known to have a newer configuration. A version that no peer has
    /// reported for a while no longer counts: a store that was restored may not have it.
    #[must_use]
    pub fn has_newest_routes(&self, now: Instant) -> bool {
        self.newest_reported.is_none_or(|newest| {
            let age = now.saturating_duration_since(newest.reported_at);
            newest.version <= self.routes.version || age > CERTAIN_FOR
        })
    }

    /// Records that a peer knows more.
    pub fn note_behind(&mut self, now: Instant) {
        self.behind_since.get_or_insert(now);
    }

    /// Records that no peer is known to know more: one has sent an update, or knows the same.
    pub fn note_caught_up(&mut self) {
        self.behind_since = None;
    }

    /// Reports whether peers have known more for longer than it takes to catch up.
    #[must_use]
    pub fn is_behind(&self, now: Instant) -> bool {
        let is_long = |since: Instant| now.saturating_duration_since(since) >= CATCH_UP_TIME;

        self.behind_since.is_some_and(is_long)
    }

    /// Reports whether the store has confirmed the knowledge at least `time` after an event. After
    /// a gap in which entries could lapse unseen, the time counts from the end of the gap.
    #[must_use]
    pub fn has_confirmed_for(&self, time: Duration, event_at: Instant) -> bool {
        let begins_at = self.gap_ended_at.map_or(event_at, |at| at.max(event_at));

        self.confirmed_at.is_some_and(|at| at >= begins_at + time)
    }

    /// Returns when the store last confirmed the knowledge. `None` if it never did.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since the store last confirmed the knowledge. `None` if it never did.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Reports whether the last confirmation is recent enough that what is not known can be taken
    /// not to exist.
    #[must_use]
    pub fn is_certain(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_duration_since(at) <= CERTAIN_FOR)
    }

    /// Sets whether this balancer is cut off, together with its availability zone, from the store
    /// and all other zones. Returns true if that has changed.
    pub fn set_isolated(&mut self, is_isolated: bool) -> bool {
        std::mem::replace(&mut self.is_isolated, is_isolated) != is_isolated
    }

    /// Reports whether this balancer is cut off, together with its availability zone, from the
    /// store and all other zones.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Lets zones whose evacuation has ended get flows again once the state of their backend
    /// servers is known, and returns these zones. Their state has to be known only where a
    /// slow-start rate is configured: backend servers that are cold bear little load.
    pub fn release_returning_zones(&mut self, now: Instant) -> Vec<ZoneName> {
        let has_rates = !self.routes.cold_rates.is_empty();
        let known_until = has_rates.then(|| self.directory.read_until());

        self.evacuated.release_returning(known_until, now)
    }

    /// Makes placement wait for the evacuated zones, since operators can evacuate zones here.
    pub fn await_evacuations(&mut self) {
        self.awaits_evacuations = true;
    }

    /// Reports whether the evacuated zones are known, or need not be.
    #[must_use]
    pub fn knows_evacuations(&self) -> bool {
        !self.awaits_evacuations || self.evacuated.is_known()
    }

    /// Reports whether enough is known to place flows.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes.version > 0 && self.directory.is_complete() && self.knows_evacuations()
    }
}
