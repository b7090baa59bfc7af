//! `valvestage-entry`: the balancer of one entry VM on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use valvestage_core::settings::EntrySettings;
use valvestage_entry::{EntryError, EntryProcess};
use valvestage_process::command_line::{parse, settings_are_right, usage_error};
use valvestage_process::{exit_codes, logging};

/// Name in messages.
const PROGRAM: &str = "valvestage-entry";

/// Steers callers' packets to backend servers.
///
/// Exit codes: 0 stopped as planned, 1 failed while running, 2 wrong command line or settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file (TOML)
    #[bpaf(long, argument("FILE"), env("VALVESTAGE_CONFIG"))]
    settings: PathBuf,
    /// Check the settings, say what is wrong with them, and start nothing
    #[bpaf(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments = match parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match EntrySettings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return usage_error(PROGRAM, &error),
    };
    if arguments.check_settings {
        return settings_are_right(&arguments.settings);
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

fn serve(settings: EntrySettings) -> Result<(), EntryError> {
    let logger = logging::start(true);
    if let Err(error) = &logger {
        eprintln!("{PROGRAM}: no log: {error}");
    }

    log::info!(vm = settings.name.as_str(), zone = settings.zone.as_str(); "starting");
    EntryProcess::bind(settings)?.run()
}
