//! The endpoints of the deployment, read from the platform's store.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{log_position::LogPosition, time::TimePoint};

/// Grace period after an outage of the store in which an endpoint whose store entry expired during
/// the outage can register again.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Time for which no entry has read the store that counts as an outage, if the store was asked. Entries may
/// lapse during an outage although their endpoints are alive. The value is longer than the time between two
/// reads.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Highest number of heartbeats of a run that has just started.
const MAX_NEW_HEARTBEATS: u64 = 3;

/// Description that an endpoint wrote to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Service that the endpoint runs.
    pub service: Box<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: Box<str>,
    /// Version of the endpoint's software.
    pub software: Box<str>,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Whether the endpoint is leaving and accepts no new work.
    pub leaving: bool,
    /// Wall-clock time at which the endpoint started, in milliseconds since 1970; `None` if the
    /// endpoint does not report it.
    pub started_ms: Option<u64>,
    /// Time for which the endpoint stays slow after its start, in milliseconds; 0 if it is warm.
    pub warmup_ms: u64,
}

/// A record of an endpoint in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// What the endpoint wrote.
    pub entry: EndpointEntry,
    /// Number of the heartbeat by which the endpoint wrote the record. Numbers rise during a run.
    pub heartbeat: u64,
}

/// Change of one endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The endpoint joined, or its description changed.
    Put(Box<str>, EndpointEntry),
    /// The endpoint is listed again by a run that was listed before, or by one that started a while ago. The store may
    /// have executed the record late, so the endpoint may have left.
    Relisted(Box<str>, EndpointEntry),
    /// The endpoint's entry is gone, possibly only because of an outage of the store. The endpoint
    /// may be used if there is no other.
    Lapsed(Box<str>),
    /// The endpoint is gone.
    Gone(Box<str>),
    /// The store shows a record of the endpoint that is older than its leaving; nothing changes.
    Outdated(Box<str>),
}

#[derive(Clone, Debug)]
struct DirectoryRow {
    /// Position of the newest record in the store.
    position: LogPosition,
    entry: Option<EndpointEntry>,
    /// Start time and heartbeat of the newest run that was seen, also after its record is gone.
    newest_run: Option<(Option<u64>, u64)>,
    /// End of the grace period; `None` unless the entry expired in the store.
    lapses_at: Option<TimePoint>,
}

/// Holds the newest entry of each endpoint.
///
/// Entries are ordered by their positions in the store, regardless of the order and the source in
/// which they arrive. The store may show records that are older than those it had before: it executes some
/// writes seconds late, and may come back from an older copy. Start times and heartbeats tell them apart, so
/// that an endpoint that left is not used again because a record from before is shown.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    rows: HashMap<Box<str>, DirectoryRow>,
    /// Number of rows with an entry.
    live: usize,
    /// Whether the last read of this entry failed.
    is_failing: bool,
    /// End of the last outage of the store.
    outage_end: Option<TimePoint>,
}

