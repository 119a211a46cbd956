//! A change of a limit, for the log.

use std::time::Duration;

use crate::send_limit::LimitScope;

/// Where an entry learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitEvidence {
    /// An answer that this entry got.
    Answer,
    /// The hub or an asker.
    Peer,
}

impl LimitEvidence {
    /// Returns the name of the evidence in logs.
    pub fn label(self) -> &'static str {
        match self {
            LimitEvidence::Answer => "answer",
            LimitEvidence::Peer => "peer",
        }
    }
}

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// What the limit holds for.
    pub scope: LimitScope,
    /// The limit in requests a second; `None` if it has ended.
    pub limit: Option<f64>,
    /// Where this entry learned of it.
    pub evidence: LimitEvidence,
    /// Time since the answer on which it rests.
    pub age: Duration,
}
