//! When the fleet first read the newest record of the usage duty.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    log_position::{LogPosition, MAX_ERA, MAX_OFFSET},
    time::TimePoint,
};

/// Longest age that an entry states; a higher one is no age of a record that matters.
const MAX_AGE: Duration = Duration::from_secs(3_600);

/// The position after the newest record of the duty that an entry has heard of, with the time at
/// which some entry had read it.
///
/// An entry that reads the store in place of its hub has not followed the duty. With this time it
/// takes over from a lost holder as early as the hub would.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutySighting {
    end: LogPosition,
    at: TimePoint,
}

/// A [`DutySighting`] in a message, with an age in place of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingRow {
    end: LogPosition,
    age_ms: u64,
}

impl SightingRow {
    /// Returns the row for the position `end`, read `age_ms` milliseconds ago.
    pub fn new(end: LogPosition, age_ms: u64) -> SightingRow {
        SightingRow { end, age_ms }
    }

    /// Reports whether an entry can have sent the row.
    pub fn is_readable(&self) -> bool {
        self.end.era <= MAX_ERA
            && self.end.offset <= MAX_OFFSET
            && u128::from(self.age_ms) <= MAX_AGE.as_millis()
    }
}

impl DutySighting {
    /// Returns the sighting of an entry that had read all records before `end` at the time `at`.
    pub fn new(end: LogPosition, at: TimePoint) -> DutySighting {
        DutySighting { end, at }
    }

    /// Returns the position after the newest record.
    pub fn end(self) -> LogPosition {
        self.end
    }

    /// Returns the time at which some entry had read the newest record.
    pub fn at(self) -> TimePoint {
        self.at
    }

    /// Returns the row for a message that is sent now.
    pub fn row(self, now: TimePoint) -> SightingRow {
        let age = now.since(self.at).min(MAX_AGE);
        SightingRow { end: self.end, age_ms: age.as_millis() as u64 }
    }

    /// Returns the sighting of a row that arrived at `now`, at the latest time that it allows.
    pub fn from_row(now: TimePoint, row: SightingRow) -> DutySighting {
        DutySighting { end: row.end, at: now - Duration::from_millis(row.age_ms) }
    }

    /// Returns the sighting of the newer record, and of the same record the earlier one.
    pub fn merged(self, other: DutySighting) -> DutySighting {
        let at = if self.end == other.end { self.at.min(other.at) } else { self.at };
        if other.end > self.end { other } else { DutySighting { at, ..self } }
    }
}
