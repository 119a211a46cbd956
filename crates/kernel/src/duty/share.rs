//! What one process counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::ProcessId;

/// Windows that a process keeps telling of, the current one among them.
const KEPT_WINDOWS: u64 = 5;

/// Requests that began to run, by window and client account.
type WindowCounts = BTreeMap<u64, BTreeMap<Box<str>, u64>>;

/// What one process counted, for the process that reports usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageShare {
    /// The process.
    pub process: ProcessId,
    /// Wall-clock milliseconds up to which the counts are whole.
    pub until_ms: u64,
    /// Counts of recent windows.
    pub counts: WindowCounts,
}

/// Counts requests as they begin to run.
#[derive(Clone, Debug)]
pub struct UsageTally {
    process: ProcessId,
    window_ms: u64,
    counts: WindowCounts,
}

impl UsageTally {
    /// Returns a tally that has counted nothing, for windows of `window_ms` milliseconds.
    pub fn new(process: ProcessId, window_ms: u64) -> UsageTally {
        UsageTally { process, window_ms: window_ms.max(1), counts: BTreeMap::new() }
    }

    /// Counts a request of `account` that began to run at `wall_ms`.
    pub fn note_start(&mut self, wall_ms: u64, account: &str) {
        let window = self.counts.entry(wall_ms / self.window_ms).or_default();
        *window.entry(account.into()).or_default() += 1;
    }

    /// Returns what was counted until `wall_ms`, and forgets windows long past.
    pub fn share(&mut self, wall_ms: u64) -> UsageShare {
        let oldest = (wall_ms / self.window_ms).saturating_sub(KEPT_WINDOWS);
        self.counts.retain(|window, _| *window >= oldest);
        UsageShare { process: self.process.clone(), until_ms: wall_ms, counts: self.counts.clone() }
    }
}
