//! The records that the holder of the usage duty appends to the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    duty::share::is_count,
    ids::{FencingNumber, ProcessId},
    log_position::{LogPosition, MAX_ERA},
    time::MAX_WALL_MS,
};

/// Final counts of one usage window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// Number of the window: wall-clock milliseconds since 1970 divided by the window's length.
    pub window: u64,
    /// Requests that started to run in the window, by client account.
    pub counts: BTreeMap<Box<str>, u64>,
}

/// Closes usage windows and acquires, renews or releases the duty of reporting them.
///
/// Each record repeats all recent windows, so the newest record is enough to resume from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Process that may report.
    pub holder: ProcessId,
    /// Fencing number of the holder; `None` in the holder's first record, whose own position gives
    /// the fencing number.
    pub fencing: Option<FencingNumber>,
    /// Closed windows, whose counts never change again.
    pub windows: Vec<ClosedWindow>,
    /// Whether the holder releases the duty with this record.
    #[serde(default)]
    pub released: bool,
    /// Era of the log in which the record was made.
    #[serde(default)]
    pub era: u64,
    /// Windows before this one that are not in `windows` must not be closed, because they may have
    /// been reported on behalf of a record that the log has lost.
    #[serde(default)]
    pub first_window: u64,
}

impl DutyRecord {
    /// Reports whether a process can have written the record, for windows of `window_ms` milliseconds.
    pub fn is_readable(&self, window_ms: u64) -> bool {
        let is_window = |window: u64| {
            window.checked_mul(window_ms).is_some_and(|begin_ms| begin_ms <= MAX_WALL_MS)
        };
        let is_closed = |closed: &ClosedWindow| {
            is_window(closed.window) && closed.counts.values().all(|count| is_count(*count))
        };
        self.era <= MAX_ERA && is_window(self.first_window) && self.windows.iter().all(is_closed)
    }

    /// Returns the fencing number of the holder if the record is at `position`.
    ///
    /// The number is that of the era in which the record was made, also if the record is read again
    /// after the log has come back from an older copy.
    pub(crate) fn fencing_at(&self, position: LogPosition) -> FencingNumber {
        self.fencing.unwrap_or(LogPosition { era: self.era, ..position }.fencing())
    }
}
