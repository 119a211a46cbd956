//! Answers to requests that repeat an `Idempotency-Key`.

use crate::{control::ClaimState, ids::ProcessId, record::ClaimOutcome};

/// Answer to a request whose `Idempotency-Key` was used before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepeatAnswer {
    /// The first attempt has not ended; ask its entry, or let the caller retry later.
    InProgress {
        /// Entry that runs the first attempt.
        owner: ProcessId,
    },
    /// The first attempt completed, and its entry still holds the answer.
    Held {
        /// Entry that holds the answer's body.
        owner: ProcessId,
        /// HTTP status of the first answer.
        status: u16,
        /// SHA-256 of the first answer's body.
        digest: Box<str>,
    },
    /// The first attempt completed, but the entry that held the answer is gone.
    Gone {
        /// HTTP status of the first answer.
        status: u16,
        /// SHA-256 of the first answer's body.
        digest: Box<str>,
    },
    /// The first attempt may have run; its outcome is unknown.
    OutcomeUnknown,
    /// The key was used for a request with another model or body.
    Mismatch,
}

impl RepeatAnswer {
    /// Returns the answer to a repeat with `fingerprint` of a claimed request.
    ///
    /// Returns `None` if the first attempt did not run, so that another attempt may run.
    /// `owner_alive` says whether the owner's run is still alive.
    pub fn new(state: &ClaimState, fingerprint: u64, owner_alive: bool) -> Option<RepeatAnswer> {
        if state.outcome == Some(ClaimOutcome::NotRun) {
            return None;
        }
        if state.opened.fingerprint != fingerprint {
            return Some(RepeatAnswer::Mismatch);
        }
        let owner = state.opened.owner.clone();
        Some(match state.outcome.clone() {
            None if owner_alive => RepeatAnswer::InProgress { owner },
            Some(ClaimOutcome::Completed { status, digest }) if owner_alive => {
                RepeatAnswer::Held { owner, status, digest }
            }
            Some(ClaimOutcome::Completed { status, digest }) => {
                RepeatAnswer::Gone { status, digest }
            }
            _ => RepeatAnswer::OutcomeUnknown,
        })
    }
}
