//! Backend servers of one service: selection, outlier ejection and slow start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use valvestage_core::Configuration;
use valvestage_core::ids::{BackendId, Incarnation, ServiceId, ZoneName};

use super::backend_slots::BackendSlots;
use super::request_options::ChoiceRule;
use crate::rendezvous::mix;

/// Parameters of backend server selection, ejection and slow start.
#[derive(Debug, Clone)]
pub struct PoolOptions {
    /// Availability zone of this balancer, preferred between backend servers of equal occupancy.
    pub own_zone: ZoneName,
    /// Selection algorithm among the backend servers with a free slot.
    pub choice: ChoiceRule,
    /// Time over which a cold backend server ramps up to all of its slots.
    pub slow_start: Duration,
    /// Consecutive attempts without an answer after which a backend server is ejected.
    pub failures_to_eject: u32,
    /// Length of the first ejection; it doubles with each consecutive ejection.
    pub initial_ejection: Duration,
    /// Upper bound of the length of an ejection.
    pub max_ejection: Duration,
    /// Share of the eligible backend servers, from 0 to 1, that is never ejected, however many
    /// fail.
    pub min_available_share: f64,
    /// First backoff after a backend server shed load; it doubles with each consecutive shed.
    pub initial_shedding_backoff: Duration,
    /// Upper bound of the backoff after a backend server shed load.
    pub max_shedding_backoff: Duration,
    /// A backend server whose average run time is above this multiple of the median is selected
    /// last.
    pub slow_factor: f64,
    /// Seed of the baseline algorithms that select at random.
    pub seed: u64,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            own_zone: ZoneName::new(),
            choice: ChoiceRule::LeastOccupied,
            slow_start: Duration::from_secs(5),
            failures_to_eject: 3,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(15),
            min_available_share: 0.25,
            initial_shedding_backoff: Duration::from_millis(20),
            max_shedding_backoff: Duration::from_secs(1),
            slow_factor: 3.0,
            seed: 0,
        }
    }
}

/// Backend servers of one service, with the occupancy that the service's owner counts.
#[derive(Debug, Clone)]
pub struct BackendPool {
    options: PoolOptions,
    backends: BTreeMap<BackendId, BackendSlots>,
    selections: u64,
    /// Availability zones without a live balancer; their backend servers are selected last.
    lost_zones: BTreeSet<ZoneName>,
}

