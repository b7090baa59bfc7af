//! Explanations from the logs of `valvestage-entry`.

use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;

use valvestage_process::exit_codes;
use valvestage_story::sentences::sentence;
use valvestage_story::{LogLine, LogQuery, select_lines};

use crate::arguments::LogSubject;
use crate::errors::CtlError;

/// Prints a description of each log line about a subject, one per line; the exit code is 1 if there
/// are none.
pub fn print_events(subject: LogSubject, files: &[PathBuf]) -> Result<u8, CtlError> {
    let text = read(files)?;
    let lines = text.lines().filter_map(|line| LogLine::try_from(line).ok()).collect();

    let selected = select_lines(lines, &LogQuery::from(subject));
    for line in &selected {
        println!("{} {} {}", line.time_ms, line.vm, sentence(line));
    }
    if selected.is_empty() {
        println!(
            "The logs have no lines about it: they were left out under load, or are in the logs of other VMs."
        );
        return Ok(exit_codes::FAILURE);
    }
    Ok(exit_codes::SUCCESS)
}

fn read(files: &[PathBuf]) -> Result<String, CtlError> {
    let mut text = String::new();

    if files.is_empty() {
        io::stdin()
            .read_to_string(&mut text)
            .map_err(|cause| CtlError::Log { file: "standard input".to_owned(), cause })?;
    }
    for file in files {
        let more = fs::read_to_string(file);
        let name = file.display().to_string();
        text.push_str(&more.map_err(|cause| CtlError::Log { file: name, cause })?);
        text.push('\n');
    }
    Ok(text)
}
