//! Why a run could not be played.

use std::io;

use thiserror::Error;

/// `SoakError` says at which step a run could not go on. Broken promises are no errors.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A step of the run itself failed.
    #[error("{step}: {cause}")]
    Step {
        /// The step.
        step: &'static str,
        /// What went wrong.
        cause: io::Error,
    },
    /// The balancers did not become ready at the beginning.
    #[error("start: {ready} of {balancers} balancers became ready\n{}", logs.join("\n"))]
    NotReady {
        /// How many did.
        ready: usize,
        /// How many there are.
        balancers: usize,
        /// The last lines that each of them wrote.
        logs: Vec<String>,
    },
    /// The soak was told to stop; its balancers have ended with it.
    #[error("play: stopped by a signal")]
    Stopped,
    /// The list of seeds cannot be read.
    #[error("read {file}: {cause}")]
    Seeds {
        /// The file.
        file: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// `at` gives a step's name to an error.
pub fn at(step: &'static str) -> impl Fn(io::Error) -> SoakError {
    move |cause| SoakError::Step { step, cause }
}
