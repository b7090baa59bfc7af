//! `valvestage-balancer`: runs the data path and the control thread of one entry VM.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bpaf::Bpaf;
use signal_hook::consts::{SIGINT, SIGTERM};
use valvestage_balancer::errors::BalancerError;
use valvestage_balancer::process::BalancerProcess;
use valvestage_core::settings::BalancerSettings;
use valvestage_process::command_line::{parse, report_usage_error, report_valid_settings};
use valvestage_process::{exit_codes, logging};

/// Program name in error messages.
const PROGRAM: &str = "valvestage-balancer";

/// Spreads flows and requests over backend servers.
///
/// Exit codes: 0 stopped as planned, 1 failed while running, 2 wrong command line or settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file (TOML)
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and report any error, without starting anything
    #[bpaf(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments = match parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match BalancerSettings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(PROGRAM, &error),
    };
    if arguments.check_settings {
        return report_valid_settings(&arguments.settings);
    }

    match serve(settings) {
        Ok(()) => ExitCode::from(exit_codes::SUCCESS),
        Err(error) => {
            log::error!("{error}");
            eprintln!("{PROGRAM}: {error}");
            ExitCode::from(exit_codes::FAILURE)
        }
    }
}

fn serve(settings: BalancerSettings) -> Result<(), BalancerError> {
    let _logger = logging::start(settings.log_json)?;
    let (id, zone) = (settings.id, settings.zone.clone());

    let process = BalancerProcess::new(settings)?.serve()?;
    watch_signals(process.stop_flag());
    log::info!(balancer = id, zone = zone.as_str(); "serving");
    process.run()
}

fn watch_signals(stop_flag: Arc<AtomicBool>) {
    for signal in [SIGTERM, SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal, stop_flag.clone()) {
            log::warn!(signal; "cannot register the signal handler: {error}");
        }
    }
}
