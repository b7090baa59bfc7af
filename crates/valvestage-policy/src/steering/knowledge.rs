//! What a balancer knows of routes and backend servers.
//!
//! | module | contents |
//! |---|---|
//! | [`route_map`] | which service an address leads to |
//! | [`cold_rate`] | how much a backend server bears in its first seconds |
//! | [`backend_name`] | names of backend servers, and the incarnations behind them |
//! | [`backend_entry`] | what is known of one backend server |
//! | [`backend_directory`] | all backend servers, the gone ones among them |
//! | `entry_table` | their entries, with what is kept of them by each change |
//! | [`entry_times`] | how soon entries lapse and are written again |
//! | [`ready_backends`] | those that take new flows, by service and availability zone |
//! | `backend_births` | which of them follow each other, at one address and under one name |
//! | `store_restores` | what stays known of them when the store is restored |
//! | [`evacuated_zones`] | availability zones that the operator wants to be left alone |
//! | [`zone_contacts`] | since when the other availability zones are heard |
//! | `lapse` | which gone entries may return |

mod backend_births;
pub mod backend_directory;
pub mod backend_entry;
pub mod backend_name;
pub mod cold_rate;
mod entry_table;
pub mod entry_times;
pub mod evacuated_zones;
pub(in crate::steering) mod lapse;
pub mod ready_backends;
pub mod route_map;
mod store_restores;
pub mod zone_contacts;

use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use self::backend_directory::BackendDirectory;
use self::entry_times::EntryTimes;
use self::evacuated_zones::EvacuatedZones;
use self::lapse::RETURN_TIME;
use self::route_map::RouteMap;
use self::zone_contacts::ZoneContacts;

/// Knowledge that the store has not confirmed for this time may be out of date. Confirmations come
/// with each watch, every 1.5 s, and travel in heartbeats.
const CERTAIN_FOR: Duration = Duration::from_secs(5);

/// What another balancer knows more is known here within this time: two rounds of questions to a slow VM, and a heartbeat of one
/// that knows the same.
const CAUGHT_UP_WITHIN: Duration = Duration::from_millis(700);

/// `Knowledge` is what placing and steering go by.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The configuration in force; replaced by [`Knowledge::replace_routes`] only.
    pub routes: RouteMap,
    /// The backend servers.
    pub directory: BackendDirectory,
    /// The availability zones that get no new flows.
    pub evacuated: EvacuatedZones,
    /// How the other availability zones are heard.
    pub contacts: ZoneContacts,
    /// Whether operators evacuate zones here, so that flows are placed only once it is known which.
    awaits_evacuations: bool,
    /// When the store last confirmed all this, at this balancer or at another one.
    confirmed_at: Option<Instant>,
    /// When it had confirmed it last before that.
    lost_at: Option<Instant>,
    /// When the store confirmed it again after the last time in which entries could lapse unseen.
    regained_at: Option<Instant>,
    /// When entries have returned that lapsed before the store last failed to answer; none if it never did.
    settles_at: Option<Instant>,
    /// Since when others are known to know more; none: they do not.
    behind_since: Option<Instant>,
    /// Whether this balancer is cut off with its availability zone.
    is_isolated: bool,
    /// Since when this balancer sees what callers send; none: for as long as matters.
    sees_from: Option<Instant>,
}

impl Knowledge {
    /// `replace_routes` puts a newer configuration in force; false if it is not newer.
    pub fn replace_routes(&mut self, newer: RouteMap) -> bool {
        if newer.version <= self.routes.version {
            return false;
        }

        self.directory.name_services(newer.services());
        self.routes = newer;
        true
    }

