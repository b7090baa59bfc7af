//! Effects of each kind of fault on the site.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::{BalancerDuty, LaterStep, SoakRun, TURN};
use crate::backend_manner::BackendManner;
use crate::backend_servers::BackendCommand;
use crate::errors::{SoakError, at};
use crate::fault_kind::FaultKind;
use crate::fault_plan::PlannedFault;
use crate::link_table::{LinkEffect, LinkEnds, LinkFault};
use crate::site_plan::{SitePlan, ZONES};
use crate::site_truth::ZoneFact;
use crate::soak_options::Sabotage;
use crate::store_relay::StoreLinkState;

/// Time after a backend server falls silent at which its entry expires from the store.
const LAPSE_AFTER: Duration = Duration::from_millis(2_300);

/// Time for which a draining backend server continues to serve.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time after a backend server's end during which its address is not assigned to another one.
const REUSE_AFTER: Duration = Duration::from_secs(2);

/// Addition to a fault's duration for evacuations, so that they outlast the bound within which a
/// zone must stop getting new flows.
const EVACUATED_FOR: Duration = Duration::from_secs(5);

/// Number of configurations in a storm.
const STORM_LENGTH: u32 = 6;

/// Time between two configurations of a storm.
const STORM_GAP: Duration = Duration::from_millis(330);

impl SoakRun {
    pub(super) fn begin(&mut self, fault: &PlannedFault) -> Result<(), SoakError> {
        let now = Instant::now();
        let until = now + fault.lasts;
        let number = fault.target % self.site.plan.balancers;
        let zone = fault.target % ZONES;
        *self.counts.entry(fault.kind).or_default() += 1;
        self.note(format!(
            "{:?} for {} ms, target {}",
            fault.kind,
            fault.lasts.as_millis(),
            fault.target % 1_000
        ));

        match fault.kind {
            FaultKind::BalancerKill => self.kill(number, until)?,
            FaultKind::HerdKill => {
                for number in (0..self.site.plan.balancers).filter(|n| n % ZONES != zone) {
                    self.kill(number, until)?;
                }
            }
            FaultKind::BalancerStop => self.stop(number, until)?,
            FaultKind::BalancerPause => {
                self.truth.disturb_balancer(number, until, false);
                self.signal(number, Signal::SIGSTOP)?;
                self.later.push((until, LaterStep::ContinueBalancer(number)));
            }
            FaultKind::BalancerReload => self.reload(number, fault.target)?,
            FaultKind::ZoneCut => self.cut_zone(LinkEnds::ZoneBorder(zone), zone, until),
            FaultKind::ZoneOneWay => self.cut_zone(LinkEnds::OutOfZone(zone), zone, until),
            FaultKind::BalancerCut => {
                self.truth.disturb_balancer(number, until, false);
                self.add_link_fault(LinkEnds::Balancer(number), LinkEffect::Cut, until);
            }
            FaultKind::Loss => self.harm_links(LinkEffect::Loss(0.1), until),
            FaultKind::Delay => {
                self.harm_links(LinkEffect::Delay(Duration::from_millis(60)), until);
            }
            FaultKind::StoreDown => self.store_down(fault, until),
            FaultKind::StoreSlow | FaultKind::StoreLag => {
                self.truth.disturb_store(until);
                self.store_faults.push((until, fault.kind));
            }
            FaultKind::StoreForgets => {
                self.truth.disturb_store(now);
                self.site.store.forget_history();
            }
            FaultKind::StoreLinkSilent => self.break_relay(number, StoreLinkState::Silent, until),
            FaultKind::StoreLinkReset => {
                self.break_relay(number, StoreLinkState::Resetting, until);
            }
            FaultKind::StoreRefusesOne => {
                self.break_relay(number, StoreLinkState::Refusing, until);
            }
            FaultKind::StoreLinkOneWay => {
                self.break_relay(number, StoreLinkState::AnswersLost, until);
            }
            FaultKind::StoreLinksSilent => {
                for number in 0..self.site.plan.balancers {
                    self.break_relay(number, StoreLinkState::Silent, until);
                }
            }
            FaultKind::BackendCrash => self.crash_backend(fault.target, until),
            FaultKind::BackendReplace => self.replace_backend(fault.target, now),
            FaultKind::BackendFails => {
                self.change_manner(fault.target, BackendManner::Failing, until);
            }
            FaultKind::BackendSlow => {
                self.change_manner(fault.target, BackendManner::Slow, until);
            }
            FaultKind::BackendUnlisted => self.unlist_backend(fault.target, until),
            FaultKind::Evacuation => self.evacuate(zone, until),
            FaultKind::Configuration => self.write_configuration(),
            FaultKind::ConfigurationStorm => {
                for step in 0..STORM_LENGTH {
                    self.later.push((now + STORM_GAP * step, LaterStep::WriteConfiguration));
                }
            }
        }
        Ok(())
    }

    fn kill(&mut self, number: usize, until: Instant) -> Result<(), SoakError> {
        if !self.site.balancers[number].is_running() {
            return Ok(());
        }

        self.truth.disturb_balancer(number, until, false);
        self.signal(number, Signal::SIGKILL)?;
        if self.options.sabotage != Some(Sabotage::EndUnseen) {
            self.duties[number] = BalancerDuty::Killed;
        }
        if self.options.sabotage != Some(Sabotage::LeaveDead) {
            let step = LaterStep::StartBalancer { number, planned: false };
            self.later.push((until, step));
        }
        Ok(())
    }

    fn stop(&mut self, number: usize, until: Instant) -> Result<(), SoakError> {
        if self.duties[number] != BalancerDuty::Run {
            return Ok(());
        }

        self.truth.disturb_balancer(number, until, true);
        self.duties[number] = BalancerDuty::Stopping;
        self.signal(number, Signal::SIGTERM)
    }

