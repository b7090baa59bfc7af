//! What each fault does when it begins and ends.

use std::net::SocketAddrV4;

use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::BackendPhase;

use super::membership::membership_changes;
use super::stalls::stalls;
use super::{ADDRESS_COUNT, World};
use crate::backends::{Backend, DRAIN_MS, next_incarnation};
use crate::events::{Event, Millis};
use crate::fault::{Fault, FaultKind, RestoreDepth};
use crate::foreign_entry::BrokenEntry;
use crate::mutation::Mutation;
use crate::oracles::Oracle;
use crate::site::{SitePlan, ZONES, service_address};
use crate::store::{MAX_ROUTES, StoreMode};

/// Longest time for which one balancer is down, and for which all balancers are down.
const MAX_DOWN_MS: Millis = 1_500;
const MAX_ALL_DOWN_MS: Millis = 1_000;

/// Duration of a rolling restart of all balancers.
const ROLLING_RESTART_MS: Millis = 4_000;

/// Interval between two configurations that add an address, in milliseconds.
const ROUTE_ADDITION_STEP: usize = 260;

/// After a restore of the store, the operator writes again within the first of these times, and
/// backend servers within the second one plus `WRITE_INTERVAL_MS`. Both are in milliseconds.
const OPERATOR_WRITES_WITHIN: usize = 2_000;
const BACKENDS_WRITE_WITHIN: usize = 1_200;

/// Shortest time before the address of an ended backend server is given to another one.
const REUSE_AFTER: Millis = 2_000;

/// Returns the faults as they are simulated: a rolling restart becomes one restart of each
/// balancer, and the durations of some kinds are bounded or fixed.
pub fn expand(faults: &[Fault], plan: &SitePlan) -> Vec<Fault> {
    let mut all = Vec::new();

    for fault in faults {
        let Fault { kind, at, for_ms } = *fault;
        match kind {
            FaultKind::RollingRestart => {
                let gap =
                    ROLLING_RESTART_MS / u64::try_from(plan.balancers).expect("the count fits");
                all.extend((0..plan.balancers).map(|number| Fault {
                    kind: FaultKind::Restart(number),
                    at: at + gap * u64::try_from(number).expect("the count fits"),
                    for_ms: 100,
                }));
            }
            FaultKind::Restart(_) => all.push(Fault { for_ms: for_ms.min(MAX_DOWN_MS), ..*fault }),
            FaultKind::Herd => all.push(Fault { for_ms: for_ms.min(MAX_ALL_DOWN_MS), ..*fault }),
            FaultKind::Handover(handover) => all.extend(membership_changes(fault, handover, plan)),
            FaultKind::RouteStorm => {
                let additions = (at..at + for_ms).step_by(ROUTE_ADDITION_STEP);
                all.extend(additions.map(|at| Fault {
                    kind: FaultKind::RouteAddition,
                    at,
                    for_ms: 0,
                }));
            }
            FaultKind::Starvation { first, count, stall_ms } => {
                let starved = first..first + count.min(plan.balancers);
                let starved = starved.map(|number| number % plan.balancers);
                all.extend(starved.flat_map(|number| stalls(number, fault, stall_ms)));
            }
            FaultKind::BackendReplaced(_) => all.push(Fault { for_ms: DRAIN_MS, ..*fault }),
            FaultKind::AddressReused(_) => {
                all.push(Fault { for_ms: for_ms.max(REUSE_AFTER), ..*fault });
            }
            _ => all.push(*fault),
        }
    }
    all
}

impl World {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let Fault { kind, for_ms, .. } = self.faults[number];
        if self.trace.faults {
            println!("{} ms: {kind:?} begins, for {for_ms} ms", self.now);
        }
        let until = self.now + for_ms;

