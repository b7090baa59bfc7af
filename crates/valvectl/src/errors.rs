//! The error type of this program, with exit codes.

use thiserror::Error;
use valvestage_core::CoreError;
use valvestage_process::{ProcessError, exit_codes};
use valvestage_wire::operators::ApiProblem;

/// Reason why a command was not carried out.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The operators' API cannot be reached, or gives an unreadable answer.
    #[error("operator {operator}: {step}: {cause}")]
    Unreachable {
        /// Address of the operators' API.
        operator: String,
        /// Step that failed.
        step: &'static str,
        /// Underlying error.
        cause: String,
    },
    /// The command requires an option that is missing.
    #[error("{0} is needed")]
    MissingOption(&'static str),
    /// A log file cannot be read.
    #[error("log {file}: {cause}")]
    Log {
        /// Path of the file, or a name for standard input.
        file: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The operators' API answered with an error.
    #[error("{}", .problem.problem)]
    Api {
        /// HTTP status.
        status: u16,
        /// Problem and remedy, from the body of the answer.
        problem: ApiProblem,
    },
    /// The token file cannot be used.
    #[error(transparent)]
    Token(#[from] ProcessError),
    /// The deployment file cannot be used.
    #[error(transparent)]
    Deployment(#[from] CoreError),
}

impl CtlError {
    /// Returns the suggested next step, if there is one.
    pub fn remedy(&self) -> Option<&str> {
        match self {
            Self::Api { problem, .. } => Some(&problem.remedy),
            Self::Unreachable { .. } => {
                Some("Try the operator process of another entry VM with --operator.")
            }
            Self::MissingOption(_) | Self::Log { .. } | Self::Token(_) | Self::Deployment(_) => {
                None
            }
        }
    }

    /// Returns the exit code for the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unreachable { .. } | Self::Api { status: 503, .. } => exit_codes::UNREACHABLE,
            Self::Api { status: 409 | 422, .. } => exit_codes::REFUSED,
            Self::Api { .. } => exit_codes::FAILURE,
            Self::MissingOption(_) | Self::Log { .. } | Self::Token(_) | Self::Deployment(_) => {
                exit_codes::USAGE
            }
        }
    }
}
