//! One run: faults as planned, a recovery phase without faults, and the report.

mod fault_effects;
mod site_changes;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use valvestage_core::ids::ConfigurationVersion;
use valvestage_standins::draws::Draws;
use valvestage_standins::platform::Faults;

use crate::backend_manner::BackendManner;
use crate::backend_places::BackendPlaces;
use crate::backend_servers::BackendCommand;
use crate::errors::{SoakError, at};
use crate::fault_kind::FaultKind;
use crate::fault_plan::{PlannedFault, plan};
use crate::observation::{StallWatch, receive_until};
use crate::promise::{Promise, RECOVERY_WITHIN};
use crate::promise_checker::PromiseChecker;
use crate::site_truth::SiteTruth;
use crate::soak_options::SoakOptions;
use crate::soak_report::{SoakEvent, SoakReport};
use crate::soak_site::SoakSite;
use crate::store_relay::StoreLinkState;

/// Time between two iterations of the run's loop.
const TURN: Duration = Duration::from_millis(10);

/// Undisturbed time before the first fault, long enough that all promises apply when it begins.
const CALM_BEFORE: Duration = Duration::from_secs(5);

/// Generous estimate of the time from the start of a process to its readiness.
const START_TIME: Duration = Duration::from_secs(1);

/// Pause between the exit of a process and its restart.
const RESTART_AFTER: Duration = Duration::from_millis(300);

/// Number of requests that decides whether callers are served again after the faults.
const RECOVERY_SAMPLE: u64 = 100;

/// Share of these requests that has to be answered.
const RECOVERY_SHARE: f64 = 0.9;

/// Longest wait for recovery in runs that do not check time bounds.
const RECOVERY_GIVE_UP: Duration = Duration::from_secs(60);

/// State that the run has put a balancer into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BalancerDuty {
    /// The balancer runs and must not exit.
    Run,
    /// The run has killed the balancer.
    Killed,
    /// The run has sent SIGTERM to the balancer.
    Stopping,
}

/// Action scheduled for a later time, such as the end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LaterStep {
    StartBalancer { number: usize, planned: bool },
    ContinueBalancer(usize),
    ReopenRelay(usize),
    DeleteEntry { place: usize },
    ListAgain { place: usize },
    EndBackend { place: usize },
    StartBackend { place: usize, service: &'static str },
    BehaveAgain { place: usize },
    WriteConfiguration,
    TakeBack { zone: usize },
}

/// State of one run: the site, its ground truth, the checker and the scheduled actions.
pub struct SoakRun {
    options: SoakOptions,
    site: SoakSite,
    /// Detects stalls of this thread, which delay its scheduled actions.
    stalls: StallWatch,
    truth: SiteTruth,
    checker: PromiseChecker,
    places: BackendPlaces,
    duties: Vec<BalancerDuty>,
    later: Vec<(Instant, LaterStep)>,
    /// Active faults of the store, with the time at which each ends.
    store_faults: Vec<(Instant, FaultKind)>,
    draws: Draws,
    version: ConfigurationVersion,
    configurations: u32,
    began: Instant,
    events: Vec<SoakEvent>,
    counts: BTreeMap<FaultKind, u32>,
}

/// Runs one seed from start to recovery. Returns the report, or an error if the run could not
/// complete.
pub fn run(options: SoakOptions) -> Result<SoakReport, SoakError> {
    let mut run = SoakRun::start(options)?;

    let faults = plan(run.options.seed, run.options.faults_for, &run.options.kinds);
    run.play(&faults)?;
    run.recover()?;
    Ok(run.report(&faults))
}

impl SoakRun {
    fn start(options: SoakOptions) -> Result<Self, SoakError> {
        let now = Instant::now();
        let site = SoakSite::start(&options)?;
        let mut run = Self {
            truth: SiteTruth::new(options.balancers, now),
            checker: PromiseChecker::new(options.timed, now),
            places: BackendPlaces::new(options.backends, options.seed, now),
            duties: vec![BalancerDuty::Run; options.balancers],
            later: Vec::new(),
            store_faults: Vec::new(),
            draws: Draws::new(!options.seed),
            version: 0,
            configurations: 0,
            stalls: site.stall_watch(),
            began: now,
            events: Vec::new(),
            counts: BTreeMap::new(),
            site,
            options,
        };

        run.write_configuration();
        for place in 0..run.options.backends {
            run.list_backend(place);
        }
        run.site.start_balancers()?;
        run.truth.disturb_balancers(Instant::now());
        run.site.start_callers(&run.options)?;
        // Starting the processes takes longer than a stall, so detection begins anew.
        run.stalls = run.site.stall_watch();
        Ok(run)
    }

    /// Begins each fault at its planned time, and waits for the end of the fault phase.
    fn play(&mut self, faults: &[PlannedFault]) -> Result<(), SoakError> {
        self.turn_until(Instant::now() + CALM_BEFORE)?;
        self.began = Instant::now();
        self.checker.begin(self.began);

        for fault in faults {
            self.turn_until(self.began + fault.at)?;
            self.begin(fault)?;
        }
        self.turn_until(self.began + self.options.faults_for)
    }

