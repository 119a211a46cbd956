//! The endpoints as the store lists them.

use std::{collections::HashMap, time::Duration};

use pimentorock_kernel::time::TimePoint;

use crate::store::{EndpointEntry, StoreRecord};

/// Time after an outage of the store within which an endpoint that lapsed meanwhile is back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Time without the store after which entries may lapse although their endpoints live: three
/// heartbeats are more.
const OUTAGE_SPAN: Duration = Duration::from_millis(1_500);

/// What became of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BookChange {
    /// It joined, or something of it changed.
    Put(Box<str>, EndpointEntry),
    /// It is gone.
    Gone(Box<str>),
}

#[derive(Debug)]
struct BookRow {
    offset: u64,
    record: StoreRecord,
    entry: Option<EndpointEntry>,
    /// When the entry goes, if it lapsed in an outage of the store.
    lapses_at: Option<TimePoint>,
}

/// The newest record of each endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointBook {
    rows: HashMap<Box<str>, BookRow>,
    contact: Option<TimePoint>,
    outage_end: Option<TimePoint>,
}

impl EndpointBook {
    /// Notes that the store answered.
    pub(crate) fn note_contact(&mut self, now: TimePoint) {
        if self.contact.is_some_and(|contact| now.since(contact) > OUTAGE_SPAN) {
            self.outage_end = Some(now);
        }
        self.contact = Some(now);
    }

    /// Takes a record with what it decodes to; older than the known one, it changes nothing.
    pub(crate) fn take(
        &mut self,
        now: TimePoint,
        record: &StoreRecord,
        entry: Option<EndpointEntry>,
    ) -> Option<BookChange> {
        let after_outage = self.outage_end.is_some_and(|end| now.since(end) < LAPSE_GRACE);
        let known = self.rows.get(&record.key);
        if known.is_some_and(|row| row.offset >= record.offset) {
            return None;
        }
        let before = known.and_then(|row| row.entry.clone());
        let lapsed = record.value.is_none() && after_outage && before.is_some();
        let row = BookRow {
            offset: record.offset,
            record: record.clone(),
            entry: if lapsed { before.clone() } else { entry.clone() },
            lapses_at: lapsed.then(|| now + LAPSE_GRACE),
        };
        self.rows.insert(record.key.clone(), row);
        match (entry, lapsed) {
            (_, true) => None,
            (Some(entry), _) if before.as_ref() == Some(&entry) => None,
            (Some(entry), _) => Some(BookChange::Put(record.key.clone(), entry)),
            (None, _) => before.map(|_| BookChange::Gone(record.key.clone())),
        }
    }

    /// Removes what is missing from a whole list that was read up to `end`.
    pub(crate) fn keep_listed(&mut self, now: TimePoint, listed: &[StoreRecord], end: u64) {
        for (key, row) in &mut self.rows {
            let missing = !listed.iter().any(|record| record.key == *key);
            if missing && row.offset < end && row.entry.is_some() && row.lapses_at.is_none() {
                row.lapses_at = Some(now + LAPSE_GRACE);
            }
        }
    }

    /// Returns the endpoints that lapsed in an outage and did not come back.
    pub(crate) fn expire(&mut self, now: TimePoint) -> Vec<BookChange> {
        let mut gone = Vec::new();
        for (key, row) in &mut self.rows {
            if row.lapses_at.is_some_and(|at| now >= at) {
                row.lapses_at = None;
                row.entry = None;
                gone.push(BookChange::Gone(key.clone()));
            }
        }
        gone
    }

    /// Returns the endpoint `name`.
    pub(crate) fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.rows.get(name)?.entry.as_ref()
    }

    /// Returns the newest record of each endpoint.
    pub(crate) fn records(&self) -> Vec<StoreRecord> {
        self.rows.values().map(|row| row.record.clone()).collect()
    }

    /// Returns the number of endpoints.
    pub(crate) fn len(&self) -> usize {
        self.rows.values().filter(|row| row.entry.is_some()).count()
    }
}
