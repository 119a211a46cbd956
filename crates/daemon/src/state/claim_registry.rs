//! Claims of requests that carry an idempotency key.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use pimentorock_kernel::{
    control::{ClaimDecision, ClaimEvent, ClaimState, ClaimTracker, RepeatAnswer},
    ids::{ProcessId, RequestId},
    record::{ClaimOutcome, StateRecord},
    time::TimePoint,
};
use tokio::sync::oneshot;

/// Time for which the log remembers a claim.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Longest wait for a claim to be read back from the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a request with an idempotency key may run.
#[derive(Clone, Debug)]
pub(crate) enum ClaimVerdict {
    /// It is the first; its end must be settled.
    Run,
    /// It repeats another.
    Repeat(RepeatAnswer),
    /// The log takes no claim now, so it does not run.
    NotRun,
}

/// Claims of one entry; traffic threads wait here for the control thread to read the log.
#[derive(Debug)]
pub(crate) struct ClaimRegistry {
    parts: Mutex<RegistryParts>,
}

#[derive(Debug)]
struct RegistryParts {
    keeper: ClaimTracker,
    waiting: HashMap<RequestId, oneshot::Sender<ClaimVerdict>>,
}

/// What identifies one claim.
#[derive(Clone, Debug)]
pub(crate) struct ClaimAttempt {
    /// Hash of account and idempotency key.
    pub(crate) key: Box<str>,
    /// The request.
    pub(crate) request: RequestId,
    /// Hash of account, model and body.
    pub(crate) fingerprint: u64,
}

impl ClaimRegistry {
    /// Returns a registry of the entry's run without claims.
    pub(crate) fn new(entry: ProcessId) -> ClaimRegistry {
        let keeper = ClaimTracker::new(entry, CLAIM_RETENTION);
        ClaimRegistry { parts: Mutex::new(RegistryParts { keeper, waiting: HashMap::new() }) }
    }

    /// Claims the right to run a request, waiting for the log.
    pub(crate) async fn claim(
        &self,
        attempt: &ClaimAttempt,
        log_up: bool,
        lives: impl Fn(&ProcessId) -> bool,
        time_left: Duration,
    ) -> ClaimVerdict {
        let mut receiver = {
            let mut parts = self.lock();
            let request = attempt.request;
            let decision =
                parts.keeper.begin(&attempt.key, request, attempt.fingerprint, log_up, lives);
            match decision {
                ClaimDecision::Repeat(answer) => return ClaimVerdict::Repeat(answer),
                ClaimDecision::NotRun => return ClaimVerdict::NotRun,
                ClaimDecision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    parts.waiting.insert(request, sender);
                    receiver
                }
            }
        };
        let waited = tokio::time::timeout(time_left.min(CLAIM_TIMEOUT), &mut receiver).await;
        if let Ok(Ok(verdict)) = waited {
            return verdict;
        }
        if self.give_up(attempt.request) {
            return ClaimVerdict::NotRun;
        }
        // The verdict came between the timeout and giving up.
        receiver.await.unwrap_or(ClaimVerdict::NotRun)
    }

    /// Notes how a request that was allowed to run has ended.
    pub(crate) fn settle(&self, attempt: &ClaimAttempt, end: ClaimOutcome) {
        self.lock().keeper.settle(&attempt.key, attempt.request, end);
    }

    /// Returns the records to append now.
    pub(crate) fn next_appends(&self, now: TimePoint) -> Vec<StateRecord> {
        self.lock().keeper.next_appends(now)
    }

    /// Takes a record of the `state` stream.
    pub(crate) fn read(
        &self,
        at_ms: u64,
        record: &StateRecord,
        lives: impl Fn(&ProcessId) -> bool,
    ) {
        let mut parts = self.lock();
        let (attempt, verdict) = match parts.keeper.read(at_ms, record, lives) {
            Some(ClaimEvent::Won { attempt }) => (attempt, ClaimVerdict::Run),
            Some(ClaimEvent::Lost { attempt, answer }) => (attempt, ClaimVerdict::Repeat(answer)),
            None => return,
        };
        let Some(waiter) = parts.waiting.remove(&attempt) else { return };
        if waiter.send(verdict).is_err() {
            // The caller hung up before the claim was won: nothing was sent.
            if let StateRecord::ClaimOpened(opened) = record {
                parts.keeper.settle(&opened.key, attempt, ClaimOutcome::NotRun);
            }
        }
    }

    /// Returns the highest time of the log so far and all claims, for a snapshot.
    pub(crate) fn snapshot(&self) -> (u64, Vec<ClaimState>) {
        let parts = self.lock();
        let table = parts.keeper.table();
        (table.log_ms(), table.claims().cloned().collect())
    }

    /// Takes over the claims of a snapshot.
    pub(crate) fn restore(&self, log_ms: u64, claims: &[ClaimState]) {
        self.lock().keeper.table_mut().restore(log_ms, claims);
    }

    /// Returns whether no claim waits or runs, and the end of each is in the log.
    pub(crate) fn is_settled(&self) -> bool {
        self.lock().keeper.is_settled()
    }

    fn give_up(&self, request: RequestId) -> bool {
        let mut parts = self.lock();
        let waited = parts.keeper.give_up(request);
        if waited {
            parts.waiting.remove(&request);
        }
        waited
    }

    fn lock(&self) -> MutexGuard<'_, RegistryParts> {
        self.parts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
