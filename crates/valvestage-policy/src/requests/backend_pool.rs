//! The backend servers of one service: choice, ejection, slow start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use valvestage_core::Configuration;
use valvestage_core::ids::{BackendId, Incarnation, ServiceId, ZoneName};

use super::backend_slots::BackendSlots;
use super::request_options::ChoiceRule;
use crate::rendezvous::mix;

/// `PoolOptions` bounds ejection and slow start.
#[derive(Debug, Clone)]
pub struct PoolOptions {
    /// Availability zone of this balancer; preferred on equal occupancy.
    pub own_zone: ZoneName,
    /// How a backend server is chosen.
    pub choice: ChoiceRule,
    /// Time in which a cold backend server comes to its full slots.
    pub slow_start: Duration,
    /// Tries without an answer after which a backend server is ejected.
    pub failures_to_eject: u32,
    /// Length of the first ejection; doubles with each in a row.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub longest_ejection: Duration,
    /// Share of the backend servers that stays, however many fail.
    pub share_kept: f64,
    /// First pause after a backend server shed load; doubles with each in a row.
    pub first_shedding_pause: Duration,
    /// Longest pause after a backend server shed load.
    pub longest_shedding_pause: Duration,
    /// A backend server this many times slower than the median is chosen last.
    pub slow_factor: f64,
    /// Seed of the baselines that draw at random.
    pub seed: u64,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            own_zone: ZoneName::new(),
            choice: ChoiceRule::LeastOccupied,
            slow_start: Duration::from_secs(5),
            failures_to_eject: 3,
            first_ejection: Duration::from_secs(1),
            longest_ejection: Duration::from_secs(15),
            share_kept: 0.25,
            first_shedding_pause: Duration::from_millis(20),
            longest_shedding_pause: Duration::from_secs(1),
            slow_factor: 3.0,
            seed: 0,
        }
    }
}

/// `BackendPool` is the backend servers of one service, as their admitting balancer counts them.
#[derive(Debug, Clone)]
pub struct BackendPool {
    options: PoolOptions,
    backends: BTreeMap<BackendId, BackendSlots>,
    draws: u64,
    /// Availability zones of which no balancer is alive; their backend servers go last.
    lost_zones: BTreeSet<ZoneName>,
}

impl BackendPool {
    /// `new` starts an empty pool.
    #[must_use]
    pub fn new(options: PoolOptions) -> Self {
        Self { options, backends: BTreeMap::new(), draws: 0, lost_zones: BTreeSet::new() }
    }

    /// `install` takes the backend servers of a service from a configuration.
    ///
    /// Occupancy is kept for a known VM; a new one, after the first configuration, starts cold.
    pub fn install(&mut self, configuration: &Configuration, service: ServiceId, now: SystemTime) {
        let is_first = self.backends.is_empty();
        let mut known = std::mem::take(&mut self.backends);

        for record in configuration.backends_of(service) {
            let former =
                known.remove(&record.id).filter(|old| old.incarnation == record.incarnation);
            let cold_until = if is_first { now } else { now + self.options.slow_start };
            let mut slots = former.unwrap_or_else(|| BackendSlots {
                id: record.id,
                incarnation: record.incarnation,
                zone: record.zone.clone(),
                slots: record.slots,
                weight: record.weight,
                eligible: false,
                busy: 0,
                run_time: None,
                failures: 0,
                ejections: 0,
                ejected_until: None,
                shedding_until: None,
                sheddings: 0,
                cold_until,
            });

            slots.slots = record.slots;
            slots.weight = record.weight;
            slots.eligible = configuration.takes_new_work(record);
            self.backends.insert(record.id, slots);
        }
    }

