//! Exit codes, which are the same in every binary.

/// The command succeeded.
pub const SUCCESS: u8 = 0;

/// The process failed while running.
pub const FAILURE: u8 = 1;

/// The command line or the settings are invalid; nothing was started.
pub const USAGE: u8 = 2;

/// A plan was refused, or conflicts with an earlier change of another operator; nothing was
/// changed.
pub const REFUSED: u8 = 3;

/// The operators' API or the platform cannot be reached.
pub const UNREACHABLE: u8 = 4;
