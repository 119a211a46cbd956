//! What the holder of the duty writes to the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{FencingNumber, ProcessId};

/// Final figures of one usage window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests that began to run, by client account.
    pub counts: BTreeMap<Box<str>, u64>,
}

/// Closes usage windows and claims or keeps the duty of reporting them.
///
/// Each record holds all recent windows, so that the newest one is enough to go on from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The process that may report.
    pub holder: ProcessId,
    /// Fencing number of the holder; the record's own offset if it is the holder's first.
    pub fencing: Option<FencingNumber>,
    /// Windows whose figures never change again.
    pub windows: Vec<ClosedWindow>,
    /// Whether the holder gives the duty up with this record.
    #[serde(default)]
    pub released: bool,
}
