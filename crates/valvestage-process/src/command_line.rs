//! Command-line parsing, and messages about settings with their exit codes.

use std::path::Path;
use std::process::ExitCode;

use bpaf::{Args, OptionParser};

use crate::exit_codes;

/// Width of help texts, in characters.
const WIDTH: usize = 100;

/// Parses the command line.
///
/// If there is nothing to run, prints the help, the version or the error, and returns the exit
/// code.
pub fn parse<T>(parser: &OptionParser<T>) -> Result<T, ExitCode> {
    parser.run_inner(Args::current_args()).map_err(|failure| {
        let is_requested = failure.clone().exit_code() == 0;
        failure.print_message(WIDTH);

        ExitCode::from(if is_requested { exit_codes::SUCCESS } else { exit_codes::USAGE })
    })
}

/// Prints an error in the settings to standard error, and returns the exit code for it.
pub fn report_usage_error(program: &str, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{program}: {error}");

    ExitCode::from(exit_codes::USAGE)
}

/// Prints that the settings are valid, and returns the exit code for `--check-settings`.
pub fn report_valid_settings(file: &Path) -> ExitCode {
    println!("{}: the settings are right", file.display());

    ExitCode::from(exit_codes::SUCCESS)
}
