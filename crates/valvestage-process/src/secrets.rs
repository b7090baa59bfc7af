//! Reading bearer tokens from files.

use std::path::Path;

use crate::errors::ProcessError;

/// Shortest token accepted.
const MIN_TOKEN_CHARS: usize = 16;

/// `read_token` reads a bearer token; white space around it does not count.
pub fn read_token(file: &Path) -> Result<String, ProcessError> {
    let refuse =
        |problem: String| ProcessError::TokenFile { file: file.display().to_string(), problem };

    let text = std::fs::read_to_string(file).map_err(|error| refuse(error.to_string()))?;
    let token = text.trim();
    if token.len() < MIN_TOKEN_CHARS {
        return Err(refuse(format!("the token is shorter than {MIN_TOKEN_CHARS} characters")));
    }

    Ok(token.to_owned())
}

/// `same_token` compares two tokens in a time that does not depend on where they differ.
#[must_use]
pub fn same_token(left: &str, right: &str) -> bool {
    let differences = left.bytes().zip(right.bytes()).fold(0, |sum, (l, r)| sum | (l ^ r));

    left.len() == right.len() && differences == 0
}
