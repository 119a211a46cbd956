//! Positions in a log that may come back from an older copy.

use serde::{Deserialize, Serialize};

use crate::ids::FencingNumber;

/// Bits of a fencing number below the era.
const OFFSET_BITS: u32 = 32;

/// Highest era; a fencing number has no room for a higher one.
pub const MAX_ERA: u64 = u32::MAX as u64;

/// Highest offset that a log may state: the highest number that all JSON readers hold exactly.
pub const MAX_OFFSET: u64 = (1 << 53) - 1;

/// The position of a record in a log.
///
/// When the platform restores its log from an older copy, it gives out offsets again and raises the
/// era. Positions are ordered by era and then by offset, so a record of a later era is newer than
/// any record that the log has lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Number of times that the log came back from an older copy; 0 if the platform states none.
    pub era: u64,
    /// Offset of the record in its stream.
    pub offset: u64,
}

impl LogPosition {
    /// Returns the position after this one in the same era.
    pub fn next(self) -> LogPosition {
        LogPosition { offset: self.offset.saturating_add(1), ..self }
    }

    /// Returns the fencing number of a duty that a record at this position acquires.
    ///
    /// Numbers of a later era are higher, although their offsets may have been given out before.
    pub fn fencing(self) -> FencingNumber {
        FencingNumber(self.era.min(MAX_ERA) << OFFSET_BITS | self.offset)
    }
}
