//! The usage that one process counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ids::ProcessId, time::MAX_WALL_MS};

/// Number of past windows whose counts a process sends besides those of the current window.
const KEPT_WINDOWS: u64 = 5;

/// Highest number of requests of one account in a window that a share may state.
const MAX_COUNT: u64 = 1_000_000_000;

/// Reports whether that many requests of one account can start in a window.
pub(super) fn is_count(count: u64) -> bool {
    count <= MAX_COUNT
}

/// Requests that started to run, by window and client account.
type WindowCounts = BTreeMap<u64, BTreeMap<Box<str>, u64>>;

/// Usage counts that one process sends to the holder of the usage duty, which adds up the counts of
/// all processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageShare {
    /// Process that counted.
    pub process: ProcessId,
    /// Wall-clock time up to which the counts are complete, in milliseconds since 1970.
    pub until_ms: u64,
    /// Counts of recent windows, by window number.
    pub counts: WindowCounts,
}

impl UsageShare {
    /// Reports whether a process can have counted this.
    pub fn is_readable(&self) -> bool {
        let mut counts = self.counts.values().flat_map(BTreeMap::values);
        self.until_ms <= MAX_WALL_MS && counts.all(|count| is_count(*count))
    }
}

/// Counts requests as they start to run.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    process: ProcessId,
    window_ms: u64,
    counts: WindowCounts,
}

impl UsageCounter {
    /// Returns a counter without counts, for windows of `window_ms` milliseconds.
    pub fn new(process: ProcessId, window_ms: u64) -> UsageCounter {
        UsageCounter { process, window_ms: window_ms.max(1), counts: BTreeMap::new() }
    }

    /// Counts a request of `account` that started to run at `wall_ms`.
    pub fn note_start(&mut self, wall_ms: u64, account: &str) {
        let window = self.counts.entry(wall_ms / self.window_ms).or_default();
        *window.entry(account.into()).or_default() += 1;
    }

    /// Returns the counts up to `wall_ms` and drops all windows except the current one and the last
    /// `KEPT_WINDOWS`.
    pub fn share(&mut self, wall_ms: u64) -> UsageShare {
        let oldest = (wall_ms / self.window_ms).saturating_sub(KEPT_WINDOWS);
        self.counts.retain(|window, _| *window >= oldest);
        UsageShare { process: self.process.clone(), until_ms: wall_ms, counts: self.counts.clone() }
    }
}
