//! Records of the crashes that occurred while requests with a prompt part ran.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::suspect::CrashEvidence;

/// Records one crash of an endpoint at which requests with a prompt part were running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Identifier of the crash, unique for the endpoint.
    pub crash_id: u64,
    /// Time since the runs were lost.
    pub age: Duration,
    /// Time for which the youngest lost run with the part had lasted.
    pub ran: Duration,
    /// Time from the last completed run of any request of the service to the loss, as far as known.
    pub idle: Option<Duration>,
    /// Whether a request with the part had completed before.
    pub proven: bool,
    /// Whether a lost run with the part had been sent although the part was suspected, because
    /// another part may have been the cause.
    pub excused: bool,
    /// Evidence that the endpoint crashed.
    pub evidence: CrashEvidence,
}

impl PartCrash {
    /// Reports whether both records describe the same crash.
    pub fn same_crash(&self, other: &PartCrash) -> bool {
        self.crash_id == other.crash_id && self.endpoint == other.endpoint
    }

    /// Returns the time since the youngest lost run began.
    pub fn start_age(&self) -> Duration {
        self.age.saturating_add(self.ran)
    }

    /// Merges another record of the same crash.
    ///
    /// Each field keeps the value that knows more: the greater age, the younger run, the shorter
    /// time without a completed run and the higher evidence.
    pub fn merge(&mut self, other: &PartCrash) {
        self.age = self.age.max(other.age);
        self.ran = self.ran.min(other.ran);
        self.idle = match (self.idle, other.idle) {
            (Some(idle), Some(other)) => Some(idle.min(other)),
            (idle, other) => idle.or(other),
        };
        self.proven |= other.proven;
        self.excused |= other.excused;
        self.evidence = self.evidence.max(other.evidence);
    }
}