    /// `set_lost_zones` names the availability zones of which no balancer is alive.
    pub fn set_lost_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.lost_zones = zones;
    }

    /// `choose` gives a backend server with a free slot, none of those excluded.
    pub fn choose(&mut self, now: SystemTime, excluded: &[BackendId]) -> Option<BackendId> {
        let slow_start = self.slow_start(now);
        let free: Vec<_> = self
            .backends
            .values()
            .filter(|slots| slots.has_room(now, slow_start) && !excluded.contains(&slots.id))
            .collect();
        if free.is_empty() {
            return None;
        }

        self.draws += 1;
        let draw = |count: u64| mix(self.options.seed, self.draws << 8 | count) % free.len() as u64;
        #[allow(clippy::cast_possible_truncation)]
        let drawn = |count: u64| free[draw(count) as usize];

        Some(match self.options.choice {
            ChoiceRule::Random => drawn(0).id,
            ChoiceRule::TwoChoices => {
                let (first, second) = (drawn(0), drawn(1));
                if first.occupancy() <= second.occupancy() { first.id } else { second.id }
            }
            ChoiceRule::LeastOccupied => self.least_occupied(&free),
        })
    }

    /// Slow start spares a few cold backend servers while the others carry the load. When most are
    /// cold there are no others, and holding slots back would only make requests wait.
    fn slow_start(&self, now: SystemTime) -> Duration {
        let eligible = self.backends.values().filter(|slots| slots.eligible);
        let (cold, all) = eligible.fold((0u32, 0u32), |(cold, all), slots| {
            (cold + u32::from(now < slots.cold_until), all + 1)
        });

        if cold * 2 > all { Duration::ZERO } else { self.options.slow_start }
    }

    /// The order: reachable zones, usual speed, occupancy, own zone, speed, then a rotation.
    fn least_occupied(&self, free: &[&BackendSlots]) -> BackendId {
        let slow_above =
            self.median_run_time().map(|median| median.mul_f64(self.options.slow_factor));
        let rank = |slots: &&&BackendSlots| {
            let is_lost = self.lost_zones.contains(&slots.zone) || slots.failures > 0;
            let is_slow = slots.run_time.zip(slow_above).is_some_and(|(time, limit)| time > limit);
            let is_far = slots.zone != self.options.own_zone;
            // Occupancies are finite and not negative, so that their bits order as they do.
            let occupancy = slots.occupancy().to_bits();

            (is_lost, is_slow, occupancy, is_far, mix(self.draws, slots.id.into()))
        };

        free.iter().min_by_key(rank).map_or(0, |slots| slots.id)
    }

    fn median_run_time(&self) -> Option<Duration> {
        let mut times: Vec<_> = self.backends.values().filter_map(|slots| slots.run_time).collect();
        times.sort_unstable();

        times.get(times.len() / 2).copied()
    }

    /// `usual_run_time` gives the mean of the averages; none before the first answer.
    #[must_use]
    pub fn usual_run_time(&self) -> Option<Duration> {
        let times: Vec<_> = self.backends.values().filter_map(|slots| slots.run_time).collect();
        let count = u32::try_from(times.len()).ok().filter(|count| *count > 0)?;

        Some(times.iter().sum::<Duration>() / count)
    }

    /// `take_slot` counts a dispatch.
    pub fn take_slot(&mut self, id: BackendId) -> Option<Incarnation> {
        let slots = self.backends.get_mut(&id)?;

        slots.busy += 1;
        Some(slots.incarnation)
    }

    /// `release_slot` counts the end of a dispatch, if the VM is still the same.
    fn release_slot(
        &mut self,
        id: BackendId,
        incarnation: Incarnation,
    ) -> Option<&mut BackendSlots> {
        let slots = self.backends.get_mut(&id).filter(|slots| slots.incarnation == incarnation)?;

        slots.busy = slots.busy.saturating_sub(1);
        Some(slots)
    }

    /// `on_answered` frees the slot and learns the run time.
    pub fn on_answered(&mut self, id: BackendId, incarnation: Incarnation, taken: Duration) {
        let Some(slots) = self.release_slot(id, incarnation) else {
            return;
        };

        slots.on_run_time(taken);
        slots.failures = 0;
        slots.ejections = 0;
        slots.sheddings = 0;
    }

    /// `on_ended` frees the slot of a try that ended without an answer and without a failure.
    pub fn on_ended(&mut self, id: BackendId, incarnation: Incarnation) {
        self.release_slot(id, incarnation);
    }

    /// `on_shedding` frees the slot and pauses a backend server that refused.
    pub fn on_shedding(&mut self, id: BackendId, incarnation: Incarnation, now: SystemTime) {
        let first = self.options.first_shedding_pause;
        let longest = self.options.longest_shedding_pause;
        let Some(slots) = self.release_slot(id, incarnation) else {
            return;
        };

        slots.failures = 0;
        slots.sheddings += 1;
        slots.shedding_until = Some(now + doubled(first, slots.sheddings - 1).min(longest));
    }

    /// `on_failure` notes that a try got no answer in time; the slot stays taken.
    pub fn on_failure(&mut self, id: BackendId, incarnation: Incarnation, now: SystemTime) {
        let may_eject = self.may_eject(now);
        let options = self.options.clone();
        let Some(slots) = self.backends.get_mut(&id).filter(|s| s.incarnation == incarnation)
        else {
            return;
        };

        slots.failures += 1;
        if slots.failures < options.failures_to_eject || slots.is_out(now) || !may_eject {
            return;
        }

        // After the ejection it starts as a cold one.
        let length = doubled(options.first_ejection, slots.ejections).min(options.longest_ejection);
        slots.ejections += 1;
        slots.ejected_until = Some(now + length);
        slots.cold_until = now + length + options.slow_start;
    }

    /// Whether one more may be ejected: a share of the eligible ones stays, at least one.
    fn may_eject(&self, now: SystemTime) -> bool {
        let eligible = self.backends.values().filter(|slots| slots.eligible);
        let (out, all) = eligible
            .fold((0u32, 0u32), |(out, all), slots| (out + u32::from(slots.is_out(now)), all + 1));
        let kept = (f64::from(all) * self.options.share_kept).ceil().max(1.0);

        f64::from(all - out) > kept
    }

    /// `usable_slots` counts the slots that may be used now, free or not.
    #[must_use]
    pub fn usable_slots(&self, now: SystemTime) -> u32 {
        let slow_start = self.slow_start(now);
        let usable = self.backends.values().filter(|slots| slots.eligible && !slots.is_out(now));

        usable.map(|slots| u32::from(slots.allowed(now, slow_start))).sum()
    }

    /// `busy_slots` counts the slots in use.
    #[must_use]
    pub fn busy_slots(&self) -> u32 {
        self.backends.values().map(|slots| u32::from(slots.busy)).sum()
    }

    /// `next_return` gives the next time at which a paused or ejected backend server comes back.
    #[must_use]
    pub fn next_return(&self, now: SystemTime) -> Option<SystemTime> {
        self.backends
            .values()
            .filter(|slots| slots.eligible)
            .flat_map(|slots| [slots.ejected_until, slots.shedding_until])
            .flatten()
            .filter(|until| *until > now)
            .min()
    }

    /// `get` gives the slots of a backend server.
    #[must_use]
    pub fn get(&self, id: BackendId) -> Option<&BackendSlots> {
        self.backends.get(&id)
    }

    /// `iter` iterates over the backend servers by id.
    pub fn iter(&self) -> impl Iterator<Item = &BackendSlots> {
        self.backends.values()
    }
}

fn doubled(first: Duration, times: u32) -> Duration {
    const MOST_DOUBLINGS: u32 = 16;

    first * 2u32.pow(times.min(MOST_DOUBLINGS))
}
