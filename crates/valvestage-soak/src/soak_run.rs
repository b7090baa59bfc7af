//! One run: faults as planned, a recovery phase without faults, and the report.

mod fault_effects;
mod site_changes;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use valvestage_core::ids::ConfigurationVersion;
use valvestage_standins::platform::Faults;
use valvestage_standins::seeded_rng::SeededRng;

use crate::backend_behaviour::BackendBehaviour;
use crate::backend_places::BackendPlaces;
use crate::backend_servers::BackendCommand;
use crate::caller_load::USUAL_LOAD_PERCENT;
use crate::errors::{SoakError, failed_to};
use crate::fault_kind::FaultKind;
use crate::fault_plan::{PlannedFault, plan};
use crate::ground_truth::GroundTruth;
use crate::observation::{StallDetector, receive_until};
use crate::promise::{Promise, RECOVERY_WITHIN};
use crate::promise_checker::PromiseChecker;
use crate::soak_options::SoakOptions;
use crate::soak_report::{SoakEvent, SoakReport};
use crate::soak_site::SoakSite;
use crate::store_relay::StoreLinkState;

/// Time between two iterations of the run's loop.
const LOOP_INTERVAL: Duration = Duration::from_millis(10);

/// Undisturbed time before the first fault, long enough that all promises apply when it begins.
const CALM_BEFORE: Duration = Duration::from_secs(5);

/// Generous estimate of the time from the start of a process to its readiness.
const START_TIME: Duration = Duration::from_secs(1);

/// Pause between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Number of requests that decides whether callers are served again after the faults.
const RECOVERY_SAMPLE: u64 = 100;

/// Share of these requests that has to be answered.
const RECOVERY_SHARE: f64 = 0.9;

/// Longest wait for recovery in runs that do not check time bounds.
const UNTIMED_RECOVERY_LIMIT: Duration = Duration::from_secs(60);

/// State that the run has put a balancer into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BalancerState {
    /// The balancer runs and must not exit.
    Run,
    /// The run has killed the balancer.
    Killed,
    /// The run has sent SIGTERM to the balancer.
    Stopping,
}

/// Action of a timer of the run, such as the end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TimerAction {
    StartBalancer { number: usize, planned: bool },
    ResumeBalancer(usize),
    ReopenRelay(usize),
    DeleteEntry { place: usize },
    RestoreEntry { place: usize },
    StopBackend { place: usize },
    StartBackend { place: usize, service: &'static str },
    RestoreBehaviour { place: usize },
    WriteConfiguration,
    EndEvacuation { zone: usize },
    EndOverload,
}

/// State of one run: the site, its ground truth, the checker and the timers.
pub struct SoakRun {
    options: SoakOptions,
    site: SoakSite,
    /// Detects stalls of this thread, which delay its timers.
    stalls: StallDetector,
    truth: GroundTruth,
    checker: PromiseChecker,
    places: BackendPlaces,
    balancer_states: Vec<BalancerState>,
    timers: Vec<(Instant, TimerAction)>,
    /// Active faults of the store, with the time at which each ends.
    store_faults: Vec<(Instant, FaultKind)>,
    rng: SeededRng,
    version: ConfigurationVersion,
    configurations: u32,
    faults_began: Instant,
    events: Vec<SoakEvent>,
    counts: BTreeMap<FaultKind, u32>,
}

/// Runs one seed from start to recovery. Returns the report, or an error if the run could not
/// complete.
pub fn run(options: SoakOptions) -> Result<SoakReport, SoakError> {
    let mut run = SoakRun::start(options)?;

    let faults = plan(run.options.seed, run.options.faults_for, &run.options.kinds);
    run.inject_faults(&faults)?;
    run.await_recovery()?;
    Ok(run.report(&faults))
}

