//! The suspects that one entry knows, and what other entries lack of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{
        ChangeLog, CompletedSet, CrashEvidence, CrashRecord, LedgerPosition, SuspectLimits,
        SuspectTable, SuspectVerdict,
    },
    time::TimePoint,
};

/// Maximum number of requests in one [`SuspectDelta`]; the rest follows in later ones.
pub const MAX_DELTA: usize = 256;

/// The changes of a ledger since a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDelta {
    /// Position after these changes.
    pub position: LedgerPosition,
    /// The requests that changed, with all their crash records.
    pub suspects: SuspectTable,
}

/// Holds the crash records of requests for one entry and decides which requests it may send.
///
/// Entries exchange the changes of their ledgers. As the merge of two tables is a join, entries
/// that have exchanged all changes reach the same verdicts, whatever the order.
#[derive(Debug)]
pub struct SuspectLedger {
    table: SuspectTable,
    /// Requests that completed recently, which cannot have crashed an endpoint.
    completed: CompletedSet,
    changes: ChangeLog,
}

impl SuspectLedger {
    /// Returns a ledger without suspects for the process run `incarnation`.
    pub fn new(incarnation: u64, limits: SuspectLimits) -> SuspectLedger {
        SuspectLedger {
            table: SuspectTable::new().with_limits(limits),
            completed: CompletedSet::default(),
            changes: ChangeLog::new(incarnation),
        }
    }

    /// Returns whether a request may run, must be kept apart or must be refused.
    pub fn verdict(&self, now: TimePoint, fingerprint: u64) -> SuspectVerdict {
        self.table.verdict(now, fingerprint)
    }

    /// Returns the time until a request is no longer refused if nothing else changes.
    pub fn refused_for(&self, now: TimePoint, fingerprint: u64) -> Duration {
        self.table.refused_for(now, fingerprint)
    }

    /// Returns the crash records of all requests.
    pub fn table(&self) -> &SuspectTable {
        &self.table
    }

    /// Records that a run of an endpoint crashed while these requests ran there.
    ///
    /// `crash_id` tells the runs of an endpoint apart. Requests that completed before are left out.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
    ) {
        let suspects = self.without_completed(fingerprints);
        self.change(&suspects, |table| table.record_crash(now, endpoint, crash_id, &suspects));
    }

    /// Records that a run of an endpoint has not answered since these requests ran there, which may
    /// be due to a crash; the records count until [`withdraw`](SuspectLedger::withdraw) is called.
    pub fn record_unconfirmed_crash(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
    ) {
        let suspects = self.without_completed(fingerprints);
        self.change(&suspects, |table| {
            table.record_unconfirmed_crash(now, endpoint, crash_id, &suspects);
        });
    }

    fn without_completed(&self, fingerprints: &[u64]) -> Vec<u64> {
        let suspects = fingerprints.iter().filter(|suspect| !self.completed.contains(**suspect));
        suspects.copied().collect()
    }

    /// Records that a run of an endpoint answers, so that its unconfirmed crash did not happen.
    pub fn withdraw(&mut self, now: TimePoint, endpoint: &str, crash_id: u64) {
        let present = self.table.present_at(endpoint, crash_id);
        self.change(&present, |table| table.withdraw_unconfirmed_crash(now, endpoint, crash_id));
    }

    /// Records that a request completed at an endpoint.
    pub fn note_completed(&mut self, now: TimePoint, fingerprint: u64) {
        self.completed.insert(fingerprint);
        if !self.table.crashes(fingerprint).is_empty() {
            self.change(&[fingerprint], |table| table.exonerate(now, fingerprint));
        }
    }

    /// Merges the crash records of a request that another process knew at `now`.
    pub fn merge_records(&mut self, now: TimePoint, fingerprint: u64, records: &[CrashRecord]) {
        self.change(&[fingerprint], |table| {
            table.advance(now);
            table.merge_records(fingerprint, records);
        });
        if self.completed.contains(fingerprint) {
            self.change(&[fingerprint], |table| table.exonerate(now, fingerprint));
        }
    }

    /// Merges the changes of another entry's ledger.
    pub fn merge(&mut self, now: TimePoint, delta: &SuspectDelta) {
        for fingerprint in delta.suspects.fingerprints() {
            self.merge_records(now, fingerprint, delta.suspects.crashes(fingerprint));
        }
    }

    /// Returns the position after all changes so far.
    pub fn position(&self) -> LedgerPosition {
        self.changes.position()
    }

    /// Returns the changes after `seen`, a position of this ledger that another entry has reached;
    /// a position of an earlier run of this process counts as the start.
    pub fn changes_since(&self, now: TimePoint, seen: LedgerPosition) -> SuspectDelta {
        let (position, fingerprints) = self.changes.since(seen, MAX_DELTA);
        SuspectDelta { position, suspects: self.table.part(now, &fingerprints) }
    }

    /// Applies `apply` to the table and numbers the changes of these requests.
    fn change(&mut self, fingerprints: &[u64], apply: impl FnOnce(&mut SuspectTable)) {
        let before: Vec<_> =
            fingerprints.iter().map(|fingerprint| self.evidence(*fingerprint)).collect();
        apply(&mut self.table);
        for (fingerprint, before) in fingerprints.iter().zip(before) {
            if self.evidence(*fingerprint) != before {
                self.changes.note(*fingerprint);
            }
        }
        self.drop_forgotten();
    }

    /// Drops the numbers of requests that expired or were evicted, once they outnumber the others.
    fn drop_forgotten(&mut self) {
        if self.changes.len() > 2 * self.table.len() + MAX_DELTA {
            self.changes.retain(|fingerprint| !self.table.crashes(fingerprint).is_empty());
        }
    }

    /// Returns what other entries must know of a request: its crashes, without their ages.
    fn evidence(&self, fingerprint: u64) -> Vec<(Box<str>, u64, CrashEvidence)> {
        let records = self.table.crashes(fingerprint).iter();
        records.map(|record| (record.endpoint.clone(), record.crash_id, record.evidence)).collect()
    }
}