    /// `confirm` takes in that the store confirmed everything at a time.
    pub fn confirm(&mut self, at: Option<Instant>) {
        let Some(at) = at else { return };

        if let Some(before) = self.confirmed_at.filter(|before| self.could_lapse(*before, at)) {
            self.lost_at = Some(before);
            self.regained_at = Some(at);
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

    /// Whether entries could lapse unseen between two confirmations.
    fn could_lapse(&self, before: Instant, after: Instant) -> bool {
        after.saturating_duration_since(before) >= self.entry_times().shortest_lapse()
    }

    /// `settle_at` takes in when entries have returned that lapsed before the store last failed to answer.
    pub fn settle_at(&mut self, at: Instant) {
        self.settles_at = self.settles_at.max(Some(at));
        self.directory.settle_at(at);
    }

    /// `is_settled` tells whether entries that could not return, since the store was away, have had the time for it.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles_at.is_none_or(|at| at <= now)
    }

    /// `see_from` takes in that this balancer saw nothing of callers before a time.
    pub fn see_from(&mut self, at: Instant) {
        self.sees_from = Some(at);
    }

    /// `has_seen_since` tells whether this balancer has seen what callers send ever since a time.
    #[must_use]
    pub fn has_seen_since(&self, at: Instant) -> bool {
        self.sees_from.is_none_or(|from| from <= at)
    }

    /// `was_out_of_touch` tells whether what was learned at a time, no longer ago than entries take to
    /// return, may have happened while this balancer did not hear from the store.
    #[must_use]
    pub fn was_out_of_touch(&self, learned_at: Instant) -> bool {
        let is_out = self.confirmed_at.is_some_and(|at| self.could_lapse(at, learned_at));
        let was_out = self
            .regained_at
            .is_some_and(|at| learned_at.saturating_duration_since(at) <= RETURN_TIME);

        is_out || was_out
    }

    /// `heard_before` gives since when, before what was learned at a time, news of the store could be missing.
    pub(in crate::steering) fn heard_before(&self, learned_at: Instant) -> Instant {
        let is_near = |at: Instant| learned_at.saturating_duration_since(at) <= CERTAIN_FOR;
        let lost_at = self.lost_at.filter(|_| self.regained_at.is_some_and(is_near));
        let unconfirmed = self.confirmed_at.filter(|at| self.could_lapse(*at, learned_at));

        [lost_at, unconfirmed].into_iter().flatten().fold(learned_at, Instant::min)
    }

    /// `note_behind` takes in that another balancer knows more.
    pub fn note_behind(&mut self, now: Instant) {
        self.behind_since.get_or_insert(now);
    }

    /// `note_caught_up` takes in that another balancer knows no more, or that it has told something.
    pub fn note_caught_up(&mut self) {
        self.behind_since = None;
    }

    /// `is_behind` tells whether others know more for longer than it takes to be told.
    #[must_use]
    pub fn is_behind(&self, now: Instant) -> bool {
        let is_long = |since: Instant| now.saturating_duration_since(since) >= CAUGHT_UP_WITHIN;

        self.behind_since.is_some_and(is_long)
    }

    /// `has_confirmed_for` tells whether the store has confirmed everything at the end of a time that began with an event,
    /// without a break in which entries could lapse unseen.
    #[must_use]
    pub fn has_confirmed_for(&self, time: Duration, event_at: Instant) -> bool {
        let begins_at = self.regained_at.map_or(event_at, |at| at.max(event_at));

        self.confirmed_at.is_some_and(|at| at >= begins_at + time)
    }

    /// `confirmed_at` gives when the store last confirmed everything.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// `age` gives for how long the store has not confirmed everything; none if it never did.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// `is_certain` tells whether what is not known does not exist, as of a moment ago.
    #[must_use]
    pub fn is_certain(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_duration_since(at) <= CERTAIN_FOR)
    }

    /// `set_isolated` takes in whether this balancer is cut off with its availability zone; true if that is news.
    pub fn set_isolated(&mut self, is_isolated: bool) -> bool {
        std::mem::replace(&mut self.is_isolated, is_isolated) != is_isolated
    }

    /// `is_isolated` tells whether it is.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// `end_returns` lets zones that were taken back get flows again once it is known what their backend servers are by
    /// now, and gives them. Only where some may be cold, and bear little, has that to be known.
    pub fn end_returns(&mut self, now: Instant) -> Vec<ZoneName> {
        let has_rates = !self.routes.cold_rates.is_empty();
        let known_until = has_rates.then(|| self.directory.read_until());

        self.evacuated.end_returns(known_until, now)
    }

    /// `await_evacuations` takes in that operators evacuate zones here.
    pub fn await_evacuations(&mut self) {
        self.awaits_evacuations = true;
    }

    /// `knows_evacuations` tells whether it is known which zones are evacuated, where operators do so.
    #[must_use]
    pub fn knows_evacuations(&self) -> bool {
        !self.awaits_evacuations || self.evacuated.is_known()
    }

    /// `is_complete` tells whether enough is known to place flows.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes.version > 0 && self.directory.is_complete() && self.knows_evacuations()
    }
}
