//! The crashes that requests were present at.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{CrashEvidence, CrashRecord},
    time::TimePoint,
};

/// Time for which a crash speaks against a request.
pub const CRASH_RECORD_TTL: Duration = Duration::from_secs(3600);

/// Most fingerprints in a table; the ones with the fewest and oldest crashes go first.
pub const MAX_SUSPECTS: usize = 4096;

/// Crashes at which a request is refused.
const MIN_REFUSED_CRASHES: usize = 2;

/// Most crashes kept for one fingerprint.
const MAX_CRASH_RECORDS: usize = 4;

/// Marks this close to their end are not sent on, so that copies made younger by the time on
/// the wire cannot bring back one that ended elsewhere.
const REPORT_MARGIN: Duration = Duration::from_secs(60);

/// What a table says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectVerdict {
    /// Nothing speaks against it.
    Clear,
    /// It was present at one crash: it runs apart from other suspects.
    Isolate,
    /// It was present at two crashes: it does not run.
    Refuse,
}

/// The crashes that requests were present at, by fingerprint.
///
/// Times are kept as ages, so that a table means the same in every process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTable {
    /// Point at which the ages hold; of this process alone.
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

    /// Notes that an endpoint crashed while the requests with `fingerprints` ran there.
    ///
    /// Observers of the same crash must give the same `crash_id`, such as
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

    /// Notes that connections to an endpoint were lost while the requests ran there.
    pub fn record_claim(
        &mut self,
        now: TimePoint,
        endpoint: &str,
        crash_id: u64,
        fingerprints: &[u64],
    ) {
        self.add_crash(now, endpoint, crash_id, fingerprints, CrashEvidence::Claimed);
    }

    /// Notes that a claimed crash did not happen.
    pub fn withdraw_claim(&mut self, now: TimePoint, endpoint: &str, crash_id: u64) {
        self.advance(now);
        let records = self.records.values_mut().flatten();
        for record in
            records.filter(|record| record.crash_id == crash_id && &*record.endpoint == endpoint)
        {
            record.evidence = record.evidence.max(CrashEvidence::Withdrawn);
        }
    }

    /// Notes that the request completed.
    pub fn exonerate(&mut self, now: TimePoint, fingerprint: u64) {
        self.advance(now);
        for record in self.records.get_mut(&fingerprint).into_iter().flatten() {
            record.evidence = CrashEvidence::Exonerated;
        }
    }

    /// Returns what is to be done with the request.
    pub fn verdict(&self, now: TimePoint, fingerprint: u64) -> SuspectVerdict {
        match self.crashed_endpoints(now, fingerprint).count() {
            0 => SuspectVerdict::Clear,
            count if count < MIN_REFUSED_CRASHES => SuspectVerdict::Isolate,
            _ => SuspectVerdict::Refuse,
        }
    }

    /// Returns the endpoints whose crashes speak against the request.
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

    /// Returns whether a claimed crash of the request is younger than `span`.
    pub fn has_claim_within(&self, now: TimePoint, fingerprint: u64, span: Duration) -> bool {
        let elapsed = now.since(self.as_of);
        let records = self.records.get(&fingerprint).into_iter().flatten();
        records
            .filter(|record| record.evidence == CrashEvidence::Claimed)
            .any(|record| record.age + elapsed < span)
    }

    /// Joins the table of another entry; both tables' ages hold at the same moment.
    ///
    /// The join is commutative, associative and idempotent up to the bound on the size.
    pub fn merge(&mut self, other: &SuspectTable) {
        for (&fingerprint, records) in &other.records {
            records.iter().for_each(|record| self.merge_record(fingerprint, record));
        }
        self.shrink();
    }

    /// Lets all ages grow to `now`, and forgets what is too old.
    pub fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.as_of);
        self.as_of = self.as_of.max(now);
        self.records.retain(|_, records| {
            records.iter_mut().for_each(|record| record.age += elapsed);
            records.retain(|record| record.age < CRASH_RECORD_TTL);
            !records.is_empty()
        });
    }

    /// Returns the table for other entries, its ages as of `now`.
    pub fn report(&self, now: TimePoint) -> SuspectTable {
        let mut report = self.clone();
        report.advance(now);
        report.records.retain(|_, records| {
            records.retain(|record| record.age + REPORT_MARGIN < CRASH_RECORD_TTL);
            !records.is_empty()
        });
        report
    }

    /// Returns how many fingerprints the table holds.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table holds nothing.
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

    /// Forgets fingerprints until the table fits its bound.
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
