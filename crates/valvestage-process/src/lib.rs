//! What valvestage's binaries share.
//!
//! | module | contents |
//! |---|---|
//! | [`command_line`] | parsing, with the exit codes below |
//! | [`exit_codes`] | exit codes, the same in every binary |
//! | [`logging`] | log lines as text or JSON |
//! | [`secrets`] | reading bearer tokens from files |
//! | [`errors`] | the error type of this crate |

pub mod command_line;
pub mod errors;
pub mod exit_codes;
pub mod logging;
pub mod secrets;

pub use errors::ProcessError;