impl BackendPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: PoolOptions) -> Self {
        Self { options, backends: BTreeMap::new(), selections: 0, lost_zones: BTreeSet::new() }
    }

    /// Replaces the backend servers by those that a configuration lists for a service.
    ///
    /// A backend server whose VM (incarnation) is unchanged keeps its counters. Any other starts
    /// cold, unless the pool was empty.
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
                consecutive_ejections: 0,
                ejected_until: None,
                shedding_until: None,
                consecutive_sheds: 0,
                cold_until,
            });

            slots.slots = record.slots;
            slots.weight = record.weight;
            slots.eligible = configuration.takes_new_work(record);
            self.backends.insert(record.id, slots);
        }
    }

    /// Sets the availability zones without a live balancer.
    pub fn set_lost_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.lost_zones = zones;
    }

    /// Selects a backend server that has a free slot and is not in `excluded`.
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

        self.selections += 1;
        let draw =
            |count: u64| mix(self.options.seed, self.selections << 8 | count) % free.len() as u64;
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

    /// Returns the length of slow start that applies now.
    ///
    /// Slow start relieves a few cold backend servers while the others carry the load. When more
    /// than half of them are cold, too few are left to carry it and limiting slots would only make
    /// requests wait; slow start is then disabled.
    fn slow_start(&self, now: SystemTime) -> Duration {
        let eligible = self.backends.values().filter(|slots| slots.eligible);
        let (cold, all) = eligible.fold((0u32, 0u32), |(cold, all), slots| {
            (cold + u32::from(now < slots.cold_until), all + 1)
        });

        if cold * 2 > all { Duration::ZERO } else { self.options.slow_start }
    }

    /// Returns the best of the free backend servers: one in a reachable zone and without recent
    /// failures first, then one of normal speed, then the least occupied, then one in the zone of
    /// this balancer. The remaining ties are broken by a hash that changes with every selection.
    fn least_occupied(&self, free: &[&BackendSlots]) -> BackendId {
        let slow_threshold =
            self.median_run_time().map(|median| median.mul_f64(self.options.slow_factor));
        let rank = |slots: &&&BackendSlots| {
            let is_suspect = self.lost_zones.contains(&slots.zone) || slots.failures > 0;
            let is_slow =
                slots.run_time.zip(slow_threshold).is_some_and(|(time, limit)| time > limit);
            let is_far = slots.zone != self.options.own_zone;
            // Occupancies are finite and non-negative, so their bit patterns sort like their
            // values.
            let occupancy = slots.occupancy().to_bits();

            (is_suspect, is_slow, occupancy, is_far, mix(self.selections, slots.id.into()))
        };

        free.iter().min_by_key(rank).map_or(0, |slots| slots.id)
    }

    fn median_run_time(&self) -> Option<Duration> {
        let mut times: Vec<_> = self.backends.values().filter_map(|slots| slots.run_time).collect();
        times.sort_unstable();

        times.get(times.len() / 2).copied()
    }

    /// Returns the mean of the backend servers' average run times, or `None` before the first
    /// answer.
    #[must_use]
    pub fn mean_run_time(&self) -> Option<Duration> {
        let times: Vec<_> = self.backends.values().filter_map(|slots| slots.run_time).collect();
        let count = u32::try_from(times.len()).ok().filter(|count| *count > 0)?;

        Some(times.iter().sum::<Duration>() / count)
    }

    /// Occupies a slot for a dispatched attempt and returns the incarnation of the backend server.
    pub fn take_slot(&mut self, id: BackendId) -> Option<Incarnation> {
        let slots = self.backends.get_mut(&id)?;

        slots.busy += 1;
        Some(slots.incarnation)
    }

    /// Frees a slot, unless the backend server's VM has been replaced since the dispatch.
    fn release_slot(
        &mut self,
        id: BackendId,
        incarnation: Incarnation,
    ) -> Option<&mut BackendSlots> {
        let slots = self.backends.get_mut(&id).filter(|slots| slots.incarnation == incarnation)?;

        slots.busy = slots.busy.saturating_sub(1);
        Some(slots)
    }

    /// Frees the slot of an answered attempt, updates the average run time and resets the failure
    /// counters.
    pub fn on_answered(&mut self, id: BackendId, incarnation: Incarnation, taken: Duration) {
        let Some(slots) = self.release_slot(id, incarnation) else {
            return;
        };

        slots.record_run_time(taken);
        slots.failures = 0;
        slots.consecutive_ejections = 0;
        slots.consecutive_sheds = 0;
    }

    /// Frees the slot of an attempt that ended with neither an answer nor a failure.
    pub fn on_ended(&mut self, id: BackendId, incarnation: Incarnation) {
        self.release_slot(id, incarnation);
    }

    /// Frees the slot of an attempt that the backend server shed, and starts the shedding backoff.
    pub fn on_shedding(&mut self, id: BackendId, incarnation: Incarnation, now: SystemTime) {
        let first = self.options.initial_shedding_backoff;
        let longest = self.options.max_shedding_backoff;
        let Some(slots) = self.release_slot(id, incarnation) else {
            return;
        };

        slots.failures = 0;
        slots.consecutive_sheds += 1;
        slots.shedding_until =
            Some(now + exponential_backoff(first, slots.consecutive_sheds - 1).min(longest));
    }

    /// Records that an attempt got no answer in time, and ejects the backend server once the number
    /// of failures since its last answer or refusal for load reaches `failures_to_eject`.
    ///
    /// The slot stays occupied, because the backend server may still be running the request.
    pub fn on_failure(&mut self, id: BackendId, incarnation: Incarnation, now: SystemTime) {
        let may_eject = self.may_eject(now);
        let options = self.options.clone();
        let Some(slots) = self.backends.get_mut(&id).filter(|s| s.incarnation == incarnation)
        else {
            return;
        };

        slots.failures += 1;
        if slots.failures < options.failures_to_eject || slots.is_ejected(now) || !may_eject {
            return;
        }

        // The backend server returns from the ejection in slow start.
        let length = exponential_backoff(options.initial_ejection, slots.consecutive_ejections)
            .min(options.max_ejection);
        slots.consecutive_ejections += 1;
        slots.ejected_until = Some(now + length);
        slots.cold_until = now + length + options.slow_start;
    }

    /// Reports whether another backend server may be ejected: at least the share
    /// `min_available_share` of the eligible ones, and at least one, must remain afterwards.
    fn may_eject(&self, now: SystemTime) -> bool {
        let eligible = self.backends.values().filter(|slots| slots.eligible);
        let (out, all) = eligible
            .fold((0u32, 0u32), |(out, all), s| (out + u32::from(s.is_ejected(now)), all + 1));
        let kept = (f64::from(all) * self.options.min_available_share).ceil().max(1.0);

        f64::from(all - out) > kept
    }

    /// Returns the number of slots that may be used now, occupied ones included.
    #[must_use]
    pub fn usable_slots(&self, now: SystemTime) -> u32 {
        let slow_start = self.slow_start(now);
        let usable =
            self.backends.values().filter(|slots| slots.eligible && !slots.is_ejected(now));

        usable.map(|slots| u32::from(slots.allowed(now, slow_start))).sum()
    }

    /// Returns the number of occupied slots.
    #[must_use]
    pub fn busy_slots(&self) -> u32 {
        self.backends.values().map(|slots| u32::from(slots.busy)).sum()
    }

    /// Returns the earliest future time at which an ejection or a shedding backoff of an eligible
    /// backend server ends.
    #[must_use]
    pub fn next_available_at(&self, now: SystemTime) -> Option<SystemTime> {
        self.backends
            .values()
            .filter(|slots| slots.eligible)
            .flat_map(|slots| [slots.ejected_until, slots.shedding_until])
            .flatten()
            .filter(|until| *until > now)
            .min()
    }

    /// Returns the slots of a backend server, or `None` if it is not in the pool.
    #[must_use]
    pub fn get(&self, id: BackendId) -> Option<&BackendSlots> {
        self.backends.get(&id)
    }

    /// Iterates over the backend servers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &BackendSlots> {
        self.backends.values()
    }
}

fn exponential_backoff(first: Duration, times: u32) -> Duration {
    const MOST_DOUBLINGS: u32 = 16;

    first * 2u32.pow(times.min(MOST_DOUBLINGS))
}
