//! The prompt parts that one entry knows as present at crashes, and what other entries lack of them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    suspect::{
        ChangeLog, CompletedSet, CrashEvidence, LedgerPosition, PartCrash, PartHistory, PartTable,
        PartVerdict, fingerprint,
    },
    time::TimePoint,
};

/// Maximum number of parts in one [`PartDelta`]; the rest follows in later ones.
pub const MAX_PART_DELTA: usize = 128;

/// Maximum number of parts of one request that a crash is held against.
pub const MAX_RUN_PARTS: usize = 32;

/// Difference in time below which completed runs count as known to other entries.
const COMPLETION_STEP: Duration = Duration::from_millis(100);

/// Returns the key of a prompt part at a service; the same part may be sound elsewhere.
pub fn part_key(service: &str, id: u64) -> u64 {
    fingerprint(&[service], &id.to_be_bytes())
}

/// A run of a request that its endpoint did not complete.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Keys of the parts of its prompt.
    pub parts: Box<[u64]>,
    /// Whether the request was sent although a part of its prompt was suspected.
    pub excused: bool,
    /// When the request was sent.
    pub began: TimePoint,
    /// When the connection was lost.
    pub lost: TimePoint,
}

/// The end of a run of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointCrash<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Identifier of the crash, unique for the endpoint.
    pub crash_id: u64,
    /// Service of the endpoint.
    pub service: &'a str,
    /// Evidence that the endpoint crashed.
    pub evidence: CrashEvidence,
}

/// The changes of a ledger since a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartDelta {
    /// Position after these changes.
    pub position: LedgerPosition,
    /// Histories of the parts that changed.
    pub histories: BTreeMap<u64, PartHistory>,
}

/// Holds the histories of prompt parts for one entry and decides which requests it may send.
///
/// Entries exchange the changes of their ledgers. As the merge of two histories is a join, entries
/// that have exchanged all changes reach the same verdicts, whatever the order.
#[derive(Debug)]
pub struct PartLedger {
    table: PartTable,
    /// Shared parts of requests that completed recently.
    completed: CompletedSet,
    /// Time of the last completed run of each service.
    services: HashMap<Box<str>, TimePoint>,
    changes: ChangeLog,
}

impl PartLedger {
    /// Returns a ledger without histories for the process run `incarnation`.
    pub fn new(incarnation: u64) -> PartLedger {
        PartLedger {
            table: PartTable::new(),
            completed: CompletedSet::default(),
            services: HashMap::new(),
            changes: ChangeLog::new(incarnation),
        }
    }

    /// Returns the histories of all parts.
    pub fn table(&self) -> &PartTable {
        &self.table
    }

    /// Returns whether a request with these parts may run.
    pub fn verdict(&mut self, now: TimePoint, parts: &[u64]) -> PartVerdict {
        self.table.verdict(now, parts)
    }

    /// Records that an endpoint ended, or may have ended, while these requests ran there.
    pub fn record_crash(&mut self, now: TimePoint, crash: EndpointCrash<'_>, runs: &[LostRun]) {
        self.table.advance(now);
        let completed_at = self.services.get(crash.service).copied();
        for run in runs {
            for part in self.counted_parts(run) {
                let record = PartCrash {
                    endpoint: crash.endpoint.into(),
                    crash_id: crash.crash_id,
                    age: now.since(run.lost),
                    ran: run.lost.since(run.began),
                    idle: completed_at.map(|at| run.lost.since(at)),
                    proven: self.completed.contains(part),
                    excused: run.excused && self.table.is_suspected(part),
                    evidence: crash.evidence,
                };
                self.change(part, |history| history.merge_crash(&record));
            }
        }
        self.settle();
    }

    /// Returns the parts of a run that a crash is held against: first those with which no request has
    /// completed, of these the ones with earlier crashes, and of the rest a selection that differs
    /// between requests.
    fn counted_parts(&self, run: &LostRun) -> Vec<u64> {
        let mut parts = run.parts.to_vec();
        parts.sort_unstable();
        parts.dedup();
        let rank = |part: &u64| {
            let history = self.table.history(*part);
            let is_new = history.is_none_or(|history| history.counted().next().is_none());
            (
                self.completed.contains(*part),
                is_new,
                fingerprint(&[], &(part ^ run.fingerprint).to_be_bytes()),
            )
        };
        if parts.len() > MAX_RUN_PARTS {
            parts.sort_by_cached_key(rank);
            parts.truncate(MAX_RUN_PARTS);
        }
        parts
    }

