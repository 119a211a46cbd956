//! The store of a simulated fleet: listed versions, and the records of the entries.

use std::collections::{BTreeMap, BTreeSet};

use pimentorock_kernel::stream_origin::ArchiveRecord;

/// Store that may be away and may come back from a copy.
#[derive(Clone, Default)]
pub struct SimulatedStore {
    pub is_away: bool,
    pub era: u64,
    /// Versions of the listed endpoints.
    pub listed: BTreeSet<&'static str>,
    records: BTreeMap<Box<str>, Vec<u8>>,
    /// Number of writes and returns from a copy so far.
    pub revision: u64,
    /// Keys by the revision of their last change.
    changes: BTreeMap<u64, Vec<Box<str>>>,
    copy: BTreeMap<Box<str>, Vec<u8>>,
}

impl SimulatedStore {
    /// Keeps a copy of the records.
    pub fn make_copy(&mut self) {
        self.copy = self.records.clone();
    }

    /// Loses what was written since the copy was made.
    pub fn restore(&mut self) {
        self.records = self.copy.clone();
        self.era += 1;
        self.revision += 1;
        self.changes = BTreeMap::new();
    }

    /// Returns the records that were written after revision `since`, with an empty value for a removed key, or
    /// all of them if `since` is `None`.
    pub fn read(&self, since: Option<u64>) -> Vec<(&str, &[u8])> {
        let all = || self.records.iter().map(|(key, value)| (&**key, value.as_slice()));
        let Some(since) = since else { return all().collect() };
        let keys = self.changes.range(since + 1..).flat_map(|(_, keys)| keys);
        let value = |key: &str| self.records.get(key).map_or(&[][..], Vec::as_slice);
        keys.map(|key| (&**key, value(key))).collect()
    }

    /// Writes records; an empty value removes the key.
    pub fn append(&mut self, records: Vec<ArchiveRecord>) {
        if records.is_empty() {
            return;
        }
        self.revision += 1;
        let keys = records.iter().map(|record| record.key.clone()).collect();
        self.changes.insert(self.revision, keys);
        for record in records {
            match record.value.is_empty() {
                true => self.records.remove(&record.key),
                false => self.records.insert(record.key, record.value),
            };
        }
    }
}