impl SoakRun {
    fn start(options: SoakOptions) -> Result<Self, SoakError> {
        let now = Instant::now();
        let site = SoakSite::start(&options)?;
        let mut run = Self {
            truth: GroundTruth::new(options.balancers, now),
            checker: PromiseChecker::new(options.timed, now),
            places: BackendPlaces::new(options.backends, options.seed, now),
            balancer_states: vec![BalancerState::Run; options.balancers],
            timers: Vec::new(),
            store_faults: Vec::new(),
            rng: SeededRng::new(!options.seed),
            version: 0,
            configurations: 0,
            stalls: site.stall_detector(),
            faults_began: now,
            events: Vec::new(),
            counts: BTreeMap::new(),
            site,
            options,
        };

        run.write_configuration();
        for place in 0..run.options.backends {
            run.register_backend(place);
        }
        run.site.start_balancers()?;
        run.truth.disturb_balancers(Instant::now());
        run.site.start_callers(&run.options)?;
        // Starting the processes takes longer than a stall, so detection begins anew.
        run.stalls = run.site.stall_detector();
        Ok(run)
    }

    /// Begins each fault at its planned time, and waits for the end of the fault phase.
    fn inject_faults(&mut self, faults: &[PlannedFault]) -> Result<(), SoakError> {
        self.iterate_until(Instant::now() + CALM_BEFORE)?;
        self.faults_began = Instant::now();
        self.checker.start_fault_phase(self.faults_began);

        for fault in faults {
            self.iterate_until(self.faults_began + fault.at)?;
            self.begin_fault(fault)?;
        }
        self.iterate_until(self.faults_began + self.options.faults_for)
    }

    /// Waits until all faults have ended, then checks that callers are served again.
    fn await_recovery(&mut self) -> Result<(), SoakError> {
        self.record_event("calm".to_owned());
        while !self.timers.is_empty() || !self.store_faults.is_empty() {
            self.iterate()?;
        }
        let limit = if self.options.timed { RECOVERY_WITHIN } else { UNTIMED_RECOVERY_LIMIT };
        let give_up = Instant::now() + limit;

        let mut is_served = false;
        while !is_served && Instant::now() < give_up {
            self.checker.reset_recent(Instant::now());
            while self.checker.recent_count() < RECOVERY_SAMPLE && Instant::now() < give_up {
                self.iterate()?;
            }
            is_served = self.checker.recent_share() >= RECOVERY_SHARE;
        }
        self.check_all_restarted(give_up)?;
        self.checker.check_urgent_first();
        let tally = self.checker.recent();
        self.checker.check(Promise::Recovery, is_served, Instant::now(), || {
            format!("{tally:?} of the last requests")
        });
        Ok(())
    }

    /// Checks that every balancer that got SIGKILL or SIGTERM has exited and runs again.
    fn check_all_restarted(&mut self, give_up: Instant) -> Result<(), SoakError> {
        let all_running =
            |run: &Self| run.balancer_states.iter().all(|state| *state == BalancerState::Run);
        while !all_running(self) && Instant::now() < give_up {
            self.iterate()?;
        }

        let is_kept = all_running(self);
        let balancer_states = self.balancer_states.clone();
        self.checker.check(Promise::NoOwnEnd, is_kept, Instant::now(), || {
            format!("not all balancers run again: {balancer_states:?}")
        });
        Ok(())
    }

    fn report(self, faults: &[PlannedFault]) -> SoakReport {
        SoakReport {
            seed: self.options.seed,
            balancers: self.options.balancers,
            starts: self.site.balancers.iter().map(|balancer| balancer.starts()).sum(),
            overlap: overlap(faults),
            faults: self.counts,
            results: self.checker.results().clone(),
            events: self.events,
        }
    }

    fn iterate_until(&mut self, until: Instant) -> Result<(), SoakError> {
        while Instant::now() < until {
            self.iterate()?;
        }
        Ok(())
    }

    /// Processes observations for one interval, then executes the actions of expired timers.
    fn iterate(&mut self) -> Result<(), SoakError> {
        if self.options.stop.load(Ordering::Relaxed) {
            return Err(SoakError::Stopped);
        }
        let until = Instant::now() + LOOP_INTERVAL;
        receive_until(&self.site.observations, until, |observation| {
            self.checker.observe(&mut self.truth, observation);
        });

        let now = self.stalls.tick();
        self.apply_store_faults(now);
        let (due, pending) =
            std::mem::take(&mut self.timers).into_iter().partition(|(at, _)| *at <= now);
        self.timers = pending;
        let due: Vec<(Instant, TimerAction)> = due;
        for (_, action) in due {
            self.execute_action(action)?;
        }
        self.reap_balancers(now)
    }

