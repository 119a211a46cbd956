//! Exit codes of the tool.

/// The call succeeded.
pub const OK: u8 = 0;

/// The settings have findings, or a change or call was refused; nothing was changed.
pub const REFUSED: u8 = 1;

/// The arguments are invalid, or a file cannot be read or written.
pub const USAGE: u8 = 2;

/// The platform or a process did not answer; nothing was changed.
pub const UNREACHABLE: u8 = 3;

/// The requested object does not exist.
pub const NOT_FOUND: u8 = 4;

/// A change was accepted, but not all processes applied it in time.
pub const UNCONFIRMED: u8 = 5;

/// The outcome of a change is unknown: the change may have taken effect.
pub const OUTCOME_UNKNOWN: u8 = 6;
