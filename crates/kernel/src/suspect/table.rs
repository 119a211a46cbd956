//! The table of suspects and the crashes at which they ran.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{CrashEvidence, CrashRecord},
    time::TimePoint,
};

/// Time to live of a crash record.
pub const CRASH_RECORD_TTL: Duration = Duration::from_secs(3600);

/// Maximum number of fingerprints in a table; the fingerprints with the fewest and oldest crashes
/// are evicted first.
pub const MAX_SUSPECTS: usize = 4096;

/// Number of crashes from which a request is refused.
const REFUSAL_CRASH_COUNT: usize = 2;

/// Maximum number of crash records of one fingerprint.
const MAX_CRASH_RECORDS: usize = 4;

/// Remaining time to live below which records are left out of reports.
///
/// The time in transit is not added to the age of a record, so a copy is slightly too young. The
/// margin prevents such a copy from restoring a record that already expired in another process.
const REPORT_MARGIN: Duration = Duration::from_secs(60);

/// The treatment of a request according to its crash records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectVerdict {
    /// The request is not a suspect.
    Clear,
    /// The request was present at one crash and is isolated from other suspects.
    Isolate,
    /// The request was present at two crashes and must not run.
    Refuse,
}

/// The crash records of requests, by fingerprint.
///
/// Records store ages instead of time points, so that processes with different clocks can
/// exchange tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTable {
    /// Time at which the ages were last updated, on the clock of this process; not serialised.
    #[serde(skip)]
    as_of: TimePoint,
    #[serde(rename = "marks")]
    records: BTreeMap<u64, Vec<CrashRecord>>,
}

impl SuspectTable {
    /// Returns a table without suspects.
    pub fn new() -> SuspectTable {
        SuspectTable::default()
    }