impl EndpointDirectory {
    /// Returns an empty directory.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory::default()
    }

    /// Notes that the store answered a read of this entry; what some entry had read before matched the store
    /// at `current_at`.
    ///
    /// The time for which this entry did not read is no evidence of an outage, as it may have followed another
    /// entry.
    pub fn note_contact(&mut self, now: TimePoint, current_at: TimePoint) {
        if self.is_failing && now.since(current_at) > MIN_OUTAGE {
            self.outage_end = Some(now);
        }
        self.is_failing = false;
    }

    /// Notes that a read of this entry failed.
    pub fn note_failed_read(&mut self) {
        self.is_failing = true;
    }

    /// Notes that endpoints could write to the store while no entry read it, so that none of them has lapsed.
    pub(super) fn note_no_outage(&mut self) {
        self.outage_end = None;
    }

    /// Returns the end of the last outage of the store, if entries that lapsed in it may still register again.
    pub fn outage_end(&self, now: TimePoint) -> Option<TimePoint> {
        self.outage_end.filter(|end| now < *end + LAPSE_GRACE)
    }

    /// Notes that an outage of the store, which another entry saw, ended at `end`.
    pub fn note_outage_end(&mut self, end: TimePoint) {
        self.outage_end = self.outage_end.max(Some(end));
    }

    /// Applies the record at `position` of the endpoint `name` and returns the resulting change.
    ///
    /// A `record` of `None` stands for a removed entry. A record that is not newer than the known
    /// one is ignored.
    pub fn take(
        &mut self,
        now: TimePoint,
        name: &str,
        position: LogPosition,
        record: Option<EndpointRecord>,
    ) -> Option<DirectoryChange> {
        let known = self.rows.get_mut(name);
        if let Some(row) = known {
            if row.position >= position {
                return None;
            }
            if record.as_ref().is_some_and(|record| row.has_seen(position.era, record)) {
                let is_copy = position.era > row.position.era;
                row.position = position;
                // A copy of the store lists the endpoint anew, a late write does not.
                let returns = is_copy && row.lapses_at.take().is_some();
                let entry = row.entry.clone().filter(|_| returns)?;
                return Some(DirectoryChange::Put(name.into(), entry));
            }
        }
        let known = self.rows.get(name);
        let known_run = known.and_then(|row| row.newest_run);
        let run = record.as_ref().map(|record| (record.entry.started_ms, record.heartbeat));
        let entry = record.map(|record| record.entry);
        let before = known.and_then(|row| row.entry.clone());
        let was_lapsed = known.is_some_and(|row| row.lapses_at.is_some());
        let grace_end = self.outage_end(now).map(|end| end + LAPSE_GRACE);
        let still_ready = before.as_ref().is_some_and(|before| !before.leaving);
        let grace_end = grace_end.filter(|_| entry.is_none() && still_ready);
        let lapsed = grace_end.is_some();
        let row = DirectoryRow {
            position,
            newest_run: run.or(known_run),
            entry: if lapsed { before.clone() } else { entry.clone() },
            lapses_at: grace_end,
        };
        self.live += usize::from(row.entry.is_some());
        self.live -= usize::from(before.is_some());
        self.rows.insert(name.into(), row);
        match entry {
            Some(entry) if before.as_ref() == Some(&entry) && !was_lapsed => None,
            Some(entry) => Some(DirectoryChange::Put(name.into(), entry)),
            None if lapsed => Some(DirectoryChange::Lapsed(name.into())),
            None => before.map(|_| DirectoryChange::Gone(name.into())),
        }
    }

    /// Removes all entries that are missing from a complete list of the store, or marks them as expired if
    /// they may have lapsed in an outage, or if the store has come back from an older copy since.
    ///
    /// The list covers all records before `end`; later entries are left alone.
    pub fn keep_listed(
        &mut self,
        now: TimePoint,
        listed: &HashSet<&str>,
        end: LogPosition,
    ) -> Vec<DirectoryChange> {
        let outage_end = self.outage_end(now);
        let mut changes = Vec::new();
        for (name, row) in &mut self.rows {
            let missing = row.position < end && !listed.contains(&**name);
            if !missing || row.entry.is_none() || row.lapses_at.is_some() {
                continue;
            }
            let returned = (row.position.era < end.era).then_some(now);
            match returned.or(outage_end) {
                Some(outage_end) => {
                    row.lapses_at = Some(outage_end + LAPSE_GRACE);
                    changes.push(DirectoryChange::Lapsed(name.clone()));
                }
                None => {
                    row.entry = None;
                    self.live -= 1;
                    changes.push(DirectoryChange::Gone(name.clone()));
                }
            }
        }
        changes
    }

    /// Removes the endpoints whose store entry expired and whose grace period is over, and returns
    /// them.
    pub fn expire(&mut self, now: TimePoint) -> Vec<DirectoryChange> {
        let mut gone = Vec::new();
        for (name, row) in &mut self.rows {
            if row.lapses_at.is_some_and(|at| now >= at) {
                row.lapses_at = None;
                row.entry = None;
                self.live -= 1;
                gone.push(DirectoryChange::Gone(name.clone()));
            }
        }
        gone
    }

    /// Reports whether a record of the endpoint `name` in the era `era` says nothing that is not known, because the
    /// store executed it late or shows it from an older copy, and the endpoint has left since.
    pub fn is_outdated(&self, name: &str, era: u64, record: &EndpointRecord) -> bool {
        let row = self.rows.get(name).filter(|row| row.has_seen(era, record));
        row.is_some_and(|row| row.entry.as_ref().is_none_or(|entry| entry.leaving))
    }

    /// Reports whether the endpoint `name`, which is not listed, may have left although a record that is news says
    /// that it is ready. In a list of all endpoints, those that are not known have joined in any order.
    pub(super) fn may_have_left(&self, name: &str, record: &EndpointRecord, is_list: bool) -> bool {
        let Some(started_ms) = record.entry.started_ms else { return false };
        let row = self.rows.get(name);
        if record.entry.leaving || row.is_some_and(|row| row.entry.is_some()) {
            return false;
        }
        match row.and_then(|row| row.newest_run) {
            Some((known_ms, _)) => known_ms == Some(started_ms),
            None => !is_list && record.heartbeat > MAX_NEW_HEARTBEATS,
        }
    }

    /// Returns the entry of the endpoint named `name`.
    pub fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.rows.get(name)?.entry.as_ref()
    }

    /// Returns the entries of all endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.rows.values().filter_map(|row| row.entry.as_ref())
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.live
    }

    /// Reports whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl DirectoryRow {
    /// Reports whether a record of the era `era` is older than one that was seen, or the same.
    ///
    /// Within an era the numbers of endpoints that state no start may begin anew.
    fn has_seen(&self, era: u64, record: &EndpointRecord) -> bool {
        let run = (record.entry.started_ms, record.heartbeat);
        let is_comparable = era > self.position.era || record.entry.started_ms.is_some();
        is_comparable && self.newest_run.is_some_and(|newest| run <= newest)
    }
}
