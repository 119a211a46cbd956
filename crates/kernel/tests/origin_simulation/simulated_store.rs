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
    pub records: BTreeMap<Box<str>, Vec<u8>>,
    /// Number of writes and returns from a copy so far.
    pub revision: u64,
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
    }

    /// Writes records; an empty value removes the key.
    pub fn append(&mut self, records: Vec<ArchiveRecord>) {
        self.revision += u64::from(!records.is_empty());
        for record in records {
            match record.value.is_empty() {
                true => self.records.remove(&record.key),
                false => self.records.insert(record.key, record.value),
            };
        }
    }
}
