//! An entry's claims for requests with an idempotency key.

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

/// Time for which a claim protects its idempotency key.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum time to wait until a claim is read back from the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a claim: whether the request with the idempotency key may run.
#[derive(Clone, Debug)]
pub(crate) enum ClaimVerdict {
    /// The request is the first with its key; its end must be settled.
    Run,
    /// The request repeats another one and is answered accordingly.
    Repeat(RepeatAnswer),
    /// The log does not accept claims now, so the request does not run.
    NotRun,
}

/// Holds the claims of one entry.
///
/// Traffic threads wait here until the control thread reads their claims back from the log.
#[derive(Debug)]
pub(crate) struct ClaimRegistry {
    inner: Mutex<RegistryInner>,
}

#[derive(Debug)]
struct RegistryInner {
    tracker: ClaimTracker,
    /// Requests that wait for the outcome of their claim.
    waiting: HashMap<RequestId, oneshot::Sender<ClaimVerdict>>,
}

/// Identifies one attempt to claim an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct ClaimAttempt {
    /// Hash of account and idempotency key.
    pub(crate) key: Box<str>,
    /// Request that makes the claim.
    pub(crate) request: RequestId,
    /// Hash of account, model and body.
    pub(crate) fingerprint: u64,
}

impl ClaimRegistry {
    /// Returns a registry without claims for the run `entry` of this process.
    pub(crate) fn new(entry: ProcessId) -> ClaimRegistry {
        let tracker = ClaimTracker::new(entry, CLAIM_RETENTION);
        ClaimRegistry { inner: Mutex::new(RegistryInner { tracker, waiting: HashMap::new() }) }
    }

    /// Claims the idempotency key of a request and waits for the outcome in the log.
    ///
    /// `time_left` is the time to the request's deadline; `is_alive` reports whether a run of a
    /// process is alive.
    pub(crate) async fn claim(
        &self,
        attempt: &ClaimAttempt,
        log_up: bool,
        is_alive: impl Fn(&ProcessId) -> bool,
        time_left: Duration,
    ) -> ClaimVerdict {
        let mut receiver = {
            let mut inner = self.lock();
            let request = attempt.request;
            let decision =
                inner.tracker.begin(&attempt.key, request, attempt.fingerprint, log_up, is_alive);
            match decision {
                ClaimDecision::Repeat(answer) => return ClaimVerdict::Repeat(answer),
                ClaimDecision::NotRun => return ClaimVerdict::NotRun,
                ClaimDecision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiting.insert(request, sender);
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
        // The verdict was sent between the timeout and `give_up`.
        receiver.await.unwrap_or(ClaimVerdict::NotRun)
    }

    /// Records how a request that won its claim has ended.
    pub(crate) fn settle(&self, attempt: &ClaimAttempt, end: ClaimOutcome) {
        self.lock().tracker.settle(&attempt.key, attempt.request, end);
    }

    /// Returns the records to append now.
    pub(crate) fn next_appends(&self, now: TimePoint) -> Vec<StateRecord> {
        self.lock().tracker.next_appends(now)
    }

    /// Applies a record of the `state` stream that was appended at `at_ms`.
    pub(crate) fn read(
        &self,
        at_ms: u64,
        record: &StateRecord,
        is_alive: impl Fn(&ProcessId) -> bool,
    ) {
        let mut inner = self.lock();
        let (attempt, verdict) = match inner.tracker.read(at_ms, record, is_alive) {
            Some(ClaimEvent::Won { attempt }) => (attempt, ClaimVerdict::Run),
            Some(ClaimEvent::Lost { attempt, answer }) => (attempt, ClaimVerdict::Repeat(answer)),
            None => return,
        };
        let Some(waiter) = inner.waiting.remove(&attempt) else { return };
        if waiter.send(verdict).is_err() {
            // The caller disconnected before the claim was won, so no request was sent.
            if let StateRecord::ClaimOpened(opened) = record {
                inner.tracker.settle(&opened.key, attempt, ClaimOutcome::NotRun);
            }
        }
    }

    /// Returns the highest append time read so far, in milliseconds, and all claims.
    pub(crate) fn snapshot(&self) -> (u64, Vec<ClaimState>) {
        let inner = self.lock();
        let table = inner.tracker.table();
        (table.log_ms(), table.claims().cloned().collect())
    }

    /// Restores the claims of a snapshot.
    pub(crate) fn restore(&self, log_ms: u64, claims: &[ClaimState]) {
        self.lock().tracker.table_mut().restore(log_ms, claims);
    }

    /// Reports whether no request waits or runs under a claim and the log holds the end of each.
    pub(crate) fn is_settled(&self) -> bool {
        self.lock().tracker.is_settled()
    }

    /// Abandons the claim of a request and reports whether the claim was still undecided.
    fn give_up(&self, request: RequestId) -> bool {
        let mut inner = self.lock();
        let waited = inner.tracker.give_up(request);
        if waited {
            inner.waiting.remove(&request);
        }
        waited
    }

    fn lock(&self) -> MutexGuard<'_, RegistryInner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
