//! The table of suspects and the crashes at which they ran.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{CrashEvidence, CrashRecord, SuspectLimits},
    time::TimePoint,
};

/// Maximum number of fingerprints in a table; the fingerprints with the fewest and oldest crashes
/// are evicted first.
pub const MAX_SUSPECTS: usize = 4096;

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
    /// The request was present at a crash and is isolated from other suspects where possible.
    Isolate,
    /// The request was present at as many crashes as the limits allow and must not run.
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
    #[serde(skip)]
    limits: SuspectLimits,
    #[serde(rename = "marks")]
    records: BTreeMap<u64, Vec<CrashRecord>>,
}

impl SuspectTable {
    /// Returns a table without suspects and with the limits of [`SuspectLimits::gated`].
    pub fn new() -> SuspectTable {
        SuspectTable::default()
    }

    /// Returns this table with other limits.
    pub fn with_limits(self, limits: SuspectLimits) -> SuspectTable {
        SuspectTable { limits, ..self }
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

    /// Returns the limits of the table.
    pub fn limits(&self) -> SuspectLimits {
        self.limits
    }

    /// Returns whether the request may run, must be isolated or must be refused.
    pub fn verdict(&self, now: TimePoint, fingerprint: u64) -> SuspectVerdict {
        let SuspectLimits { crashes, crashes_of_sole_suspect, .. } = self.limits;
        match self.crashed_endpoints(now, fingerprint).count() {
            0 => SuspectVerdict::Clear,
            count if count >= crashes => SuspectVerdict::Refuse,
            count if count >= crashes_of_sole_suspect && self.is_sole_suspect(now, fingerprint) => {
                SuspectVerdict::Refuse
            }
            _ => SuspectVerdict::Isolate,
        }
    }

    /// Reports whether the request is the only one left that may have caused one of its crashes.
    fn is_sole_suspect(&self, now: TimePoint, fingerprint: u64) -> bool {
        let others = || self.records.iter().filter(|(other, _)| **other != fingerprint);
        let is_sole = |record: &CrashRecord| {
            let mut company = others().flat_map(|(_, records)| records);
            !company.any(|other| other.same_crash(record) && other.counts_against())
        };
        self.counted(now, fingerprint).any(is_sole)
    }

    /// Returns the crash records of a request that count against it.
    fn counted(&self, now: TimePoint, fingerprint: u64) -> impl Iterator<Item = &CrashRecord> {
        let elapsed = now.since(self.as_of);
        let records = self.records.get(&fingerprint).into_iter().flatten();
        records.filter(move |record| {
            record.counts_against() && record.age.saturating_add(elapsed) < self.limits.ttl
        })
    }

    /// Returns the time until a request is no longer refused if nothing else changes.
    pub fn refused_for(&self, now: TimePoint, fingerprint: u64) -> Duration {
        let elapsed = now.since(self.as_of);
        let oldest =
            self.counted(now, fingerprint).map(|record| record.age.saturating_add(elapsed)).max();
        oldest.map_or(Duration::ZERO, |age| self.limits.ttl.saturating_sub(age))
    }

    /// Returns the crash records of a request, in the order of endpoint and crash.
    pub fn crashes(&self, fingerprint: u64) -> &[CrashRecord] {
        self.records.get(&fingerprint).map_or(&[], Vec::as_slice)
    }

    /// Returns the fingerprints in the table, in ascending order.
    pub fn fingerprints(&self) -> impl Iterator<Item = u64> {
        self.records.keys().copied()
    }

    /// Returns the fingerprints with a record of a crash, in ascending order.
    pub fn present_at(&self, endpoint: &str, crash_id: u64) -> Vec<u64> {
        let is_crash =
            |record: &CrashRecord| record.crash_id == crash_id && &*record.endpoint == endpoint;
        let present = self.records.iter().filter(|(_, records)| records.iter().any(is_crash));
        present.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns a copy of the table with ages as of `now` and without expired records.
    pub fn part_of_all(&self, now: TimePoint) -> SuspectTable {
        let mut copy = self.clone();
        copy.advance(now);
        copy
    }

    /// Returns the part of the table with these fingerprints, with ages as of `now`.
    pub fn part(&self, now: TimePoint, fingerprints: &[u64]) -> SuspectTable {
        let rows = fingerprints
            .iter()
            .filter_map(|fingerprint| Some((*fingerprint, self.records.get(fingerprint)?.clone())));
        let mut part =
            SuspectTable { as_of: self.as_of, limits: self.limits, records: rows.collect() };
        part.advance(now);
        part
    }

    /// Returns the name of the endpoint for each crash that makes the request a suspect; an
    /// endpoint that crashed twice is returned twice.
    pub fn crashed_endpoints(
        &self,
        now: TimePoint,
        fingerprint: u64,
    ) -> impl Iterator<Item = &str> {
        self.counted(now, fingerprint).map(|record| &*record.endpoint)
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
            .any(|record| record.age.saturating_add(elapsed) < span)
    }

    /// Merges the table of another entry; the ages of both tables must refer to the same time.
    ///
    /// The merge is commutative, associative and idempotent unless the size limits apply.
    pub fn merge(&mut self, other: &SuspectTable) {
        for (&fingerprint, records) in &other.records {
            self.merge_records(fingerprint, records);
        }
    }

    /// Merges crash records of one request, with ages as of the last update of this table.
    pub fn merge_records(&mut self, fingerprint: u64, records: &[CrashRecord]) {
        records.iter().for_each(|record| self.merge_record(fingerprint, record));
        self.shrink();
    }

    /// Updates all ages to `now` and removes expired records.
    pub fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.as_of);
        self.as_of = self.as_of.max(now);
        self.records.retain(|_, records| {
            records.iter_mut().for_each(|record| record.age = record.age.saturating_add(elapsed));
            records.retain(|record| record.age < self.limits.ttl);
            !records.is_empty()
        });
    }

    /// Returns a copy of the table for other entries, with ages as of `now`.
    ///
    /// Records that expire soon are left out.
    pub fn report(&self, now: TimePoint) -> SuspectTable {
        let mut report = self.part_of_all(now);
        report.records.retain(|_, records| {
            records.retain(|record| record.age.saturating_add(REPORT_MARGIN) < self.limits.ttl);
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
