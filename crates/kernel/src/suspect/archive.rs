//! What the platform's log holds of the suspects, and what has to be written to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{CrashEvidence, CrashRecord, SuspectLedger},
    time::{MAX_WALL_MS, TimePoint, millis},
};

/// Maximum number of requests that are written at once.
const MAX_BATCH: usize = 256;

/// A crash record in the form in which the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Identifier of the crash, unique for the endpoint.
    pub crash_id: u64,
    /// Wall-clock time of the crash in milliseconds since 1970.
    pub at_ms: u64,
    /// Evidence for or against the request.
    pub evidence: CrashEvidence,
}

impl StoredCrash {
    fn new(record: &CrashRecord, wall_ms: u64) -> StoredCrash {
        StoredCrash {
            endpoint: record.endpoint.clone(),
            crash_id: record.crash_id,
            at_ms: wall_ms.saturating_sub(millis(record.age)),
            evidence: record.evidence,
        }
    }

    fn record(&self, wall_ms: u64) -> CrashRecord {
        CrashRecord {
            endpoint: self.endpoint.clone(),
            crash_id: self.crash_id,
            age: Duration::from_millis(wall_ms.saturating_sub(self.at_ms)),
            evidence: self.evidence,
        }
    }

    /// Reports whether a process can have written the record.
    pub fn is_readable(&self) -> bool {
        self.at_ms <= MAX_WALL_MS
    }

    /// Reports whether both describe the same crash and evidence; the times of processes differ.
    fn is_equivalent(&self, other: &StoredCrash) -> bool {
        self.endpoint == other.endpoint
            && self.crash_id == other.crash_id
            && self.evidence == other.evidence
    }

    fn counts_against(&self) -> bool {
        self.evidence.counts_against()
    }
}

/// The crash records of one request for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchivedSuspect {
    /// Fingerprint of the request, the key in the log.
    pub fingerprint: u64,
    /// Crash records; empty if the key is to be removed.
    pub crashes: Vec<StoredCrash>,
}

/// Tracks which crash records the platform's log holds.
///
/// Every process that writes merges what it reads into its ledger first, so processes that write
/// alternately end with the join of what they know. The log may lose its newest records; then
/// [`forget`](SuspectArchive::forget) makes all records be compared and written again.
#[derive(Clone, Debug, Default)]
pub struct SuspectArchive {
    /// Records in the log by fingerprint; `None` until the log was read.
    stored: Option<BTreeMap<u64, Vec<StoredCrash>>>,
}

impl SuspectArchive {
    /// Returns the archive of a log of which nothing was read.
    pub fn new() -> SuspectArchive {
        SuspectArchive::default()
    }

    /// Notes that all records of the log were read and passed to [`take`](SuspectArchive::take).
    pub fn note_read(&mut self) {
        self.stored.get_or_insert_default();
    }

    /// Notes a record that was read from the log, and merges it into `ledger`.
    pub fn take(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        ledger: &mut SuspectLedger,
        suspect: ArchivedSuspect,
    ) {
        let records: Vec<CrashRecord> =
            suspect.crashes.iter().map(|crash| crash.record(wall_ms)).collect();
        ledger.merge_records(now, suspect.fingerprint, &records);
        self.note_written(&[suspect]);
    }

    /// Forgets what the log holds, because it may have lost records.
    pub fn forget(&mut self) {
        self.stored = None;
    }

    /// Reports whether it is known what the log holds.
    pub fn is_read(&self) -> bool {
        self.stored.is_some()
    }

    /// Returns the requests whose records in the log differ from those in `ledger`; none until the
    /// log was read.
    ///
    /// Requests that have only records which do not count, and are not in the log, are left out.
    /// Expired records are removed from the log.
    pub fn pending(
        &self,
        now: TimePoint,
        wall_ms: u64,
        ledger: &SuspectLedger,
    ) -> Vec<ArchivedSuspect> {
        let Some(stored) = &self.stored else { return Vec::new() };
        let known = ledger.table().part_of_all(now);
        let ttl_ms = ledger.table().limits().ttl.as_millis() as u64;
        let fingerprints: BTreeSet<u64> =
            known.fingerprints().chain(stored.keys().copied()).collect();
        let suspects = fingerprints.into_iter().map(|fingerprint| {
            let records = known.crashes(fingerprint).iter();
            let crashes = records.map(|record| StoredCrash::new(record, wall_ms)).collect();
            ArchivedSuspect { fingerprint, crashes }
        });
        let differs = |suspect: &ArchivedSuspect| {
            let stored = stored.get(&suspect.fingerprint).map_or(&[][..], Vec::as_slice);
            if suspect.crashes.is_empty() {
                return stored.iter().all(|crash| crash.at_ms.saturating_add(ttl_ms) <= wall_ms);
            }
            let counts = suspect.crashes.iter().any(StoredCrash::counts_against);
            let equivalent = |(a, b): (&StoredCrash, &StoredCrash)| a.is_equivalent(b);
            let same = stored.len() == suspect.crashes.len()
                && stored.iter().zip(&suspect.crashes).all(equivalent);
            !same && (counts || !stored.is_empty())
        };
        suspects.filter(differs).take(MAX_BATCH).collect()
    }

    /// Reports whether `suspect` has a crash that counts and is not in the log, so that the crash
    /// would be unknown after a restart of all entries.
    pub fn is_urgent(&self, suspect: &ArchivedSuspect) -> bool {
        let counting =
            |crashes: &[StoredCrash]| crashes.iter().filter(|crash| crash.counts_against()).count();
        let stored = self.stored.as_ref().and_then(|stored| stored.get(&suspect.fingerprint));
        counting(&suspect.crashes) > stored.map_or(0, |stored| counting(stored))
    }

    /// Notes that the log holds these records.
    pub fn note_written(&mut self, suspects: &[ArchivedSuspect]) {
        let stored = self.stored.get_or_insert_default();
        for suspect in suspects {
            if suspect.crashes.is_empty() {
                stored.remove(&suspect.fingerprint);
            } else {
                stored.insert(suspect.fingerprint, suspect.crashes.clone());
            }
        }
    }
}
