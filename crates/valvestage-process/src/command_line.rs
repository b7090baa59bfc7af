//! Parsing the command line.

use std::path::Path;
use std::process::ExitCode;

use bpaf::{Args, OptionParser};

use crate::exit_codes;

/// Width of help texts, characters.
const WIDTH: usize = 100;

/// `parse` parses the command line; otherwise it has printed help, version or what is wrong, and
/// gives the exit code.
pub fn parse<T>(parser: &OptionParser<T>) -> Result<T, ExitCode> {
    parser.run_inner(Args::current_args()).map_err(|failure| {
        let is_asked = failure.clone().exit_code() == 0;
        failure.print_message(WIDTH);

        ExitCode::from(if is_asked { exit_codes::SUCCESS } else { exit_codes::USAGE })
    })
}

/// `usage_error` says what is wrong with the settings, and gives the exit code.
pub fn usage_error(program: &str, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{program}: {error}");

    ExitCode::from(exit_codes::USAGE)
}

/// `settings_are_right` says so, and gives the exit code of `--check-settings`.
pub fn settings_are_right(file: &Path) -> ExitCode {
    println!("{}: the settings are right", file.display());

    ExitCode::from(exit_codes::SUCCESS)
}
