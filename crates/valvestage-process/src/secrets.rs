//! Reading and comparing bearer tokens.

use std::path::Path;

use crate::errors::ProcessError;

/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Reads a bearer token from a file, without leading and trailing white space.
pub fn read_token(file: &Path) -> Result<String, ProcessError> {
    let refuse =
        |problem: String| ProcessError::TokenFile { file: file.display().to_string(), problem };

    let text = std::fs::read_to_string(file).map_err(|error| refuse(error.to_string()))?;
    let token = text.trim();
    if token.len() < MIN_TOKEN_BYTES {
        return Err(refuse(format!("the token is shorter than {MIN_TOKEN_BYTES} characters")));
    }

    Ok(token.to_owned())
}

/// Compares two tokens in a time that does not depend on where they differ, so that the time
/// reveals nothing about the expected token.
#[must_use]
pub fn tokens_match(left: &str, right: &str) -> bool {
    let differences = left.bytes().zip(right.bytes()).fold(0, |sum, (l, r)| sum | (l ^ r));

    left.len() == right.len() && differences == 0
}
