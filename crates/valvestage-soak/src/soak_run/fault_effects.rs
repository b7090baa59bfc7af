//! Effects of each kind of fault on the site.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::{BalancerState, LOOP_INTERVAL, SoakRun, TimerAction};
use crate::backend_behaviour::BackendBehaviour;
use crate::backend_servers::BackendCommand;
use crate::errors::{SoakError, failed_to};
use crate::fault_kind::FaultKind;
use crate::fault_plan::PlannedFault;
use crate::ground_truth::EvacuationRecord;
use crate::link_table::{LinkEffect, LinkFault, LinkScope};
use crate::site_plan::{SERVICES, SitePlan, ZONES};
use crate::soak_options::InjectedDefect;
use crate::store_relay::StoreLinkState;

/// Time after a backend server falls silent at which its entry lapses in the store.
const ENTRY_EXPIRY: Duration = Duration::from_millis(2_300);

/// Time for which a draining backend server continues to serve.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time after a backend server's end during which its address is not assigned to another one.
const REUSE_DELAY: Duration = Duration::from_secs(2);

/// Addition to a fault's duration for evacuations, so that they outlast the bound within which a
/// zone must stop getting new flows.
const EXTRA_EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Addition to a fault's duration for overloads, so that most of their time is left when balancers
/// have noticed which backend servers crashed.
const EXTRA_OVERLOAD_TIME: Duration = Duration::from_secs(5);

/// Load during an overload, as a percentage of the usual one.
const OVERLOAD_PERCENT: u32 = 250;

/// Backend servers of the overloaded service that keep running. At the usual load they have about
/// as many slots as requests.
const OVERLOADED_BACKENDS: usize = 2;

/// Number of configurations in a storm.
const STORM_LENGTH: u32 = 6;

/// Time between two configurations of a storm.
const STORM_INTERVAL: Duration = Duration::from_millis(330);

impl SoakRun {
    pub(super) fn begin_fault(&mut self, fault: &PlannedFault) -> Result<(), SoakError> {
        let now = Instant::now();
        let until = now + fault.lasts;
        let number = fault.target % self.site.plan.balancers;
        let zone = fault.target % ZONES;
        *self.counts.entry(fault.kind).or_default() += 1;
        self.record_event(format!(
            "{:?} for {} ms, target {}",
            fault.kind,
            fault.lasts.as_millis(),
            fault.target % 1_000
        ));

        match fault.kind {
            FaultKind::BalancerKill => self.kill_balancer(number, until)?,
            FaultKind::HerdKill => {
                for number in (0..self.site.plan.balancers).filter(|n| n % ZONES != zone) {
                    self.kill_balancer(number, until)?;
                }
            }
            FaultKind::BalancerStop => self.stop_balancer(number, until)?,
            FaultKind::BalancerPause => {
                self.truth.disturb_balancer(number, until, false);
                self.signal(number, Signal::SIGSTOP)?;
                self.timers.push((until, TimerAction::ResumeBalancer(number)));
            }
            FaultKind::BalancerReload => self.reload_balancer(number, fault.target)?,
            FaultKind::ZoneCut => self.cut_zone(LinkScope::ZoneBorder(zone), zone, until),
            FaultKind::ZoneOneWay => self.cut_zone(LinkScope::OutOfZone(zone), zone, until),
            FaultKind::BalancerCut => {
                self.truth.disturb_balancer(number, until, false);
                self.add_link_fault(LinkScope::Balancer(number), LinkEffect::Cut, until);
            }
            FaultKind::Loss => self.add_global_link_fault(LinkEffect::Loss(0.1), until),
            FaultKind::Delay => {
                self.add_global_link_fault(LinkEffect::Delay(Duration::from_millis(60)), until);
            }
            FaultKind::StoreDown => self.take_store_down(fault, until),
            FaultKind::StoreSlow | FaultKind::StoreLag => {
                self.truth.disturb_store(until);
                self.store_faults.push((until, fault.kind));
            }
            FaultKind::StoreForgets => {
                self.truth.disturb_store(now);
                self.site.store.compact_history();
            }
            FaultKind::StoreLinkSilent => self.disrupt_relay(number, StoreLinkState::Silent, until),
            FaultKind::StoreLinkReset => {
                self.disrupt_relay(number, StoreLinkState::Resetting, until);
            }
            FaultKind::StoreRefusesOne => {
                self.disrupt_relay(number, StoreLinkState::Refusing, until);
            }
            FaultKind::StoreLinkOneWay => {
                self.disrupt_relay(number, StoreLinkState::AnswersLost, until);
            }
            FaultKind::StoreLinksSilent => {
                for number in 0..self.site.plan.balancers {
                    self.disrupt_relay(number, StoreLinkState::Silent, until);
                }
            }
            FaultKind::BackendCrash => self.crash_backend(fault.target, until),
            FaultKind::BackendReplace => self.replace_backend(fault.target, now),
            FaultKind::BackendFails => {
                self.change_behaviour(fault.target, BackendBehaviour::Failing, until);
            }
            FaultKind::BackendSlow => {
                self.change_behaviour(fault.target, BackendBehaviour::Slow, until);
            }
            FaultKind::BackendUnlisted => self.unregister_backend(fault.target, until),
            FaultKind::Evacuation => self.evacuate(zone, until),
            FaultKind::Overload => self.overload(fault.target, until + EXTRA_OVERLOAD_TIME),
            FaultKind::Configuration => self.write_configuration(),
            FaultKind::ConfigurationStorm => {
                for step in 0..STORM_LENGTH {
                    self.timers
                        .push((now + STORM_INTERVAL * step, TimerAction::WriteConfiguration));
                }
            }
        }
        Ok(())
    }

