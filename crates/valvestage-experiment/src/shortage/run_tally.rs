//! Counts by window and class, and the ideal dispatcher.

use std::time::Duration;

use super::backend_server::SLOTS;
use super::shortage_scenario::ShortageScenario;
use super::traffic_class::CLASSES;
use crate::fleet::usage::{FleetUsage, NodeUsage};
use crate::table::Table;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(2);

/// Steps in which the speed of the slots is summed up over a window.
const STEP: Duration = Duration::from_millis(10);

/// The way in which a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// An answer came before the deadline.
    Answered,
    /// Its last attempt was refused by a balancer or rejected by a backend server. It has not run.
    Refused,
    /// The deadline passed, or its last flow ended.
    Failed,
}

/// Requests of a class that began in a window, by their ends.
#[derive(Debug, Clone, Copy, Default)]
struct ClassCount {
    in_time: u32,
    late: u32,
    refused: u32,
    failed: u32,
}

impl ClassCount {
    fn requests(&self) -> u32 {
        self.in_time + self.late + self.refused + self.failed
    }

    fn worth(&self, class: usize) -> f64 {
        let kind = &CLASSES[class];

        f64::from(self.in_time) * kind.worth + f64::from(self.late) * kind.late_worth
    }
}

/// Everything that is counted in a run.
#[derive(Debug)]
pub struct RunTally {
    scenario: ShortageScenario,
    /// Backend servers of the service.
    servers: usize,
    windows: Vec<[ClassCount; CLASSES.len()]>,
    /// Requests that arrived at backend servers, and those of them that were rejected.
    arrivals: u32,
    rejections: u32,
    /// Open flows that balancers reset while their backend servers held them.
    wrong_resets: u32,
    /// Decisions about opening packets, and the time that they took.
    decisions: u32,
    decision_time: Duration,
    /// Resources that the balancers used in the measured span.
    usage: Vec<(&'static str, f64)>,
}

impl RunTally {
    /// Creates a tally without counts.
    pub fn new(scenario: ShortageScenario, servers: usize) -> Self {
        let windows = scenario.length().as_millis().div_ceil(WINDOW.as_millis());

        Self {
            scenario,
            servers,
            windows: (0..windows).map(|_| Default::default()).collect(),
            arrivals: 0,
            rejections: 0,
            wrong_resets: 0,
            decisions: 0,
            decision_time: Duration::ZERO,
            usage: Vec::new(),
        }
    }

    /// Counts the end of a request that began at a time of the measured span.
    pub fn count_request(
        &mut self,
        class: usize,
        began_at: Duration,
        end: RequestEnd,
        took: Duration,
    ) {
        let index = began_at.as_millis() / WINDOW.as_millis();
        let window = usize::try_from(index).ok().and_then(|index| self.windows.get_mut(index));
        let Some(window) = window else { return };

        let count = &mut window[class];
        match end {
            RequestEnd::Answered if took <= CLASSES[class].target() => count.in_time += 1,
            RequestEnd::Answered => count.late += 1,
            RequestEnd::Refused => count.refused += 1,
            RequestEnd::Failed => count.failed += 1,
        }
    }

    /// Counts a request that arrives at a backend server.
    pub fn count_arrival(&mut self, is_rejected: bool) {
        self.arrivals += 1;
        self.rejections += u32::from(is_rejected);
    }

    /// Counts a reset of an open flow whose backend server holds it.
    pub fn count_wrong_reset(&mut self) {
        self.wrong_resets += 1;
    }

    /// Counts a decision about an opening packet.
    pub fn count_decision(&mut self, took: Duration) {
        self.decisions += 1;
        self.decision_time += took;
    }

    /// Records what the balancers used in the measured span.
    pub fn set_usage(&mut self, before: &[NodeUsage], after: &[NodeUsage]) {
        self.usage = FleetUsage::between(before, after, self.scenario.length()).rows();
    }

