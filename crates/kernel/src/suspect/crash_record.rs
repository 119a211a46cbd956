//! One crash that a request was present at.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How sure it is that a crash speaks against a request; a merge keeps the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvidence {
    /// An entry lost its connection while the request ran.
    Claimed,
    /// The endpoint turned out not to have crashed.
    Withdrawn,
    /// The agent beside the endpoint saw the crash.
    Confirmed,
    /// The request completed at some endpoint, so it does not crash them.
    Exonerated,
}

/// One crash that a request was present at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Which of its crashes.
    pub crash_id: u64,
    /// Time since the first notice.
    pub age: Duration,
    /// How sure it is.
    pub evidence: CrashEvidence,
}

impl CrashRecord {
    /// Returns whether the mark speaks against the request.
    pub fn counts_against(&self) -> bool {
        matches!(self.evidence, CrashEvidence::Claimed | CrashEvidence::Confirmed)
    }

    /// Returns whether both marks are of the same crash.
    pub fn same_crash(&self, other: &CrashRecord) -> bool {
        self.crash_id == other.crash_id && self.endpoint == other.endpoint
    }

    /// Joins another mark of the same crash: the greater age and the stronger evidence.
    pub fn merge(&mut self, other: &CrashRecord) {
        self.age = self.age.max(other.age);
        self.evidence = self.evidence.max(other.evidence);
    }
}
