//! What valvestage's binaries share.
//!
//! | module | contents |
//! |---|---|
//! | [`command_line`] | parsing, with the exit codes below |
//! | [`exit_codes`] | exit codes, the same in every binary |
//! | [`log_ring`], [`structured_log`] | JSON lines that never hold up their writers |
//! | [`logging`] | log lines as text or JSON |
//! | [`secrets`] | reading bearer tokens from files |
//! | [`errors`] | the error type of this crate |

pub mod command_line;
pub mod errors;
pub mod exit_codes;
pub mod log_ring;
pub mod logging;
pub mod secrets;
pub mod structured_log;

pub use errors::ProcessError;