        match kind {
            FaultKind::RouteChange(pick) => {
                let address = service_address(pick % ADDRESS_COUNT);
                if let Some(service) = self.wanted_routes.get_mut(&address) {
                    *service = 1 - *service;
                }
                self.write_configuration_if_possible();
            }
            FaultKind::RouteDrop(pick) => {
                let address = service_address(pick % ADDRESS_COUNT);
                let is_last = self.wanted_routes.len() == 1;
                if self.wanted_routes.remove(&address).is_none() || is_last {
                    self.wanted_routes.insert(address, pick % 2);
                } else {
                    self.dropped_at.insert(address, self.now);
                }
                self.write_configuration_if_possible();
            }
            FaultKind::RouteGrowth(count) => {
                let first = 1_000 + self.wanted_routes.len();
                let count = count.min(MAX_ROUTES.saturating_sub(self.wanted_routes.len()));
                self.wanted_routes
                    .extend((first..first + count).map(|n| (service_address(n), n % 2)));
                self.write_configuration_if_possible();
            }
            FaultKind::Restart(pick) => self.stop_balancer(pick % self.plan.balancers, until),
            FaultKind::Herd => {
                for balancer in 0..self.plan.balancers {
                    self.stop_balancer(balancer, until);
                }
            }
            FaultKind::RollingRestart
            | FaultKind::Handover(_)
            | FaultKind::RouteStorm
            | FaultKind::Starvation { .. } => {}
            FaultKind::RouteAddition => self.add_address(),
            FaultKind::Leave(balancer) => self.begin_leave(balancer),
            FaultKind::Join(balancer) => self.join(balancer),
            FaultKind::Stall(balancer) => self.stall(balancer, until),
            FaultKind::BrokenEntry(entry) => self.break_entry(entry),
            FaultKind::StoreCut(pick) => {
                let node = &mut self.balancers[pick % self.plan.balancers];
                node.is_cut_from_store = true;
                node.disturb(until);
            }
            FaultKind::PeerCut { balancer, is_deaf } => {
                let node = &mut self.balancers[balancer % self.plan.balancers];
                if is_deaf {
                    node.is_inbound_cut = true;
                } else {
                    node.is_outbound_cut = true;
                }
                node.disturb(until);
            }
            FaultKind::ZoneCut(pick) => self.cut_zone(pick % self.plan.zones, until),
            FaultKind::UplinkLoss(pick) => {
                // Nothing excuses that the balancer resets open flows.
                let node = &mut self.balancers[pick % self.plan.balancers];
                node.is_uplink_cut = true;
                node.disturbed_at = node.disturbed_at.max(until);
            }
            FaultKind::CallerLoss(loss) => self.begin_caller_loss(loss, until),
            FaultKind::Freeze(pick) => {
                let node = &mut self.balancers[pick % self.plan.balancers];
                node.paused_until = node.paused_until.max(until);
                node.disturb(until);
            }
            FaultKind::SilentCalls => {
                self.store.calls.iter_mut().for_each(|call| call.is_silent = true);
                for node in &mut self.balancers {
                    node.disturb(self.now);
                }
            }
            FaultKind::StoreRefuses => self.disturb_store(StoreMode::Refuses, until),
            FaultKind::StoreSilent => self.disturb_store(StoreMode::Silent, until),
            FaultKind::StoreLapse => {
                self.entries_lapse_while_away = true;
                self.disturb_store(StoreMode::Refuses, until);
            }
            FaultKind::StoreForgets => {
                self.store.compact_history();
                self.store_disturbed_at = self.store_disturbed_at.max(self.now);
            }
            FaultKind::StoreRestored(_) => self.disturb_store(StoreMode::Refuses, until),
            FaultKind::StoreLoses => {
                self.store.loses_answers = true;
                self.store_disturbed_at = self.store_disturbed_at.max(until);
            }
            FaultKind::BackendSilent(pick) => {
                if let Some(instance) = self.choose_backend(pick) {
                    let backend =
                        self.backends.get_mut(&instance).expect("the backend server exists");
                    backend.silent_until = until;
                }
            }
            FaultKind::BackendCrash(pick) => {
                if let Some(instance) = self.choose_backend(pick) {
                    self.end_backend(instance);
                }
            }
            FaultKind::BackendReplaced(pick) => self.replace_backend(pick),
            FaultKind::BackendRestart(pick) => {
                if let Some(instance) = self.choose_backend(pick) {
                    self.end_backend(instance);
                }
            }
            FaultKind::ForeignEntry(pick) => {
                if let Some(instance) = self.choose_backend(pick) {
                    self.store.make_entry_unusable(instance);
                }
            }
            FaultKind::Evacuation(pick) => self.evacuate(pick % self.plan.zones),
            FaultKind::ColdReturn(pick) => self.crash_zone(pick % self.plan.zones),
            FaultKind::AddressReused(pick) => {
                if let Some(instance) = self.choose_backend(pick) {
                    self.end_backend(instance);
                    self.backends
                        .get_mut(&instance)
                        .expect("the backend server exists")
                        .address_free_at = until;
                }
            }
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let kind = self.faults[number].kind;
        if self.trace.faults {
            println!("{} ms: {kind:?} ends", self.now);
        }
        let balancers = self.plan.balancers;

        match kind {
            FaultKind::Restart(pick) => self.start_if_down(pick % balancers),
            FaultKind::Leave(balancer) => self.end_leave(balancer),
            FaultKind::Join(_) => self.refresh_seeds(),
            FaultKind::Herd => (0..balancers).for_each(|balancer| self.start_if_down(balancer)),
            FaultKind::StoreCut(pick) => {
                self.balancers[pick % balancers].is_cut_from_store = false;
            }
            FaultKind::PeerCut { balancer, is_deaf } => {
                let node = &mut self.balancers[balancer % balancers];
                if is_deaf { node.is_inbound_cut = false } else { node.is_outbound_cut = false }
            }
            FaultKind::UplinkLoss(pick) => self.balancers[pick % balancers].is_uplink_cut = false,
            FaultKind::ZoneCut(pick) => {
                let zone = pick % self.plan.zones;
                self.cut_zones[zone] = false;
            }
            FaultKind::StoreRefuses | FaultKind::StoreSilent => {
                self.store.mode = StoreMode::Answers;
            }
            FaultKind::StoreLapse => {
                self.store.mode = StoreMode::Answers;
                self.entries_lapse_while_away = false;
            }
            FaultKind::StoreRestored(depth) => self.restore_store(number, depth),
            FaultKind::StoreLoses => self.store.loses_answers = false,
            FaultKind::BackendReplaced(_) => self.end_drained(),
            FaultKind::AddressReused(_) => self.reuse_addresses(),
            FaultKind::BackendRestart(pick) => self.restart_crashed_backend(pick),
            FaultKind::Evacuation(pick) => self.end_evacuation(number, pick % self.plan.zones),
            FaultKind::ColdReturn(pick) => self.start_replacements(pick % self.plan.zones),
            _ => {}
        }
    }