    /// Records a confirmed crash of an endpoint while the requests with `fingerprints` ran there.
    ///
    /// All observers of a crash must use the same `crash_id`, such as
    /// [`EndpointDigest::engine_run`](crate::route::EndpointDigest::engine_run).
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
    ) {
        self.add_crash(now, endpoint, crash_id, fingerprints, CrashEvidence::Confirmed);
    }

    /// Records an unconfirmed crash: the connections to an endpoint were lost while the requests
    /// with `fingerprints` ran there.
    ///
    /// The unconfirmed crash counts until
    /// [`withdraw_unconfirmed_crash`](SuspectTable::withdraw_unconfirmed_crash) or
    /// [`exonerate`](SuspectTable::exonerate) is called or the record expires.
    pub fn record_unconfirmed_crash(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
    ) {
        self.add_crash(now, endpoint, crash_id, fingerprints, CrashEvidence::Unconfirmed);
    }

    /// Records that an unconfirmed crash did not happen; a confirmed crash is not withdrawn.
    pub fn withdraw_unconfirmed_crash(&mut self, now: TimePoint, endpoint: &str, crash_id: u64) {
        self.advance(now);
        let records = self.records.values_mut().flatten();
        for record in
            records.filter(|record| record.crash_id == crash_id && &*record.endpoint == endpoint)
        {
            record.evidence = record.evidence.max(CrashEvidence::Withdrawn);
        }
    }

    /// Records that the request completed, which invalidates its crash records.
    pub fn exonerate(&mut self, now: TimePoint, fingerprint: u64) {
        self.advance(now);
        for record in self.records.get_mut(&fingerprint).into_iter().flatten() {
            record.evidence = CrashEvidence::Exonerated;
        }
    }

    /// Returns whether the request may run, must be isolated or must be refused.
    pub fn verdict(&self, now: TimePoint, fingerprint: u64) -> SuspectVerdict {
        match self.crashed_endpoints(now, fingerprint).count() {
            0 => SuspectVerdict::Clear,
            count if count < REFUSAL_CRASH_COUNT => SuspectVerdict::Isolate,
            _ => SuspectVerdict::Refuse,
        }
    }

    /// Returns the name of the endpoint for each crash that makes the request a suspect; an
    /// endpoint that crashed twice is returned twice.
    pub fn crashed_endpoints(
        &self,
        now: TimePoint,
        fingerprint: u64,
    ) -> impl Iterator<Item = &str> {
        let elapsed = now.since(self.as_of);
        let records = self.records.get(&fingerprint).into_iter().flatten();
        records
            .filter(move |record| {
                record.counts_against() && record.age + elapsed < CRASH_RECORD_TTL
            })
            .map(|record| &*record.endpoint)
    }

    /// Reports whether the request has an unconfirmed crash that is younger than `span`.
    pub fn has_unconfirmed_crash_within(
        &self,
        now: TimePoint,
        fingerprint: u64,
        span: Duration,
    ) -> bool {
        let elapsed = now.since(self.as_of);
        let records = self.records.get(&fingerprint).into_iter().flatten();
        records
            .filter(|record| record.evidence == CrashEvidence::Unconfirmed)
            .any(|record| record.age + elapsed < span)
    }

    /// Merges the table of another entry; the ages of both tables must refer to the same time.
    ///
    /// The merge is commutative, associative and idempotent unless the size limits apply.
    pub fn merge(&mut self, other: &SuspectTable) {
        for (&fingerprint, records) in &other.records {
            records.iter().for_each(|record| self.merge_record(fingerprint, record));
        }
        self.shrink();
    }

    /// Updates all ages to `now` and removes expired records.
    pub fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.as_of);
        self.as_of = self.as_of.max(now);
        self.records.retain(|_, records| {
            records.iter_mut().for_each(|record| record.age += elapsed);
            records.retain(|record| record.age < CRASH_RECORD_TTL);
            !records.is_empty()
        });
    }

    /// Returns a copy of the table for other entries, with ages as of `now`.
    ///
    /// Records that expire soon are left out.
    pub fn report(&self, now: TimePoint) -> SuspectTable {
        let mut report = self.clone();
        report.advance(now);
        report.records.retain(|_, records| {
            records.retain(|record| record.age + REPORT_MARGIN < CRASH_RECORD_TTL);
            !records.is_empty()
        });
        report
    }

    /// Returns the number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether the table contains no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn add_crash(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
        evidence: CrashEvidence,
    ) {
        self.advance(now);
        let record =
            CrashRecord { endpoint: endpoint.into(), crash_id, age: Duration::ZERO, evidence };
        fingerprints.iter().for_each(|&fingerprint| self.merge_record(fingerprint, &record));
        self.shrink();
    }

    fn merge_record(&mut self, fingerprint: u64, record: &CrashRecord) {
        let records = self.records.entry(fingerprint).or_default();
        if let Some(known) = records.iter_mut().find(|known| known.same_crash(record)) {
            known.merge(record);
            return;
        }
        records.push(record.clone());
        records.sort_by(|a, b| (&a.endpoint, a.crash_id).cmp(&(&b.endpoint, b.crash_id)));
        if records.len() > MAX_CRASH_RECORDS {
            let weakest =
                |record: &CrashRecord| (record.counts_against(), std::cmp::Reverse(record.age));
            let index = (0..records.len()).min_by_key(|&index| weakest(&records[index]));
            index.map(|index| records.remove(index));
        }
    }

    /// Evicts fingerprints until the table has at most [`MAX_SUSPECTS`].
    fn shrink(&mut self) {
        while self.records.len() > MAX_SUSPECTS {
            let rank = |records: &[CrashRecord]| {
                let youngest = records.iter().map(|record| record.age).min();
                (
                    records.iter().filter(|record| record.counts_against()).count(),
                    std::cmp::Reverse(youngest),
                )
            };
            let weakest = self.records.iter().min_by_key(|(_, records)| rank(records));
            let Some(fingerprint) = weakest.map(|(&fingerprint, _)| fingerprint) else { return };
            self.records.remove(&fingerprint);
        }
    }
}