    fn kill_balancer(&mut self, number: usize, until: Instant) -> Result<(), SoakError> {
        if !self.site.balancers[number].is_running() {
            return Ok(());
        }

        self.truth.disturb_balancer(number, until, false);
        self.signal(number, Signal::SIGKILL)?;
        if self.options.defect != Some(InjectedDefect::UnrecordedKill) {
            self.balancer_states[number] = BalancerState::Killed;
        }
        if self.options.defect != Some(InjectedDefect::SkipRestarts) {
            let action = TimerAction::StartBalancer { number, planned: false };
            self.timers.push((until, action));
        }
        Ok(())
    }

    fn stop_balancer(&mut self, number: usize, until: Instant) -> Result<(), SoakError> {
        if self.balancer_states[number] != BalancerState::Run {
            return Ok(());
        }

        self.truth.disturb_balancer(number, until, true);
        self.balancer_states[number] = BalancerState::Stopping;
        self.signal(number, Signal::SIGTERM)
    }

    fn reload_balancer(&mut self, number: usize, seed_shift: usize) -> Result<(), SoakError> {
        let store = self.site.relays[number].address();
        let settings = self.site.settings(number, seed_shift % self.site.plan.balancers, store);

        self.site.balancers[number]
            .replace_settings(&settings)
            .map_err(failed_to("write settings"))?;
        self.signal(number, Signal::SIGHUP)
    }

    fn add_link_fault(&self, scope: LinkScope, effect: LinkEffect, until: Instant) {
        self.site.links.add(LinkFault { scope, effect, until });
    }

    fn cut_zone(&mut self, scope: LinkScope, zone: usize, until: Instant) {
        self.add_link_fault(scope, LinkEffect::Cut, until);

        for number in (0..self.site.plan.balancers).filter(|n| SitePlan::zone_of(*n) == zone) {
            self.truth.disturb_balancer(number, until, false);
        }
        for place in (0..self.options.backends).filter(|place| SitePlan::zone_of(*place) == zone) {
            self.truth.disturb_backend(self.places.get(place).instance, until);
        }
    }

    fn add_global_link_fault(&mut self, effect: LinkEffect, until: Instant) {
        self.add_link_fault(LinkScope::Everywhere, effect, until);

        self.truth.disturb_balancers(until);
    }

    fn disrupt_relay(&mut self, number: usize, state: StoreLinkState, until: Instant) {
        self.site.relays[number].set(state);

        self.truth.disturb_balancer(number, until, false);
        self.timers.push((until, TimerAction::ReopenRelay(number)));
    }

    /// Takes the store down. In a long outage, entries of some backend servers lapse although these
    /// keep running; the entries are written again less than two seconds after the end of the
    /// outage.
    fn take_store_down(&mut self, fault: &PlannedFault, until: Instant) {
        const RESTORE_DELAY: Duration = Duration::from_millis(1_200);
        let now = Instant::now();
        self.truth.disturb_store(until);
        self.store_faults.push((until, fault.kind));
        if fault.lasts <= ENTRY_EXPIRY {
            return;
        }

        for step in 0..self.options.backends / 3 {
            let Some(place) = self.places.idle_place(fault.target.wrapping_add(step), now) else {
                return;
            };
            self.places.reserve(place, until + RESTORE_DELAY);
            self.timers.push((now + ENTRY_EXPIRY, TimerAction::DeleteEntry { place }));
            self.timers.push((until + RESTORE_DELAY, TimerAction::RestoreEntry { place }));
        }
    }

