//! `valvestage-entry`: the balancer process of one entry VM.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bpaf::Bpaf;
use signal_hook::consts::{SIGHUP, SIGTERM};
use valvestage_core::settings::EntrySettings;
use valvestage_entry::decision_log::DecisionLog;
use valvestage_entry::{EntryError, EntryProcess};
use valvestage_process::command_line::{parse, report_usage_error, report_valid_settings};
use valvestage_process::log_ring::LogRing;
use valvestage_process::{exit_codes, structured_log};

/// Program name in error messages.
const PROGRAM: &str = "valvestage-entry";

/// Time limit for writing the remaining log lines before the process ends.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Steers callers' packets to backend servers.
///
/// Exit codes: 0 stopped as planned, 1 failed while running, 2 wrong command line or settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file (TOML)
    #[bpaf(long, argument("FILE"), env("VALVESTAGE_CONFIG"))]
    settings: PathBuf,
    /// Check the settings and report any error, without starting anything
    #[bpaf(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let stop_requested = handle_early_signals();
    let arguments = match parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match EntrySettings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(PROGRAM, &error),
    };
    if arguments.check_settings {
        return report_valid_settings(&arguments.settings);
    }

    match serve(arguments.settings, settings, stop_requested) {
        Ok(()) => ExitCode::from(exit_codes::SUCCESS),
        Err(error) => {
            log::error!("{error}");
            eprintln!("{PROGRAM}: {error}");
            ExitCode::from(exit_codes::FAILURE)
        }
    }
}

/// Handles SIGHUP and SIGTERM until the control thread does, since an unhandled signal would end
/// the process. SIGHUP is ignored, because the settings are about to be read anyway. SIGTERM sets
/// the returned flag.
fn handle_early_signals() -> Arc<AtomicBool> {
    let ignored = Arc::new(AtomicBool::new(false));
    let stop_requested = Arc::new(AtomicBool::new(false));

    for (signal, flag) in [(SIGHUP, ignored), (SIGTERM, stop_requested.clone())] {
        if let Err(error) = signal_hook::flag::register(signal, flag) {
            eprintln!("{PROGRAM}: failed to handle signal {signal}: {error}");
        }
    }
    stop_requested
}

fn serve(
    file: PathBuf,
    settings: EntrySettings,
    stop_requested: Arc<AtomicBool>,
) -> Result<(), EntryError> {
    let ring = LogRing::start(std::io::stdout()).map_err(EntryError::Log)?;
    let _logger = structured_log::start(ring.clone()).map_err(EntryError::Log)?;

    log::info!(vm = settings.name.as_str(), zone = settings.zone.as_str(); "starting");
    let log = DecisionLog::new(Some(ring.clone()), settings.name.clone());
    let result =
        EntryProcess::bind(file, settings, log, stop_requested).and_then(EntryProcess::run);
    if !ring.flush(LOG_FLUSH_TIMEOUT) {
        eprintln!("{PROGRAM}: failed to write the remaining log lines in time");
    }
    result
}
