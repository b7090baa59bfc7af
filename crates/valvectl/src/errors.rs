//! Errors and their exit codes.

use thiserror::Error;
use valvestage_core::CoreError;
use valvestage_process::{ProcessError, exit_codes};
use valvestage_wire::operators::ApiProblem;

/// `CtlError` tells why a command was not carried out.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The operators' API cannot be reached.
    #[error("operator {operator}: {step}: {cause}")]
    Unreachable {
        /// Its address.
        operator: String,
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        cause: String,
    },
    /// An option is missing that the command needs.
    #[error("{0} is needed")]
    MissingOption(&'static str),
    /// A log file cannot be read.
    #[error("log {file}: {cause}")]
    Log {
        /// Its path.
        file: String,
        /// What the operating system said.
        cause: std::io::Error,
    },
    /// The operators' API said no.
    #[error("{}", .problem.problem)]
    Said {
        /// HTTP status.
        status: u16,
        /// Its words.
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
    /// What to do next, if the API told.
    pub fn remedy(&self) -> Option<&str> {
        match self {
            Self::Said { problem, .. } => Some(&problem.remedy),
            Self::Unreachable { .. } => {
                Some("Try the operator process of another entry VM with --operator.")
            }
            Self::MissingOption(_) | Self::Log { .. } | Self::Token(_) | Self::Deployment(_) => {
                None
            }
        }
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unreachable { .. } | Self::Said { status: 503, .. } => exit_codes::UNREACHABLE,
            Self::Said { status: 409 | 422, .. } => exit_codes::REFUSED,
            Self::Said { .. } => exit_codes::FAILURE,
            Self::MissingOption(_) | Self::Log { .. } | Self::Token(_) | Self::Deployment(_) => {
                exit_codes::USAGE
            }
        }
    }
}
