//! `valvestage-soak`: runs real balancers under seeded fault injection.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use valvestage_process::command_line::{parse, report_usage_error};
use valvestage_process::exit_codes;
use valvestage_soak::backend_places::MIN_BACKENDS;
use valvestage_soak::site_plan::ZONES;
use valvestage_soak::{FaultKind, SoakOptions, SoakReport, control_cost, seed_list};
use valvestage_standins::signals::stop_flag;

/// Program name in error messages.
const PROGRAM: &str = "valvestage-soak";

/// Injects seeded faults into a site of real balancers, and checks the promises made to callers
///
/// Exit codes: 0 every promise was kept, 1 a promise was broken or a run could not complete, 2
/// wrong command line.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Runs consecutive seeds
    #[bpaf(command)]
    Run {
        /// The first seed
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// Number of seeds
        #[bpaf(long, argument("N"), fallback(1))]
        seeds: u64,
        /// Runs seeds until this many minutes have passed, instead of a fixed number of seeds
        #[bpaf(long, argument("MINUTES"))]
        minutes: Option<u64>,
        #[bpaf(external)]
        shape: Shape,
    },
    /// Runs one seed again
    #[bpaf(command)]
    Replay {
        #[bpaf(external)]
        shape: Shape,
        /// The seed
        #[bpaf(positional("SEED"))]
        seed: u64,
    },
    /// Measures the control plane's cost to each balancer, without callers and faults
    #[bpaf(command)]
    Cost {
        #[bpaf(external)]
        shape: Shape,
    },
    /// Runs the seeds of known failures
    #[bpaf(command)]
    Known {
        #[bpaf(external)]
        shape: Shape,
    },
    /// Lists the kinds of faults and the seeds of known failures
    #[bpaf(command)]
    List {
        /// The list of seeds of known failures
        #[bpaf(
            long,
            argument("FILE"),
            fallback(PathBuf::from("crates/valvestage-soak/seeds.toml"))
        )]
        known: PathBuf,
    },
}

/// Options that all runs share.
#[derive(Debug, Clone, Bpaf)]
struct Shape {
    /// The balancer's executable
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("target/release/valvestage-entry")))]
    program: PathBuf,
    /// Folder for logs and reports, with one subfolder per seed
    #[bpaf(long, argument("FOLDER"), fallback(std::env::temp_dir().join("valvestage-soak")))]
    folder: PathBuf,
    /// Number of balancers, each a process; at least one in each of the three zones
    #[bpaf(long, argument("N"), guard(has_enough_balancers, TOO_FEW_BALANCERS), fallback(6))]
    balancers: usize,
    /// Number of backend servers; at least 12, so that each zone has both services
    #[bpaf(long, argument("N"), guard(has_enough_backends, TOO_FEW_BACKENDS), fallback(12))]
    backends: usize,
    /// New flows per second
    #[bpaf(long, argument("N"), fallback(60))]
    flows: u32,
    /// Number of kinds of faults to draw from, counted from the start of the list; a seed recorded
    /// before a kind was added needs the number at that time
    #[bpaf(
        long,
        argument("N"),
        guard(is_kind_count, WRONG_KIND_COUNT),
        fallback(FaultKind::ALL.len())
    )]
    kinds: usize,
    /// Draws only faults of this kind, named as `list` shows it
    #[bpaf(long, argument("KIND"), guard(is_kind, UNKNOWN_KIND), optional)]
    only: Option<String>,
    /// Length of the fault phase in seconds; no fault begins later
    #[bpaf(long, argument("SECONDS"), fallback(30))]
    length: u64,
    /// The list of seeds of known failures
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("crates/valvestage-soak/seeds.toml")))]
    known: PathBuf,
}

const TOO_FEW_BALANCERS: &str = "at least 3 balancers are needed, one for each zone";

const TOO_FEW_BACKENDS: &str = "at least 12 backend servers are needed";

const WRONG_KIND_COUNT: &str = "has to be from 1 to the number of kinds that `list` shows";

const UNKNOWN_KIND: &str = "is not a kind that `list` shows";

fn is_kind(name: &String) -> bool {
    FaultKind::ALL.iter().any(|kind| format!("{kind:?}") == *name)
}

fn is_kind_count(kinds: &usize) -> bool {
    (1..=FaultKind::ALL.len()).contains(kinds)
}

fn has_enough_balancers(balancers: &usize) -> bool {
    *balancers >= ZONES
}

fn has_enough_backends(backends: &usize) -> bool {
    *backends >= MIN_BACKENDS
}

