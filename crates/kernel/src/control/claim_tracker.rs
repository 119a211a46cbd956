//! Claims of one entry on idempotency keys.
//!
//! A request is sent to an endpoint only after its claim has been read back from the log as the
//! first claim of its key.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    control::{ClaimChange, ClaimTable, RepeatAnswer},
    ids::{ProcessId, RequestId},
    record::{ClaimOpened, ClaimOutcome, ClaimSettled, StateRecord},
    time::TimePoint,
};

/// Time after which a record that was not read back from the log is appended again.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Decision on a request that carries an `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Send nothing until [`ClaimEvent::Won`] or [`ClaimEvent::Lost`] arrives.
    Wait,
    /// Return this answer, because an earlier request used the same key.
    Repeat(RepeatAnswer),
    /// Report that the request did not run, because the log cannot accept a claim now.
    NotRun,
}

/// Effect of a log record on a request that waits for its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The attempt holds the claim: send it once and call [`ClaimTracker::settle`] when it ends.
    Won {
        /// Identifier of the attempt.
        attempt: RequestId,
    },
    /// Another attempt holds the claim.
    Lost {
        /// Identifier of the attempt.
        attempt: RequestId,
        /// Answer for the caller of this attempt.
        answer: RepeatAnswer,
    },
}

/// A record that is appended repeatedly until it is read back from the log.
#[derive(Clone, Debug)]
struct OutgoingRecord {
    record: StateRecord,
    /// Time of the last append; `None` before the first.
    sent: Option<TimePoint>,
}

/// Tracks the claims of one entry from the first append until their outcome is in the log.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    entry: ProcessId,
    table: ClaimTable,
    /// Attempts whose claim has not been read back.
    waiting: BTreeMap<RequestId, OutgoingRecord>,
    /// Attempts that hold their claim and have not ended.
    running: BTreeSet<RequestId>,
    /// Attempts that ended and whose outcome has not been read back.
    unconfirmed_outcomes: BTreeMap<RequestId, OutgoingRecord>,
}

impl ClaimTracker {
    /// Returns a tracker for `entry` with an empty table that keeps claims for `retention`.
    pub fn new(entry: ProcessId, retention: Duration) -> ClaimTracker {
        ClaimTracker {
            entry,
            table: ClaimTable::new(retention),
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            unconfirmed_outcomes: BTreeMap::new(),
        }
    }

    /// Returns the claims read from the log.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Returns the claims read from the log, for restoring a snapshot.
    pub fn table_mut(&mut self) -> &mut ClaimTable {
        &mut self.table
    }

    /// Decides whether an attempt of a request with an `Idempotency-Key` may claim its key.
    ///
    /// `key` comes from [`claim_key`](crate::control::claim_key), and `fingerprint` is a hash of
    /// the model and the body. `log_available` says whether the log answers requests. `is_alive`
    /// reports whether the given run of a process is still alive.
    pub fn begin(
        &mut self,
        key: &str,
        attempt: RequestId,
        fingerprint: u64,
        log_available: bool,
        is_alive: impl Fn(&ProcessId) -> bool,
    ) -> ClaimDecision {
        if let Some(state) = self.table.claim(key)
            && let Some(answer) =
                RepeatAnswer::new(state, fingerprint, is_alive(&state.opened.owner))
        {
            return ClaimDecision::Repeat(answer);
        }
        if !log_available {
            return ClaimDecision::NotRun;
        }
        let opened =
            ClaimOpened { key: key.into(), owner: self.entry.clone(), attempt, fingerprint };
        let record = StateRecord::ClaimOpened(opened);
        self.waiting.insert(attempt, OutgoingRecord { record, sent: None });
        ClaimDecision::Wait
    }

    /// Stops waiting for the claim of `attempt`, at a deadline or because the log does not answer.
    ///
    /// Returns `true` if the attempt was waiting; its caller may then be told that the request did
    /// not run. Returns `false` if the claim was already won or lost.
    pub fn give_up(&mut self, attempt: RequestId) -> bool {
        self.waiting.remove(&attempt).is_some()
    }

    /// Records how a running attempt ended; an attempt that is not running is ignored.
    pub fn settle(&mut self, key: &str, attempt: RequestId, outcome: ClaimOutcome) {
        if self.running.remove(&attempt) {
            self.queue_settlement(key, attempt, outcome);
        }
    }

    /// Reports whether no attempt waits or runs and every outcome has been read back.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty() && self.unconfirmed_outcomes.is_empty()
    }

    /// Returns the records that are due for appending; write all of them in one append.
    pub fn next_appends(&mut self, now: TimePoint) -> Vec<StateRecord> {
        let outgoing = self.waiting.values_mut().chain(self.unconfirmed_outcomes.values_mut());
        let due = outgoing.filter(|outgoing| {
            outgoing.sent.is_none_or(|sent| now.since(sent) >= APPEND_RETRY_INTERVAL)
        });
        due.map(|outgoing| {
            outgoing.sent = Some(now);
            outgoing.record.clone()
        })
        .collect()
    }

    /// Applies a record of the `state` stream.
    ///
    /// `at_ms` is the log's time of the record, in milliseconds since 1970. Returns an event if
    /// the record decides the claim of an attempt that waits at this entry.
    pub fn read(
        &mut self,
        at_ms: u64,
        record: &StateRecord,
        is_alive: impl Fn(&ProcessId) -> bool,
    ) -> Option<ClaimEvent> {
        let change = self.table.apply(at_ms, record);
        match record {
            StateRecord::ClaimOpened(opened) if opened.owner == self.entry => {
                self.read_own_claim(opened, change, is_alive)
            }
            StateRecord::ClaimSettled(settled) => {
                if self
                    .unconfirmed_outcomes
                    .get(&settled.attempt)
                    .is_some_and(|own| own.record == *record)
                {
                    self.unconfirmed_outcomes.remove(&settled.attempt);
                }
                None
            }
            _ => None,
        }
    }

    fn read_own_claim(
        &mut self,
        opened: &ClaimOpened,
        change: ClaimChange,
        is_alive: impl Fn(&ProcessId) -> bool,
    ) -> Option<ClaimEvent> {
        let attempt = opened.attempt;
        let was_waiting = self.waiting.remove(&attempt).is_some();
        match (change, was_waiting) {
            (ClaimChange::Opened, true) => {
                self.running.insert(attempt);
                Some(ClaimEvent::Won { attempt })
            }
            // Nobody waits for this claim any more: settle it as not run to free the key.
            (ClaimChange::Opened, false) if !self.running.contains(&attempt) => {
                self.queue_settlement(&opened.key, attempt, ClaimOutcome::NotRun);
                None
            }
            (_, true) => {
                let state = self.table.claim(&opened.key)?;
                let owner_alive = is_alive(&state.opened.owner);
                let answer = RepeatAnswer::new(state, opened.fingerprint, owner_alive)?;
                Some(ClaimEvent::Lost { attempt, answer })
            }
            (_, false) => None,
        }
    }

    /// Queues the outcome of an attempt for appending until it is read back from the log.
    fn queue_settlement(&mut self, key: &str, attempt: RequestId, outcome: ClaimOutcome) {
        let settled = ClaimSettled { key: key.into(), attempt, outcome };
        let record = StateRecord::ClaimSettled(settled);
        self.unconfirmed_outcomes.insert(attempt, OutgoingRecord { record, sent: None });
    }
}