    /// Writes the operator's configuration, unless the store is unavailable and would not accept
    /// it.
    fn write_configuration_if_possible(&mut self) {
        if self.store.mode == StoreMode::Answers {
            self.write_configuration();
        }
    }

    fn stop_balancer(&mut self, balancer: usize, until: Millis) {
        let node = &mut self.balancers[balancer];
        if !node.is_member {
            return;
        }

        node.policy = None;
        node.disturb(until);
    }

    fn start_if_down(&mut self, balancer: usize) {
        let node = &self.balancers[balancer];
        if node.is_member && node.policy.is_none() {
            self.start_balancer(balancer);
        }
    }

    /// Overwrites the entry of a backend server with one that has a broken field.
    fn break_entry(&mut self, broken: BrokenEntry) {
        let Some(instance) = self.choose_backend(broken.backend) else { return };
        let Some(entry) = self.store.entries.get(&instance) else { return };

        let change = broken.as_read(entry);
        if self.mutation == Some(Mutation::DeleteBrokenEntries) {
            self.store.delete_entry(instance, self.now);
        } else {
            self.store.overwrite_entry(instance, change);
        }
    }

    fn cut_zone(&mut self, zone: usize, until: Millis) {
        if self.plan.zones == 1 {
            return;
        }

        self.cut_zones[zone] = true;
        self.zone_cut_until[zone] = self.zone_cut_until[zone].max(until);
        for balancer in 0..self.plan.balancers {
            if self.plan.zone_of(balancer) == zone {
                let node = &mut self.balancers[balancer];
                node.disturb(until);
            }
        }
    }

    /// Writes the operator's request for an evacuation, unless the store is unavailable or the
    /// deployment has no evacuations.
    fn evacuate(&mut self, zone: usize) {
        if self.store.mode == StoreMode::Answers && self.plan.places.is_some() {
            self.wanted_evacuations[zone] = true;
            self.store.set_evacuated(ZONES[zone], true);
            self.evacuated_since[zone].get_or_insert(self.now);
        }
    }

