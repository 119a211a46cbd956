//! What the platform's log holds of prompt parts, and what has to be written to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{CrashEvidence, PartCrash, PartHistory, PartLedger},
    time::{MAX_WALL_MS, TimePoint, millis},
};

/// Maximum number of parts that are written at once.
const MAX_BATCH: usize = 64;

/// Counted crashes from which a part is written. The fleet learns fewer anew after a restart of all
/// entries, within the crashes that it may need.
const MIN_STORED_CRASHES: usize = 2;

/// A record of one crash in the form in which the log keeps it; times are wall-clock milliseconds
/// since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPartCrash {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Identifier of the crash, unique for the endpoint.
    pub crash_id: u64,
    /// Time of the loss.
    pub at_ms: u64,
    /// Time for which the youngest lost run had lasted, in milliseconds.
    pub ran_ms: u64,
    /// Time from the last completed run of the service to the loss, in milliseconds.
    pub idle_ms: Option<u64>,
    /// Whether a request with the part had completed before.
    pub proven: bool,
    /// Whether a lost run with the part had been sent although the part was suspected.
    pub excused: bool,
    /// Evidence that the endpoint crashed.
    pub evidence: CrashEvidence,
}

/// The history of a part in the form in which the log keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHistory {
    /// Crashes that count against the part; empty if the key is to be removed.
    pub crashes: Vec<StoredPartCrash>,
    /// Time of the last completed run since the first crash.
    pub completed_ms: Option<u64>,
}

impl StoredHistory {
    /// Reports whether a process can have written the history.
    pub fn is_readable(&self) -> bool {
        let mut times = self.crashes.iter().map(|crash| crash.at_ms).chain(self.completed_ms);
        times.all(|at_ms| at_ms <= MAX_WALL_MS)
    }

    fn new(history: &PartHistory, wall_ms: u64) -> StoredHistory {
        let at_ms = |age: Duration| wall_ms.saturating_sub(millis(age));
        let counted: Vec<&PartCrash> = history.counted().collect();
        if counted.len() < MIN_STORED_CRASHES {
            return StoredHistory::default();
        }
        let crashes = counted.into_iter().map(|crash| StoredPartCrash {
            endpoint: crash.endpoint.clone(),
            crash_id: crash.crash_id,
            at_ms: at_ms(crash.age),
            ran_ms: millis(crash.ran),
            idle_ms: crash.idle.map(millis),
            proven: crash.proven,
            excused: crash.excused,
            evidence: crash.evidence,
        });
        StoredHistory { crashes: crashes.collect(), completed_ms: history.completed.map(at_ms) }
    }

    fn history(&self, wall_ms: u64) -> PartHistory {
        let age = |at_ms: u64| Duration::from_millis(wall_ms.saturating_sub(at_ms));
        let mut history = PartHistory::default();
        for crash in &self.crashes {
            history.merge_crash(&PartCrash {
                endpoint: crash.endpoint.clone(),
                crash_id: crash.crash_id,
                age: age(crash.at_ms),
                ran: Duration::from_millis(crash.ran_ms),
                idle: crash.idle_ms.map(Duration::from_millis),
                proven: crash.proven,
                excused: crash.excused,
                evidence: crash.evidence,
            });
        }
        history.completed = self.completed_ms.map(age);
        history
    }

    fn crash_keys(&self) -> BTreeSet<(&str, u64)> {
        self.crashes.iter().map(|crash| (&*crash.endpoint, crash.crash_id)).collect()
    }
}

/// The history of one part for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchivedPart {
    /// Key of the part.
    pub part: u64,
    /// Its history.
    pub history: StoredHistory,
}

/// Tracks which histories of prompt parts the platform's log holds.
///
/// As for requests, whoever writes has merged what it read, and
/// [`forget`](PartArchive::forget) makes all histories be compared anew.
#[derive(Clone, Debug, Default)]
pub struct PartArchive {
    stored: BTreeMap<u64, StoredHistory>,
}

impl PartArchive {
    /// Returns the archive of a log of which nothing was read.
    pub fn new() -> PartArchive {
        PartArchive::default()
    }

    /// Notes a record that was read from the log, and merges it into `ledger`.
    pub fn take(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        ledger: &mut PartLedger,
        archived: ArchivedPart,
    ) {
        let history = archived.history.history(wall_ms);
        ledger.merge(now, &BTreeMap::from([(archived.part, history)]));
        self.note_written(&[archived]);
    }

    /// Forgets what the log holds, because it may have lost records.
    pub fn forget(&mut self) {
        self.stored.clear();
    }

    /// Returns the parts whose histories in the log lack crashes that count, and, if `tidies`, those
    /// that the log holds although they no longer count.
    pub fn pending(
        &self,
        now: TimePoint,
        wall_ms: u64,
        ledger: &PartLedger,
        tidies: bool,
    ) -> Vec<ArchivedPart> {
        let parts: BTreeSet<u64> =
            ledger.table().parts().chain(self.stored.keys().copied()).collect();
        let archived = parts.into_iter().map(|part| {
            let history = ledger.table().history_at(now, part).unwrap_or_default();
            ArchivedPart { part, history: StoredHistory::new(&history, wall_ms) }
        });
        let differs = |archived: &ArchivedPart| {
            let stored = self.stored.get(&archived.part);
            let known = stored.map(StoredHistory::crash_keys).unwrap_or_default();
            let keys = archived.history.crash_keys();
            let lacks = !keys.is_subset(&known);
            lacks || (tidies && keys.is_empty() && stored.is_some())
        };
        archived.filter(differs).take(MAX_BATCH).collect()
    }

    /// Notes that the log holds these records.
    pub fn note_written(&mut self, parts: &[ArchivedPart]) {
        for archived in parts {
            if archived.history.crashes.is_empty() {
                self.stored.remove(&archived.part);
            } else {
                self.stored.insert(archived.part, archived.history.clone());
            }
        }
    }
}