fn main() -> ExitCode {
    let arguments = match parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };

    let stop = match stop_flag() {
        Ok(stop) => stop,
        Err(error) => return report_usage_error(PROGRAM, &error),
    };
    let clean = match arguments {
        Arguments::Run { seed, seeds, minutes, shape } => {
            run_seeds(seed, seeds, minutes, &shape, &stop)
        }
        Arguments::Replay { seed, shape } => run_seed(seed, &shape, &stop),
        Arguments::Cost { shape } => measure_cost(&shape),
        Arguments::Known { shape } => match seed_list::read(&shape.known) {
            Ok(known) => run_known(&known, &shape, &stop),
            Err(error) => return report_usage_error(PROGRAM, &error),
        },
        Arguments::List { known } => match seed_list::read(&known) {
            Ok(known) => {
                print_list(&known);
                true
            }
            Err(error) => return report_usage_error(PROGRAM, &error),
        },
    };
    ExitCode::from(if clean { exit_codes::SUCCESS } else { exit_codes::FAILURE })
}

/// Runs consecutive seeds, and continues after a failure. Returns whether all of them were clean.
fn run_seeds(
    first: u64,
    seeds: u64,
    minutes: Option<u64>,
    shape: &Shape,
    stop: &Arc<AtomicBool>,
) -> bool {
    const SECONDS_A_MINUTE: u64 = 60;
    let stop_at =
        minutes.map(|count| Instant::now() + Duration::from_secs(count * SECONDS_A_MINUTE));
    let mut clean = true;
    let mut seed = first;

    let should_continue = |seed: u64| match stop_at {
        Some(at) => Instant::now() < at,
        None => seed < first + seeds,
    };
    while should_continue(seed) && !stop.load(Ordering::Relaxed) {
        clean &= run_seed(seed, shape, stop);
        seed += 1;
    }
    clean
}

/// Runs all known seeds, each with the numbers of balancers, fault kinds and flows of its recorded
/// failure, and continues after a failure. Returns whether all of them were clean.
fn run_known(known: &[seed_list::KnownSeed], shape: &Shape, stop: &Arc<AtomicBool>) -> bool {
    let mut clean = true;

    for seed in known {
        let flows = seed.flows.unwrap_or(shape.flows);
        let shape = Shape { balancers: seed.balancers, kinds: seed.kinds, flows, ..shape.clone() };
        clean &= run_seed(seed.seed, &shape, stop);
    }
    clean
}

/// Runs one seed, prints and writes its report, and returns whether every promise was kept.
fn run_seed(seed: u64, shape: &Shape, stop: &Arc<AtomicBool>) -> bool {
    let options = SoakOptions { stop: stop.clone(), ..options(seed, shape) };
    let folder = options.folder.clone();

    match valvestage_soak::run(options) {
        Ok(report) => {
            println!("{report}\n  logs and report.json: {}", folder.display());
            write_report(&report, &folder);
            report.is_clean()
        }
        Err(error) => {
            eprintln!("{PROGRAM}: seed {seed}: {error}");
            false
        }
    }
}

fn measure_cost(shape: &Shape) -> bool {
    let options = options(0, shape);
    match control_cost::measure(&options, Duration::from_secs(shape.length)) {
        Ok(cost) => {
            println!("{cost}, {} backend servers", shape.backends);
            true
        }
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            false
        }
    }
}

fn options(seed: u64, shape: &Shape) -> SoakOptions {
    let is_drawn = |kind: &FaultKind| match &shape.only {
        Some(name) => format!("{kind:?}") == *name,
        None => true,
    };

    SoakOptions {
        program: shape.program.clone(),
        folder: shape.folder.join(format!("seed-{seed}")),
        seed,
        faults_for: Duration::from_secs(shape.length),
        balancers: shape.balancers,
        kinds: FaultKind::ALL[..shape.kinds].iter().copied().filter(is_drawn).collect(),
        backends: shape.backends,
        flows_per_second: shape.flows,
        ..SoakOptions::default()
    }
}

fn write_report(report: &SoakReport, folder: &std::path::Path) {
    let written = serde_json::to_string_pretty(report)
        .map_err(std::io::Error::other)
        .and_then(|text| fs::write(folder.join("report.json"), text));

    if let Err(error) = written {
        eprintln!("{PROGRAM}: failed to write report.json: {error}");
    }
}

fn print_list(known: &[seed_list::KnownSeed]) {
    for kind in FaultKind::ALL {
        println!("{kind:?}");
    }
    for seed in known {
        println!("seed {} with {} balancers: {}", seed.seed, seed.balancers, seed.cause);
    }
}
