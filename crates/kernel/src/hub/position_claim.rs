//! What an entry says of its position in a topic.

use serde::{Deserialize, Serialize};

use crate::log_position::{LogPosition, MAX_ERA, MAX_OFFSET};

/// Says that an entry which has a version of a record has all records of a topic before a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionClaim {
    version: u64,
    next: LogPosition,
}

impl PositionClaim {
    /// Returns the claim that whoever has `version`, or a higher one, has all records before `next`.
    pub fn new(version: u64, next: LogPosition) -> PositionClaim {
        PositionClaim { version, next }
    }

    /// Returns the version that an entry must have for the claim to hold for it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the position before which such an entry has all records.
    pub fn next(&self) -> LogPosition {
        self.next
    }

    /// Reports whether an entry can have made the claim.
    pub fn is_readable(&self) -> bool {
        self.next.era <= MAX_ERA && self.next.offset <= MAX_OFFSET
    }
}
