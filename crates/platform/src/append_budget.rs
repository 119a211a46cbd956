//! Limits on the appends of one process.

use std::time::Duration;

/// Limits on the rate and size of a process's append batches and on its queue of records.
///
/// The platform accepts several hundred appends per second for the whole fleet, so each process
/// appends records in batches with a minimum interval between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendBudget {
    /// Minimum time between the starts of two batches.
    pub interval: Duration,
    /// Maximum number of records in a batch.
    pub max_records: usize,
    /// Maximum size of a batch, in bytes; a larger record is appended alone.
    pub max_bytes: usize,
    /// Maximum number of queued records; further records are rejected.
    pub max_pending: usize,
}

impl Default for AppendBudget {
    /// Returns a budget of one batch every 2 s.
    fn default() -> AppendBudget {
        AppendBudget {
            interval: Duration::from_secs(2),
            max_records: 256,
            max_bytes: 256 * 1024,
            max_pending: 8192,
        }
    }
}
