//! Which endpoints there are, from what they write to the platform's store.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::time::TimePoint;

/// Time after an outage of the store within which an endpoint that lapsed meanwhile is back.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Time without the store after which entries may have lapsed although their endpoints live;
/// longer than the time between two reads.
const OUTAGE_SPAN: Duration = Duration::from_millis(1_500);

/// An endpoint as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Service that it runs.
    pub service: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Wall-clock milliseconds at its start, if it says so.
    pub started_ms: Option<u64>,
}

/// What became of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BookChange {
    /// It joined, or something of it changed.
    Put(Box<str>, EndpointEntry),
    /// Its entry is gone, maybe only because the store was away; it is the last resort.
    Lapsed(Box<str>),
    /// It is gone.
    Gone(Box<str>),
}

#[derive(Clone, Debug)]
struct BookRow {
    offset: u64,
    entry: Option<EndpointEntry>,
    /// When the entry goes, if it lapsed in an outage of the store.
    lapses_at: Option<TimePoint>,
}

/// The newest entry of each endpoint.
///
/// Entries are ordered by their offsets in the store, whoever tells of them and when.
#[derive(Clone, Debug, Default)]
pub struct EndpointBook {
    rows: HashMap<Box<str>, BookRow>,
    /// Rows with an entry.
    live: usize,
    contact: Option<TimePoint>,
    outage_end: Option<TimePoint>,
}

impl EndpointBook {
    /// Returns an empty book.
    pub fn new() -> EndpointBook {
        EndpointBook::default()
    }

    /// Notes that the store answered.
    pub fn note_contact(&mut self, now: TimePoint) {
        if self.contact.is_some_and(|contact| now.since(contact) > OUTAGE_SPAN) {
            self.outage_end = Some(now);
        }
        self.contact = Some(now);
    }

    /// Takes the record at `offset` of the endpoint `name`; `None` stands for a removed one.
    ///
    /// A record that is older than the known one changes nothing.
    pub fn take(
        &mut self,
        now: TimePoint,
        name: &str,
        offset: u64,
        entry: Option<EndpointEntry>,
    ) -> Option<BookChange> {
        let known = self.rows.get(name);
        if known.is_some_and(|row| row.offset >= offset) {
            return None;
        }
        let before = known.and_then(|row| row.entry.clone());
        let was_lapsed = known.is_some_and(|row| row.lapses_at.is_some());
        let after_outage = self.outage_end.is_some_and(|end| now.since(end) < LAPSE_GRACE);
        let still_ready = before.as_ref().is_some_and(|before| !before.leaving);
        let lapsed = entry.is_none() && after_outage && still_ready;
        let row = BookRow {
            offset,
            entry: if lapsed { before.clone() } else { entry.clone() },
            lapses_at: lapsed.then(|| now + LAPSE_GRACE),
        };
        self.live += usize::from(row.entry.is_some());
        self.live -= usize::from(before.is_some());
        self.rows.insert(name.into(), row);
        match entry {
            Some(entry) if before.as_ref() == Some(&entry) && !was_lapsed => None,
            Some(entry) => Some(BookChange::Put(name.into(), entry)),
            None if lapsed => Some(BookChange::Lapsed(name.into())),
            None => before.map(|_| BookChange::Gone(name.into())),
        }
    }

    /// Lets lapse what is missing from a whole list that was read up to `end`.
    pub fn keep_listed(&mut self, now: TimePoint, listed: &[&str], end: u64) -> Vec<BookChange> {
        let listed: HashSet<&str> = listed.iter().copied().collect();
        let mut changes = Vec::new();
        for (name, row) in &mut self.rows {
            let missing = row.offset < end && !listed.contains(&**name);
            if missing && row.entry.is_some() && row.lapses_at.is_none() {
                row.lapses_at = Some(now + LAPSE_GRACE);
                changes.push(BookChange::Lapsed(name.clone()));
            }
        }
        changes
    }

    /// Returns the endpoints that lapsed and did not come back.
    pub fn expire(&mut self, now: TimePoint) -> Vec<BookChange> {
        let mut gone = Vec::new();
        for (name, row) in &mut self.rows {
            if row.lapses_at.is_some_and(|at| now >= at) {
                row.lapses_at = None;
                row.entry = None;
                self.live -= 1;
                gone.push(BookChange::Gone(name.clone()));
            }
        }
        gone
    }

    /// Returns the endpoint `name`.
    pub fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.rows.get(name)?.entry.as_ref()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.live
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
