//! The error type of this crate, and its HTTP response.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use thiserror::Error;
use valvestage_core::CoreError;
use valvestage_core::ids::ObjectVersion;
use valvestage_platform::PlatformError;
use valvestage_policy::PolicyError;
use valvestage_policy::operations::PlanRefusal;
use valvestage_wire::operators::ApiProblem;

/// Reason why an API call was not carried out.
#[derive(Debug, Error)]
pub enum ApiError {
    /// A call to the platform failed: it does not answer, rejects the token or stores an unreadable
    /// object.
    #[error("the call to the platform failed: {0}")]
    Platform(#[from] PlatformError),
    /// No attempt of a write got an answer that shows whether the write took effect.
    #[error("cannot determine whether the platform accepted change {change_id}")]
    OutcomeUnknown {
        /// Id of the change.
        change_id: String,
    },
    /// The intent names something unknown, or leads to an invalid configuration.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The deployment file does not give a valid configuration.
    #[error(transparent)]
    Core(#[from] CoreError),
    /// Something that the call needs does not exist.
    #[error("{what} does not exist")]
    Missing {
        /// Name of the missing object.
        what: String,
        /// How to create or find the object.
        remedy: &'static str,
    },
    /// Another change was accepted first.
    #[error(
        "version {base} is not in force any more: change {winner} came first, as version {version}"
    )]
    VersionConflict {
        /// The version that the change was based on; 0 for a first configuration.
        base: ObjectVersion,
        /// The current version; 0 if it was not read.
        version: ObjectVersion,
        /// Id of the change that was accepted first.
        winner: String,
    },
    /// The plan would violate a guarantee.
    #[error("{}", .0.problem)]
    Refused(PlanRefusal),
    /// The query is invalid.
    #[error("{0}")]
    BadQuery(String),
}

impl ApiError {
    fn remedy(&self) -> String {
        match self {
            Self::Platform(_) => "Try again when the platform answers; nothing was changed.".into(),
            Self::OutcomeUnknown { change_id } => {
                format!(
                    "Run `valvectl status` when the platform answers: the change is accepted if {change_id} is in force."
                )
            }
            Self::Policy(_) | Self::Core(_) => "Correct the call and send it again.".into(),
            Self::Missing { remedy, .. } => (*remedy).into(),
            Self::VersionConflict { .. } => "Make a new plan based on the current version.".into(),
            Self::Refused(refusal) => refusal.remedy.clone(),
            Self::BadQuery(_) => "See `valvectl why --help`.".into(),
        }
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Platform(_) | Self::OutcomeUnknown { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Policy(PolicyError::NotFound { .. }) | Self::Missing { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::Policy(_) | Self::Core(_) | Self::BadQuery(_) => StatusCode::BAD_REQUEST,
            Self::VersionConflict { .. } => StatusCode::CONFLICT,
            Self::Refused(_) => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let problem = ApiProblem { problem: self.to_string(), remedy: self.remedy() };

        HttpResponse::build(self.status_code()).json(problem)
    }
}
