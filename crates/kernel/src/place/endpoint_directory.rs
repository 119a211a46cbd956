//! The endpoints of the deployment, read from the platform's store.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::time::TimePoint;

/// Grace period after an outage of the store in which an endpoint whose store entry expired during
/// the outage can register again.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Time without an answer from the store that counts as an outage. Entries may lapse during an
/// outage although their endpoints are alive. The value is longer than the time between two reads.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Description that an endpoint wrote to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Service that the endpoint runs.
    pub service: Box<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: Box<str>,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Whether the endpoint is leaving and accepts no new work.
    pub leaving: bool,
    /// Wall-clock time at which the endpoint started, in milliseconds since 1970; `None` if the
    /// endpoint does not report it.
    pub started_ms: Option<u64>,
}

/// Change of one endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The endpoint joined, or its description changed.
    Put(Box<str>, EndpointEntry),
    /// The endpoint's entry is gone, possibly only because of an outage of the store. The endpoint
    /// may be used if there is no other.
    Lapsed(Box<str>),
    /// The endpoint is gone.
    Gone(Box<str>),
}

#[derive(Clone, Debug)]
struct DirectoryRow {
    /// Offset of the newest record in the store.
    offset: u64,
    entry: Option<EndpointEntry>,
    /// End of the grace period; `None` unless the entry expired in the store.
    lapses_at: Option<TimePoint>,
}

/// Holds the newest entry of each endpoint.
///
/// Entries are ordered by their offsets in the store, regardless of the order and the source in
/// which they arrive.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    rows: HashMap<Box<str>, DirectoryRow>,
    /// Number of rows with an entry.
    live: usize,
    /// Last time at which the store answered.
    last_contact: Option<TimePoint>,
    /// End of the last outage of the store.
    outage_end: Option<TimePoint>,
}

impl EndpointDirectory {
    /// Returns an empty directory.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory::default()
    }

    /// Notes that the store answered.
    pub fn note_contact(&mut self, now: TimePoint) {
        if self.last_contact.is_some_and(|contact| now.since(contact) > MIN_OUTAGE) {
            self.outage_end = Some(now);
        }
        self.last_contact = Some(now);
    }

    /// Applies the record at `offset` of the endpoint `name` and returns the resulting change.
    ///
    /// An `entry` of `None` stands for a removed entry. A record that is not newer than the known
    /// one is ignored.
    pub fn take(
        &mut self,
        now: TimePoint,
        name: &str,
        offset: u64,
        entry: Option<EndpointEntry>,
    ) -> Option<DirectoryChange> {
        let known = self.rows.get(name);
        if known.is_some_and(|row| row.offset >= offset) {
            return None;
        }
        let before = known.and_then(|row| row.entry.clone());
        let was_lapsed = known.is_some_and(|row| row.lapses_at.is_some());
        let after_outage = self.outage_end.is_some_and(|end| now.since(end) < LAPSE_GRACE);
        let still_ready = before.as_ref().is_some_and(|before| !before.leaving);
        let lapsed = entry.is_none() && after_outage && still_ready;
        let row = DirectoryRow {
            offset,
            entry: if lapsed { before.clone() } else { entry.clone() },
            lapses_at: lapsed.then(|| now + LAPSE_GRACE),
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

    /// Marks all entries as expired that are missing from a complete list of the store.
    ///
    /// The list covers all records before the offset `end`; later entries are left alone.
    pub fn keep_listed(
        &mut self,
        now: TimePoint,
        listed: &[&str],
        end: u64,
    ) -> Vec<DirectoryChange> {
        let listed: HashSet<&str> = listed.iter().copied().collect();
        let mut changes = Vec::new();
        for (name, row) in &mut self.rows {
            let missing = row.offset < end && !listed.contains(&**name);
            if missing && row.entry.is_some() && row.lapses_at.is_none() {
                row.lapses_at = Some(now + LAPSE_GRACE);
                changes.push(DirectoryChange::Lapsed(name.clone()));
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

    /// Returns the entry of the endpoint named `name`.
    pub fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.rows.get(name)?.entry.as_ref()
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