    /// Ends the evacuation of a zone, as soon as the store answers.
    fn end_evacuation(&mut self, fault: usize, zone: usize) {
        if self.store.mode == StoreMode::Answers {
            self.wanted_evacuations[zone] = false;
            self.store.set_evacuated(ZONES[zone], false);
            self.evacuated_since[zone] = None;
        } else {
            self.queue.add(self.now + 200, Event::FaultEnds(fault));
        }
    }

    /// Crashes all backend servers of a zone. Does nothing if there is no other zone, or if the
    /// deployment has no cold starts.
    fn crash_zone(&mut self, zone: usize) {
        if self.plan.zones == 1 || self.plan.places.is_none() {
            return;
        }

        let up = self.backends.values().filter(|b| b.zone == zone && !b.has_ended);
        let up: Vec<_> = up.map(|backend| backend.instance).collect();
        for instance in up {
            self.end_backend(instance);
            self.backends
                .get_mut(&instance)
                .expect("the backend server exists")
                .returns_with_zone = true;
        }
    }

    /// Starts replacements of the backend servers that crashed together with their zone.
    fn start_replacements(&mut self, zone: usize) {
        let mut services = Vec::new();
        for backend in self.backends.values_mut().filter(|backend| backend.zone == zone) {
            if std::mem::take(&mut backend.returns_with_zone) {
                services.push(backend.service);
            }
        }

        for service in services {
            self.add_backend(service, zone, None);
        }
    }

    /// Restores the store from a backup that lacks its last changes.
    fn restore_store(&mut self, fault: usize, depth: RestoreDepth) {
        let revision = match depth {
            RestoreDepth::Changes(count) => self.store.revision.saturating_sub(count),
            RestoreDepth::Age(age) => {
                let away_from = self.faults[fault].at;
                self.store.revision_at(away_from.saturating_sub(age))
            }
        };
        if self.trace.faults {
            println!(
                "{} ms: store restored from revision {} to {revision}",
                self.now, self.store.revision
            );
        }

        self.store.restore(revision, self.now);
        self.store.mode = StoreMode::Answers;
        self.store_disturbed_at = self.store_disturbed_at.max(self.now);
        self.reset_lost_writes();
        let later =
            u64::try_from(self.draw.below(OPERATOR_WRITES_WITHIN)).expect("the number fits");
        self.queue.add(self.now + later, Event::OperatorRewrites);
    }

    /// Resets what the oracles take as stored, after a restore: the bounds of lost writes count
    /// from when they are written again, and the lapse time of entries counts from the restore.
    fn reset_lost_writes(&mut self) {
        let version = self.store.routes.version;
        self.acknowledged.retain(|(acknowledged, _)| *acknowledged <= version);
        for (zone, since) in self.evacuated_since.iter_mut().enumerate() {
            *since = since.filter(|_| self.store.evacuated.contains(ZONES[zone]));
        }

        for backend in self.backends.values_mut() {
            let later =
                u64::try_from(self.draw.below(BACKENDS_WRITE_WITHIN)).expect("the number fits");
            backend.last_written_at = if backend.has_ended { self.now } else { self.now + later };
            let kept = self.store.entries.get(&backend.instance);
            backend.entry_stored_at = backend.entry_stored_at.filter(|_| kept.is_some());
            let drains = kept.is_some_and(|entry| entry.phase == BackendPhase::Draining);
            backend.drain_stored_at = backend.drain_stored_at.filter(|_| drains);
        }
    }

    /// Writes the operator's newest configuration and evacuations again where the store has lost
    /// them.
    pub(super) fn rewrite_lost_state(&mut self) {
        if self.store.mode != StoreMode::Answers {
            self.queue.add(self.now + 200, Event::OperatorRewrites);
            return;
        }

        if self.newest_routes.version > self.store.routes.version {
            let routes = self.newest_routes.clone();
            self.acknowledged.push((routes.version, self.now));
            self.store.put_routes(routes);
        }
        for (zone, name) in ZONES.iter().enumerate().take(self.plan.zones) {
            let is_wanted = self.wanted_evacuations[zone];
            if self.store.evacuated.contains(*name) != is_wanted {
                self.store.set_evacuated(name, is_wanted);
                self.evacuated_since[zone] = is_wanted.then_some(self.now);
            }
        }
    }

    fn disturb_store(&mut self, mode: StoreMode, until: Millis) {
        self.store.mode = mode;
        self.store_disturbed_at = self.store_disturbed_at.max(until);
    }

