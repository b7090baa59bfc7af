//! Exit codes, the same in every binary.

/// All went as asked.
pub const SUCCESS: u8 = 0;

/// Something failed while running.
pub const FAILURE: u8 = 1;

/// The command line or the settings are wrong; nothing was started.
pub const USAGE: u8 = 2;

/// A plan was refused, or another operator's change came first; nothing was changed.
pub const REFUSED: u8 = 3;

/// Something that was asked for cannot be reached.
pub const UNREACHABLE: u8 = 4;
