//! Records of the crashes that occurred while a request ran.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The evidence for or against a request in a crash record; a merge keeps the highest value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvidence {
    /// An entry lost its connection to the endpoint while the request ran, which may be due to a
    /// crash.
    #[serde(rename = "claimed")]
    Unconfirmed,
    /// The endpoint had not crashed, so the unconfirmed crash was withdrawn.
    Withdrawn,
    /// The agent of the endpoint observed the crash.
    Confirmed,
    /// The request completed at an endpoint, so it does not cause crashes.
    Exonerated,
}

impl CrashEvidence {
    /// Reports whether the evidence makes a request a suspect.
    pub fn counts_against(self) -> bool {
        matches!(self, CrashEvidence::Unconfirmed | CrashEvidence::Confirmed)
    }
}

/// Records one crash of an endpoint at which a request was running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Identifier of the crash, unique for the endpoint.
    pub crash_id: u64,
    /// Time since the crash was first recorded.
    pub age: Duration,
    /// Evidence for or against the request.
    pub evidence: CrashEvidence,
}

impl CrashRecord {
    /// Reports whether the record makes the request a suspect.
    pub fn counts_against(&self) -> bool {
        self.evidence.counts_against()
    }

    /// Reports whether both records describe the same crash.
    pub fn same_crash(&self, other: &CrashRecord) -> bool {
        self.crash_id == other.crash_id && self.endpoint == other.endpoint
    }

    /// Merges another record of the same crash and keeps the greater age and the higher evidence.
    pub fn merge(&mut self, other: &CrashRecord) {
        self.age = self.age.max(other.age);
        self.evidence = self.evidence.max(other.evidence);
    }
}