    /// Returns a backend server that accepts flows, unless it is the last one of its service.
    fn choose_backend(&self, pick: usize) -> Option<InstanceId> {
        let is_up = |instance: &InstanceId| {
            let backend = &self.backends[instance];
            !backend.has_ended && !backend.is_silent(self.now) && backend.draining_since.is_none()
        };
        let up: Vec<_> = self.backends.keys().copied().filter(is_up).collect();
        let chosen = *up.get(pick % up.len().max(1))?;
        let service = self.backends[&chosen].service;
        let others = up.iter().filter(|other| self.backends[*other].service == service).count();

        (others > 1).then_some(chosen)
    }

    fn end_backend(&mut self, instance: InstanceId) {
        let backend = self.backends.get_mut(&instance).expect("the backend server exists");

        backend.has_ended = true;
        backend.flows.clear();
    }

    /// Starts a new backend server, and lets another one drain.
    fn replace_backend(&mut self, pick: usize) {
        let Some(instance) = self.choose_backend(pick) else { return };
        let (service, zone) = (self.backends[&instance].service, self.backends[&instance].zone);
        if !self.can_reach_store(zone) {
            return;
        }

        self.add_backend(service, zone, None);
        let now = self.now;
        let backend = self.backends.get_mut(&instance).expect("the backend server exists");
        backend.draining_since = Some(now);
        backend.drain_stored_at = Some(now);
        let entry = backend.entry(self.base);
        self.store.put_entry(entry, self.now);
    }

    /// Ends the backend servers that have drained for long enough, and deletes their entries if the
    /// store is reachable.
    fn end_drained(&mut self) {
        let is_over = |since: Option<Millis>| since.is_some_and(|at| at + DRAIN_MS <= self.now);
        let over = self.backends.values().filter(|b| !b.has_ended && is_over(b.draining_since));
        let over: Vec<_> = over.map(|backend| (backend.instance, backend.zone)).collect();

        for (instance, zone) in over {
            self.end_backend(instance);
            if self.can_reach_store(zone) {
                self.store.delete_entry(instance, self.now);
            }
        }
    }

    /// Starts backend servers of the other service at the addresses that are due for reuse.
    fn reuse_addresses(&mut self) {
        let is_due = |at: Millis| at > 0 && at <= self.now;
        let due = self.backends.values().filter(|b| b.has_ended && is_due(b.address_free_at));
        let due: Vec<_> = due.map(|b| (b.instance, b.service, b.zone, b.address)).collect();

        for (instance, service, zone, address) in due {
            // A new incarnation may have started there meanwhile, and an address has only one
            // process.
            if self.is_in_use(address) {
                continue;
            }
            self.backends.get_mut(&instance).expect("the backend server exists").address_free_at =
                0;
            self.add_backend(1 - service, zone, Some(address));
        }
    }

    fn is_in_use(&self, address: SocketAddrV4) -> bool {
        self.backends.values().any(|backend| !backend.has_ended && backend.address == address)
    }

    /// Starts the next incarnation of a crashed backend server whose address is not in use.
    fn restart_crashed_backend(&mut self, pick: usize) {
        let has_crashed = |backend: &&Backend| {
            backend.has_ended
                && backend.draining_since.is_none()
                && backend.successor.is_none()
                && !self.is_in_use(backend.address)
        };
        let crashed = self.backends.values().filter(has_crashed);
        let crashed: Vec<_> = crashed.map(|backend| backend.instance).collect();
        let Some(former) = crashed.get(pick % crashed.len().max(1)).copied() else { return };

        let cold_until = self.cold_until();
        let successor = next_incarnation(former);
        let old = self.backends.get_mut(&former).expect("the backend server exists");
        old.successor = Some(successor);
        old.address_free_at = 0;
        let mut backend = Backend::new(successor, old.service, old.zone, old.address);
        backend.last_written_at = self.now;
        backend.cold_until = cold_until;
        if self.can_reach_store(backend.zone) {
            backend.entry_stored_at = Some(self.now);
            self.store.put_entry(backend.entry(self.base), self.now);
        }
        self.backends.insert(successor, backend);
    }

    pub(super) fn record_violation(&mut self, oracle: Oracle, what: String) {
        let at = self.now;

        self.violations.push(crate::oracles::Violation { oracle, at, what });
    }
}