    /// Waits until all faults have ended, then checks that callers are served again.
    fn recover(&mut self) -> Result<(), SoakError> {
        self.note("calm".to_owned());
        while !self.later.is_empty() || !self.store_faults.is_empty() {
            self.turn()?;
        }
        let limit = if self.options.timed { RECOVERY_WITHIN } else { RECOVERY_GIVE_UP };
        let give_up = Instant::now() + limit;

        let mut is_served = false;
        while !is_served && Instant::now() < give_up {
            self.checker.count_from(Instant::now());
            while self.checker.recent_count() < RECOVERY_SAMPLE && Instant::now() < give_up {
                self.turn()?;
            }
            is_served = self.checker.recent_share() >= RECOVERY_SHARE;
        }
        self.expect_all_back(give_up)?;
        let tally = self.checker.recent();
        self.checker.expect(Promise::Recovery, is_served, Instant::now(), || {
            format!("{tally:?} of the last requests")
        });
        Ok(())
    }

    /// Checks that every balancer that was killed or told to stop has exited and runs again.
    fn expect_all_back(&mut self, give_up: Instant) -> Result<(), SoakError> {
        let is_back = |run: &Self| run.duties.iter().all(|duty| *duty == BalancerDuty::Run);
        while !is_back(self) && Instant::now() < give_up {
            self.turn()?;
        }

        let is_kept = is_back(self);
        let duties = self.duties.clone();
        self.checker.expect(Promise::NoOwnEnd, is_kept, Instant::now(), || {
            format!("not all balancers run again: {duties:?}")
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

    fn turn_until(&mut self, until: Instant) -> Result<(), SoakError> {
        while Instant::now() < until {
            self.turn()?;
        }
        Ok(())
    }

    /// Processes observations for one interval, then executes the actions that are due.
    fn turn(&mut self) -> Result<(), SoakError> {
        if self.options.stop.load(Ordering::Relaxed) {
            return Err(SoakError::Stopped);
        }
        let until = Instant::now() + TURN;
        receive_until(&self.site.observations, until, |observation| {
            self.checker.observe(&mut self.truth, observation);
        });

        let now = self.stalls.turn();
        self.step_store(now);
        let (due, later) =
            std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        let due: Vec<(Instant, LaterStep)> = due;
        for (_, step) in due {
            self.take_step(step)?;
        }
        self.look_at_balancers(now)
    }

    fn note(&mut self, text: String) {
        let at_s = Instant::now().saturating_duration_since(self.began).as_secs_f64();

        self.events.push(SoakEvent { at_s, text });
    }

    fn take_step(&mut self, step: LaterStep) -> Result<(), SoakError> {
        let now = Instant::now();

        match step {
            LaterStep::StartBalancer { number, planned } => {
                if !self.site.balancers[number].is_running() {
                    self.site.balancers[number].start().map_err(at("start a balancer"))?;
                    self.duties[number] = BalancerDuty::Run;
                    self.truth.balancers[number].life += 1;
                    self.truth.disturb_balancer(number, now + START_TIME, planned);
                }
            }
            LaterStep::ContinueBalancer(number) => self.signal(number, Signal::SIGCONT)?,
            LaterStep::ReopenRelay(number) => self.site.relays[number].set(StoreLinkState::Open),
            LaterStep::DeleteEntry { place } => self.delete_entry(place),
            LaterStep::ListAgain { place } => self.write_entry(place, false),
            LaterStep::EndBackend { place } => {
                self.end_backend(place, now);
                self.delete_entry(place);
            }
            LaterStep::StartBackend { place, service } => {
                self.places.replace(place, service);
                self.list_backend(place);
            }
            LaterStep::BehaveAgain { place } => {
                self.command(BackendCommand::Behave(place, BackendManner::Usual));
            }
            LaterStep::WriteConfiguration => self.write_configuration(),
            LaterStep::TakeBack { zone } => self.take_back(zone),
        }
        Ok(())
    }

    fn look_at_balancers(&mut self, now: Instant) -> Result<(), SoakError> {
        for number in 0..self.site.balancers.len() {
            let end = self.site.balancers[number].take_end().map_err(at("wait for a balancer"))?;
            let Some(status) = end else { continue };
            let planned = self.duties[number] == BalancerDuty::Stopping;
            let is_right = match self.duties[number] {
                BalancerDuty::Run => false,
                BalancerDuty::Killed => true,
                // SIGTERM ends a process that has not installed its handler yet, which is no fault.
                BalancerDuty::Stopping => {
                    status.success() || now < self.site.balancers[number].started() + START_TIME
                }
            };

            self.checker.expect(Promise::NoOwnEnd, is_right, now, || {
                format!("balancer {number} exited: {status}")
            });
            if self.duties[number] != BalancerDuty::Killed {
                let step = LaterStep::StartBalancer { number, planned };
                self.later.push((now + RESTART_AFTER, step));
            }
        }
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) -> Result<(), SoakError> {
        self.site.balancers[number].signal(signal).map_err(at("signal a balancer"))
    }

    /// Sends a command to the backend servers' thread. If that thread has ended, only logs it: the
    /// command would come too late in any case.
    fn command(&self, command: BackendCommand) {
        if self.site.commands.send(command).is_err() {
            log::error!("command dropped: the thread of the backend servers has ended");
        }
    }

    /// Removes expired faults of the store, and applies the remaining ones together.
    fn step_store(&mut self, now: Instant) {
        const SLOW_MS: u64 = 300;
        const LAG: u64 = 3;
        self.store_faults.retain(|(until, _)| *until > now);
        let lasts = |kind| self.store_faults.iter().any(|(_, other)| *other == kind);

        self.site.store.misbehave(Faults {
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