    /// Records that a run of an endpoint answers, so that its unconfirmed crash did not happen.
    pub fn withdraw(&mut self, now: TimePoint, endpoint: &str, crash_id: u64) {
        let present = self.table.present_at(endpoint, crash_id);
        if present.is_empty() {
            return;
        }
        self.table.advance(now);
        for part in present {
            self.change(part, |history| {
                let crashes = history.crashes.iter_mut();
                let is_crash =
                    |crash: &PartCrash| crash.crash_id == crash_id && &*crash.endpoint == endpoint;
                for crash in crashes.filter(|crash| is_crash(crash)) {
                    crash.evidence = crash.evidence.max(CrashEvidence::Withdrawn);
                }
            });
        }
        self.settle();
    }

    /// Records that a request with these parts, the last of which is its own, completed at an
    /// endpoint of `service`.
    pub fn note_completed(&mut self, now: TimePoint, service: &str, parts: &[u64]) {
        match self.services.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.services.insert(service.into(), now);
            }
        }
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().for_each(|part| self.completed.insert(*part));
        let has_crash = |part: &&u64| {
            let history = self.table.history(**part);
            history.is_some_and(|history| history.counted().next().is_some())
        };
        let cleared: Vec<u64> = parts.iter().filter(has_crash).copied().collect();
        if cleared.is_empty() {
            return;
        }
        self.table.advance(now);
        for part in cleared {
            self.change(part, |history| history.completed = Some(Duration::ZERO));
        }
        self.settle();
    }

    /// Merges the histories that another process knew at `now`.
    pub fn merge(&mut self, now: TimePoint, histories: &BTreeMap<u64, PartHistory>) {
        if histories.is_empty() {
            return;
        }
        self.table.advance(now);
        for (part, history) in histories {
            let is_proven = self.completed.contains(*part);
            self.change(*part, |known| {
                known.merge(history);
                known.crashes.iter_mut().for_each(|crash| crash.proven |= is_proven);
            });
        }
        self.settle();
    }

    /// Returns the position after all changes so far.
    pub fn position(&self) -> LedgerPosition {
        self.changes.position()
    }

    /// Returns the changes after `seen`, a position of this ledger that another entry has reached;
    /// a position of an earlier run of this process counts as the start.
    pub fn changes_since(&self, now: TimePoint, seen: LedgerPosition) -> PartDelta {
        let (position, parts) = self.changes.since(seen, MAX_PART_DELTA);
        let histories = parts.into_iter();
        let histories =
            histories.filter_map(|part| Some((part, self.table.history_at(now, part)?)));
        PartDelta { position, histories: histories.collect() }
    }

    /// Applies `apply` to the history of a part, and notes a change that others must know.
    fn change(&mut self, part: u64, apply: impl FnOnce(&mut PartHistory)) {
        let before = self.table.history(part).cloned().unwrap_or_default();
        self.table.update(part, apply);
        let after = self.table.history(part);
        if after.is_some_and(|after| is_news(&before, after)) {
            self.changes.note(part);
        }
    }

    fn settle(&mut self) {
        self.table.settle();
        if self.changes.len() > 2 * self.table.len() + MAX_PART_DELTA {
            self.changes.retain(|part| self.table.history(part).is_some());
        }
    }
}

/// Reports whether `after` says more than `before` apart from the ages of crashes, which differ by
/// the time that messages take.
fn is_news(before: &PartHistory, after: &PartHistory) -> bool {
    let ageless = |history: &PartHistory| {
        let crashes = history.crashes.iter().cloned();
        crashes.map(|crash| PartCrash { age: Duration::ZERO, ..crash }).collect::<Vec<_>>()
    };
    let is_completed_later = match (before.completed, after.completed) {
        (Some(before), Some(after)) => after.saturating_add(COMPLETION_STEP) <= before,
        (before, after) => before.is_some() != after.is_some(),
    };
    is_completed_later || ageless(before) != ageless(after)
}