    fn reload(&mut self, number: usize, turn: usize) -> Result<(), SoakError> {
        let store = self.site.relays[number].address();
        let settings = self.site.settings(number, turn % self.site.plan.balancers, store);

        self.site.balancers[number].replace_settings(&settings).map_err(at("write settings"))?;
        self.signal(number, Signal::SIGHUP)
    }

    fn add_link_fault(&self, ends: LinkEnds, effect: LinkEffect, until: Instant) {
        self.site.links.add(LinkFault { ends, effect, until });
    }

    fn cut_zone(&mut self, ends: LinkEnds, zone: usize, until: Instant) {
        self.add_link_fault(ends, LinkEffect::Cut, until);

        for number in (0..self.site.plan.balancers).filter(|n| SitePlan::zone_of(*n) == zone) {
            self.truth.disturb_balancer(number, until, false);
        }
        for place in (0..self.options.backends).filter(|place| SitePlan::zone_of(*place) == zone) {
            self.truth.disturb_backend(self.places.get(place).instance, until);
        }
    }

    fn harm_links(&mut self, effect: LinkEffect, until: Instant) {
        self.add_link_fault(LinkEnds::Everywhere, effect, until);

        self.truth.disturb_balancers(until);
    }

    fn break_relay(&mut self, number: usize, state: StoreLinkState, until: Instant) {
        self.site.relays[number].set(state);

        self.truth.disturb_balancer(number, until, false);
        self.later.push((until, LaterStep::ReopenRelay(number)));
    }

    /// Takes the store down. In a long outage, entries of some backend servers expire although
    /// these keep running; the entries are written again less than two seconds after its end.
    fn store_down(&mut self, fault: &PlannedFault, until: Instant) {
        const BACK_AFTER: Duration = Duration::from_millis(1_200);
        let now = Instant::now();
        self.truth.disturb_store(until);
        self.store_faults.push((until, fault.kind));
        if fault.lasts <= LAPSE_AFTER {
            return;
        }

        for step in 0..self.options.backends / 3 {
            let Some(place) = self.places.idle_place(fault.target.wrapping_add(step), now) else {
                return;
            };
            self.places.occupy(place, until + BACK_AFTER);
            self.later.push((now + LAPSE_AFTER, LaterStep::DeleteEntry { place }));
            self.later.push((until + BACK_AFTER, LaterStep::ListAgain { place }));
        }
    }

    fn crash_backend(&mut self, target: usize, until: Instant) {
        let now = Instant::now();
        let Some(place) = self.places.idle_place(target, now) else { return };
        let deleted_at = now + LAPSE_AFTER;
        let starts_at = until.max(deleted_at) + REUSE_AFTER;
        let service = self.places.get(place).service;
        self.places.occupy(place, starts_at + TURN);

        // Until its entry expires, the backend server's silence is the only sign of its crash.
        self.end_backend(place, now);
        self.later.push((deleted_at, LaterStep::DeleteEntry { place }));
        self.later.push((starts_at, LaterStep::StartBackend { place, service }));
    }

    fn replace_backend(&mut self, target: usize, now: Instant) {
        let Some(place) = self.places.idle_place(target, now) else { return };
        let ends_at = now + DRAIN_TIME;
        let starts_at = ends_at + REUSE_AFTER;
        let service = self.places.service_after(place);
        self.places.occupy(place, starts_at + TURN);

        if self.options.sabotage != Some(Sabotage::HideBackends) {
            self.write_entry(place, true);
        }
        if let Some(fact) = self.truth.backends.get_mut(&self.places.get(place).instance) {
            fact.draining_at = Some(Instant::now());
        }
        self.later.push((ends_at, LaterStep::EndBackend { place }));
        self.later.push((starts_at, LaterStep::StartBackend { place, service }));
    }

    fn change_manner(&mut self, target: usize, manner: BackendManner, until: Instant) {
        let Some(place) = self.disturb_backend(target, until) else { return };

        self.command(BackendCommand::Behave(place, manner));
        self.later.push((until, LaterStep::BehaveAgain { place }));
    }

    /// Evacuates a zone as the operator does, unless an evacuation is already in force.
    fn evacuate(&mut self, zone: usize, until: Instant) {
        if self.truth.evacuations.last().is_some_and(|fact| fact.taken_back_at.is_none()) {
            return;
        }

        self.site.store.evacuate(zone);
        let asked_at = Instant::now();
        self.truth.evacuations.push(ZoneFact { zone, asked_at, taken_back_at: None });
        self.later.push((until + EVACUATED_FOR, LaterStep::TakeBack { zone }));
    }

    pub(super) fn take_back(&mut self, zone: usize) {
        if let Some(fact) = self.truth.evacuations.last_mut() {
            fact.taken_back_at = Some(Instant::now());
        }
        self.site.store.take_back(zone);
    }

    /// Deletes the entry of a running backend server until a time. Balancers then treat the backend
    /// server as stopped and may end its flows.
    fn unlist_backend(&mut self, target: usize, until: Instant) {
        let Some(place) = self.disturb_backend(target, until) else { return };

        self.delete_entry(place);
        self.later.push((until, LaterStep::ListAgain { place }));
    }

    /// Marks an idle backend server as disturbed and its place as busy until a time. Returns the
    /// place, or `None` if no backend server is idle.
    fn disturb_backend(&mut self, target: usize, until: Instant) -> Option<usize> {
        let place = self.places.idle_place(target, Instant::now())?;

        self.places.occupy(place, until + TURN);
        self.truth.disturb_backend(self.places.get(place).instance, until);
        Some(place)
    }
}