    fn record_event(&mut self, text: String) {
        let at_s = Instant::now().saturating_duration_since(self.faults_began).as_secs_f64();

        self.events.push(SoakEvent { at_s, text });
    }

    fn execute_action(&mut self, action: TimerAction) -> Result<(), SoakError> {
        let now = Instant::now();

        match action {
            TimerAction::StartBalancer { number, planned } => {
                if !self.site.balancers[number].is_running() {
                    self.site.balancers[number].start().map_err(failed_to("start a balancer"))?;
                    self.balancer_states[number] = BalancerState::Run;
                    self.truth.balancers[number].restarts += 1;
                    self.truth.disturb_balancer(number, now + START_TIME, planned);
                }
            }
            TimerAction::ResumeBalancer(number) => self.signal(number, Signal::SIGCONT)?,
            TimerAction::ReopenRelay(number) => self.site.relays[number].set(StoreLinkState::Open),
            TimerAction::DeleteEntry { place } => self.delete_entry(place),
            TimerAction::RestoreEntry { place } => self.write_entry(place, false),
            TimerAction::StopBackend { place } => {
                self.stop_backend(place, now);
                self.delete_entry(place);
            }
            TimerAction::StartBackend { place, service } => {
                self.places.replace(place, service);
                self.register_backend(place);
            }
            TimerAction::RestoreBehaviour { place } => {
                self.send_command(BackendCommand::SetBehaviour(place, BackendBehaviour::Normal));
            }
            TimerAction::WriteConfiguration => self.write_configuration(),
            TimerAction::EndEvacuation { zone } => self.end_evacuation(zone),
            TimerAction::EndOverload => {
                self.site.load_percent.store(USUAL_LOAD_PERCENT, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn reap_balancers(&mut self, now: Instant) -> Result<(), SoakError> {
        for number in 0..self.site.balancers.len() {
            let exit = self.site.balancers[number]
                .poll_exit()
                .map_err(failed_to("wait for a balancer"))?;
            let Some(status) = exit else { continue };
            let planned = self.balancer_states[number] == BalancerState::Stopping;
            let is_expected = match self.balancer_states[number] {
                BalancerState::Run => false,
                BalancerState::Killed => true,
                // SIGTERM ends a process that has not installed its handler yet, which is no fault.
                BalancerState::Stopping => {
                    status.success() || now < self.site.balancers[number].last_start() + START_TIME
                }
            };

            self.checker.check(Promise::NoOwnEnd, is_expected, now, || {
                format!("balancer {number} exited: {status}")
            });
            if self.balancer_states[number] != BalancerState::Killed {
                let action = TimerAction::StartBalancer { number, planned };
                self.timers.push((now + RESTART_DELAY, action));
            }
        }
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) -> Result<(), SoakError> {
        self.site.balancers[number].signal(signal).map_err(failed_to("signal a balancer"))
    }

    /// Sends a command to the backend servers' thread. If that thread has ended, only logs it: the
    /// command would come too late in any case.
    fn send_command(&self, command: BackendCommand) {
        if self.site.commands.send(command).is_err() {
            log::error!("command dropped: the thread of the backend servers has ended");
        }
    }

    /// Removes expired faults of the store, and applies the remaining ones together.
    fn apply_store_faults(&mut self, now: Instant) {
        const SLOW_MS: u64 = 300;
        const LAG: u64 = 3;
        self.store_faults.retain(|(until, _)| *until > now);
        let lasts = |kind| self.store_faults.iter().any(|(_, other)| *other == kind);

        self.site.store.set_faults(Faults {
            down: lasts(FaultKind::StoreDown),
            delay_ms: if lasts(FaultKind::StoreSlow) { SLOW_MS } else { 0 },
            watch_lag: if lasts(FaultKind::StoreLag) { LAG } else { 0 },
            ..Faults::default()
        });
    }
}

/// Returns the largest number of faults that are active at the same time.
fn overlap(faults: &[PlannedFault]) -> usize {
    let lasting = |at: Duration| {
        faults.iter().filter(|fault| fault.at <= at && at < fault.at + fault.lasts).count()
    };

    faults.iter().map(|fault| lasting(fault.at)).max().unwrap_or(0)
}
