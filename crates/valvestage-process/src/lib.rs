//! Process-level functions shared by valvestage's binaries.
//!
//! | module | contents |
//! |---|---|
//! | [`command_line`] | command-line parsing |
//! | [`exit_codes`] | exit codes, the same in every binary |
//! | [`log_ring`], [`structured_log`] | non-blocking log of JSON lines |
//! | [`logging`] | log lines as text or JSON on standard error |
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