    /// Returns the requests of each class that an ideal dispatcher answers of those that began in a
    /// window.
    ///
    /// The slots that work in the window, each at its speed, give a supply of slot seconds. Classes
    /// take from it in order of their urgency, each request its mean work, until it is used up.
    /// Nothing waits, is tried again or is carried over to the next window:
    ///
    /// `served = min(requests, rest / work)`, `rest -= served * work`.
    fn ideal(&self, window: usize) -> [f64; CLASSES.len()] {
        let begin = WINDOW * u32::try_from(window).unwrap_or(u32::MAX);
        let end = (begin + WINDOW).min(self.scenario.length());
        let mut rest = 0.0;
        let mut at = begin;
        while at < end {
            rest += self.scenario.slot_share(at) * STEP.as_secs_f64();
            at += STEP;
        }
        rest *= (self.servers * SLOTS) as f64;

        let mut served = [0.0; CLASSES.len()];
        for (class, kind) in CLASSES.iter().enumerate() {
            let work = kind.work.as_secs_f64();
            let requests = f64::from(self.windows[window][class].requests());
            served[class] = requests.min(rest / work);
            rest -= served[class] * work;
        }
        served
    }

    /// Prints the tables of the run.
    pub fn print(&self, balancers: usize, scenario: &ShortageScenario) {
        let mut table = Table::new(&[
            "window from s",
            "class",
            "requests",
            "in time",
            "late",
            "refused",
            "failed",
            "worth",
            "of all",
            "of the ideal",
        ]);
        for window in 0..self.windows.len() {
            self.add_window(&mut table, window);
        }
        let title =
            format!("{}, {balancers} balancers, {} backend servers", scenario.name, self.servers);
        table.print(&title);
        self.print_totals();
    }

    fn add_window(&self, table: &mut Table, window: usize) {
        let ideal = self.ideal(window);
        let (mut worth, mut all, mut best) = (0.0, 0.0, 0.0);

        for (class, kind) in CLASSES.iter().enumerate() {
            let count = self.windows[window][class];
            let of_class = (
                count.worth(class),
                f64::from(count.requests()) * kind.worth,
                ideal[class] * kind.worth,
            );
            worth += of_class.0;
            all += of_class.1;
            best += of_class.2;
            let mut cells =
                vec![(WINDOW.as_secs() * window as u64).to_string(), kind.name.to_owned()];
            let counts = [count.requests(), count.in_time, count.late, count.refused, count.failed];
            cells.extend(counts.map(|count| count.to_string()));
            cells.extend(worth_cells(of_class));
            table.add_row(&cells);
        }
        let mut cells = vec![String::new(), "both".to_owned()];
        cells.extend(std::iter::repeat_n(String::new(), 5));
        cells.extend(worth_cells((worth, all, best)));
        table.add_row(&cells);
    }

    fn print_totals(&self) {
        let rejected = f64::from(self.rejections) / f64::from(self.arrivals.max(1));
        let micros = self.decision_time.as_secs_f64() * 1e6 / f64::from(self.decisions.max(1));
        let mut table = Table::new(&["measure", "value"]);

        table.add_row(&["arrivals at backend servers".to_owned(), self.arrivals.to_string()]);
        table.add_row(&["rejected share of them".to_owned(), format!("{rejected:.3}")]);
        table.add_row(&[
            "open flows reset at living backend servers".to_owned(),
            self.wrong_resets.to_string(),
        ]);
        table.add_row(&["decision about an opening packet, us".to_owned(), format!("{micros:.1}")]);
        for (measure, value) in &self.usage {
            table.add_row(&[(*measure).to_owned(), format!("{value:.1}")]);
        }
        table.print("Totals");
    }
}

/// Returns the worth of a class, and its share of the worth of all requests and of the ideal.
fn worth_cells((worth, all, ideal): (f64, f64, f64)) -> [String; 3] {
    let share = |of: f64| if of > 0.0 { format!("{:.3}", worth / of) } else { "-".to_owned() };

    [format!("{worth:.0}"), share(all), share(ideal)]
}
