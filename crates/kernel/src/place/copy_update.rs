//! Records of a keyed topic together with what they prove.

use serde::{Deserialize, Serialize};

use crate::{
    log_position::{LogPosition, MAX_ERA, MAX_OFFSET},
    place::known_spans::KnownSpans,
};

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord<V> {
    /// Offset of the record.
    pub offset: u64,
    /// Key; a newer record with the same key replaces this one.
    pub key: Box<str>,
    /// Value; `None` if the key was removed.
    pub value: Option<V>,
}

/// What the records of an update prove of the keys that have no record in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpdateForm {
    /// A key without a record has no value.
    List,
    /// No record of the key was written from this offset on; the update has all that were.
    Log(u64),
    /// The value of the key is the same as at each offset of these spans; the update has the newest
    /// record of each key whose value changed after the first one.
    Changes(KnownSpans),
}

/// Records of a keyed topic with the position up to which they describe it.
///
/// The parts come from one read or from one copy, and cannot be replaced one by one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyUpdate<V> {
    form: UpdateForm,
    end: LogPosition,
    records: Vec<KeyedRecord<V>>,
}

impl<V> CopyUpdate<V> {
    /// Returns the update of a read of the newest record of each key, which had all records before
    /// `end`.
    pub fn from_list(end: LogPosition, records: Vec<KeyedRecord<V>>) -> CopyUpdate<V> {
        CopyUpdate { form: UpdateForm::List, end, records }
    }

    /// Returns the update of a read that returned `records`, which follow each other from `start` on.
    pub fn from_log(start: LogPosition, records: Vec<KeyedRecord<V>>) -> CopyUpdate<V> {
        // A read that reached its size limit ends before the end of the topic.
        let end = records.iter().map(|record| record.offset.saturating_add(1)).max();
        let offset = end.unwrap_or(start.offset).max(start.offset);
        let end = LogPosition { offset, ..start };
        CopyUpdate { form: UpdateForm::Log(start.offset), end, records }
    }

    pub(crate) fn from_copy(
        form: UpdateForm,
        end: LogPosition,
        records: Vec<KeyedRecord<V>>,
    ) -> CopyUpdate<V> {
        CopyUpdate { form, end, records }
    }

    pub(crate) fn into_parts(self) -> (UpdateForm, LogPosition, Vec<KeyedRecord<V>>) {
        (self.form, self.end, self.records)
    }

    /// Returns the position after the last record that the update covers.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Reports whether a copy can have sent the update.
    pub fn is_readable(&self) -> bool {
        self.end.era <= MAX_ERA
            && self.end.offset <= MAX_OFFSET
            && self.records.iter().all(|record| record.offset < self.end.offset)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the bytes of all values, whose sizes `bytes` tells, and of their keys.
    pub fn value_bytes(&self, bytes: impl Fn(&V) -> usize) -> usize {
        let record =
            |record: &KeyedRecord<V>| record.key.len() + record.value.as_ref().map_or(0, &bytes);
        self.records.iter().map(record).sum()
    }

    /// Reports whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Reports whether a key without a record has no value.
    pub fn is_list(&self) -> bool {
        self.form == UpdateForm::List
    }

    /// Returns the same update with other values.
    pub fn map_values<W>(self, convert: impl Fn(V) -> W) -> CopyUpdate<W> {
        let record = |record: KeyedRecord<V>| KeyedRecord {
            offset: record.offset,
            key: record.key,
            value: record.value.map(&convert),
        };
        let records = self.records.into_iter().map(record).collect();
        CopyUpdate { form: self.form, end: self.end, records }
    }
}