    fn crash_backend(&mut self, target: usize, until: Instant) {
        let now = Instant::now();
        let Some(place) = self.places.idle_place(target, now) else { return };
        let deleted_at = now + ENTRY_EXPIRY;
        let starts_at = until.max(deleted_at) + REUSE_DELAY;
        let service = self.places.get(place).service;
        self.places.reserve(place, starts_at + LOOP_INTERVAL);

        // Until its entry lapses, the backend server's silence is the only sign of its crash.
        self.stop_backend(place, now);
        self.timers.push((deleted_at, TimerAction::DeleteEntry { place }));
        self.timers.push((starts_at, TimerAction::StartBackend { place, service }));
    }

    /// Raises the load and crashes all but a few backend servers of the first service, unless an
    /// overload is under way.
    fn overload(&mut self, target: usize, until: Instant) {
        let now = Instant::now();
        if self.truth.is_overloaded(now) {
            return;
        }

        self.truth.overloads.push(now..until);
        for number in 0..self.site.plan.balancers {
            self.truth.disturb_balancer(number, until + ENTRY_EXPIRY, true);
        }
        let places = (0..self.options.backends).map(|step| (target + step) % self.options.backends);
        let of_service: Vec<_> =
            places.filter(|place| self.places.get(*place).service == SERVICES[0]).collect();
        for place in of_service.into_iter().skip(OVERLOADED_BACKENDS) {
            if self.places.get(place).reserved_until <= now {
                self.crash_backend(place, until);
            }
        }
        self.site.load_percent.store(OVERLOAD_PERCENT, Ordering::Relaxed);
        self.timers.push((until, TimerAction::EndOverload));
    }

    fn replace_backend(&mut self, target: usize, now: Instant) {
        let Some(place) = self.places.idle_place(target, now) else { return };
        let ends_at = now + DRAIN_TIME;
        let starts_at = ends_at + REUSE_DELAY;
        let service = self.places.next_service(place);
        self.places.reserve(place, starts_at + LOOP_INTERVAL);

        if self.options.defect != Some(InjectedDefect::WithholdBackendChanges) {
            self.write_entry(place, true);
        }
        if let Some(record) = self.truth.backends.get_mut(&self.places.get(place).instance) {
            record.draining_at = Some(Instant::now());
        }
        self.timers.push((ends_at, TimerAction::StopBackend { place }));
        self.timers.push((starts_at, TimerAction::StartBackend { place, service }));
    }

    fn change_behaviour(&mut self, target: usize, behaviour: BackendBehaviour, until: Instant) {
        let Some(place) = self.disturb_backend(target, until) else { return };

        self.send_command(BackendCommand::SetBehaviour(place, behaviour));
        self.timers.push((until, TimerAction::RestoreBehaviour { place }));
    }

    /// Evacuates a zone as the operator does, unless an evacuation is already in force.
    fn evacuate(&mut self, zone: usize, until: Instant) {
        if self.truth.evacuations.last().is_some_and(|record| record.lifted_at.is_none()) {
            return;
        }

        self.site.store.evacuate(zone);
        let requested_at = Instant::now();
        self.truth.evacuations.push(EvacuationRecord { zone, requested_at, lifted_at: None });
        self.timers.push((until + EXTRA_EVACUATION_TIME, TimerAction::EndEvacuation { zone }));
    }

    pub(super) fn end_evacuation(&mut self, zone: usize) {
        if let Some(record) = self.truth.evacuations.last_mut() {
            record.lifted_at = Some(Instant::now());
        }
        self.site.store.end_evacuation(zone);
    }

    /// Deletes the entry of a running backend server, and writes it again at a time. Balancers then
    /// treat the backend server as stopped and may end its flows.
    fn unregister_backend(&mut self, target: usize, until: Instant) {
        let Some(place) = self.disturb_backend(target, until) else { return };

        self.delete_entry(place);
        self.timers.push((until, TimerAction::RestoreEntry { place }));
    }

    /// Marks a backend server that no fault affects as disturbed, and reserves its place, until a
    /// time. Returns the place, or `None` if all places are reserved.
    fn disturb_backend(&mut self, target: usize, until: Instant) -> Option<usize> {
        let place = self.places.idle_place(target, Instant::now())?;

        self.places.reserve(place, until + LOOP_INTERVAL);
        self.truth.disturb_backend(self.places.get(place).instance, until);
        Some(place)
    }
}
