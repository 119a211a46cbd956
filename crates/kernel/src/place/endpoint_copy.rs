//! An entry's copy of the topic of endpoints.

use std::collections::{HashMap, HashSet};

use crate::{
    log_position::LogPosition,
    place::{
        CopyUpdate, DirectoryChange, EndpointDirectory, EndpointEntry, EndpointRecord, KeyedRecord,
        copy_update::UpdateForm, known_spans::KnownSpans,
    },
    time::TimePoint,
};

/// Number of records of one endpoint in the records that follow each other from which on the store was there for
/// so long that endpoints which live have registered again.
const MIN_HEARTBEATS: u32 = 3;

/// Maximum number of removed keys that are kept for other entries. Those of earlier positions get a
/// list.
const MAX_REMOVED: usize = 4_096;

/// An update that does not continue the copy, because records between the two are missing or because
/// it is of another era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("records between the copy and the update are missing")]
pub struct UpdateGap;

#[derive(Clone, Debug)]
struct CopyRow<V> {
    /// Offset of the newest record that is known.
    offset: u64,
    /// Offset at which the description last changed, or a later one.
    changed_at: u64,
    /// Value and description; `None` if the key was removed.
    listed: Option<(V, EndpointEntry)>,
}

/// The newest record of each endpoint up to a position, with the directory that follows from them.
///
/// Entries pass the records on to each other. An update either continues the receiver's copy without
/// a gap, removals included, or is a list of all endpoints with its position, which shows what is
/// absent as well.
#[derive(Clone, Debug)]
pub struct EndpointCopy<V> {
    directory: EndpointDirectory,
    /// Position up to which all records are known; `None` if nothing was read.
    position: Option<LogPosition>,
    rows: HashMap<Box<str>, CopyRow<V>>,
    /// Offsets in the era of `position` from which on all changes are known.
    spans: KnownSpans,
}

impl<V> Default for EndpointCopy<V> {
    fn default() -> EndpointCopy<V> {
        EndpointCopy {
            directory: EndpointDirectory::new(),
            position: None,
            rows: HashMap::new(),
            spans: KnownSpans::default(),
        }
    }
}

impl<V: Clone> EndpointCopy<V> {
    /// Returns the copy of an entry that has read nothing.
    pub fn new() -> EndpointCopy<V> {
        EndpointCopy::default()
    }

    /// Returns the endpoints.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// Returns the position up to which all records are known; `None` if nothing was read.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Notes that the store answered a read of this entry; see [`EndpointDirectory::note_contact`].
    pub fn note_contact(&mut self, now: TimePoint, current_at: TimePoint) {
        self.directory.note_contact(now, current_at);
    }

    /// Notes that a read of this entry failed.
    pub fn note_failed_read(&mut self) {
        self.directory.note_failed_read();
    }

    /// Notes that an outage of the store, which another entry saw, ended at `end`.
    pub fn note_outage_end(&mut self, end: TimePoint) {
        self.directory.note_outage_end(end);
    }

    /// Removes the endpoints whose record is gone and whose grace period is over, and returns them.
    pub fn expire(&mut self, now: TimePoint) -> Vec<DirectoryChange> {
        self.directory.expire(now)
    }

    /// Applies an update and returns the changes of the directory; a value that `decode` rejects
    /// counts as removed.
    ///
    /// # Errors
    ///
    /// Fails if the update neither continues this copy nor is a list, and changes nothing then.
    pub fn apply(
        &mut self,
        now: TimePoint,
        update: CopyUpdate<V>,
        decode: impl Fn(&KeyedRecord<V>) -> Option<EndpointRecord>,
    ) -> Result<Vec<DirectoryChange>, UpdateGap> {
        let (form, end, records) = update.into_parts();
        let own = self.position.filter(|own| own.era == end.era);
        if self.position.is_some_and(|own| own >= end) {
            return Ok(Vec::new());
        }
        let mut changes = match &form {
            UpdateForm::List => self.keep_listed(now, &records, end),
            UpdateForm::Log(from) => {
                self.continue_with(own, &KnownSpans::new(*from, end.offset))?
            }
            UpdateForm::Changes(spans) => self.continue_with(own, spans)?,
        };
        if let UpdateForm::Log(_) = form
            && has_heartbeats(&records)
        {
            self.directory.note_no_outage();
        }
        self.position = Some(end);
        let covered = own.map_or(0, |own| own.offset);
        for mut record in records {
            let is_covered = record.offset < covered;
            // What became of the records before the own position is known.
            if is_covered && form != UpdateForm::List {
                continue;
            }
            let endpoint = record.value.as_ref().and_then(|_| decode(&record));
            if is_covered {
                if !self.is_news(&record.key, end.era, endpoint.as_ref()) {
                    continue;
                }
                // The sender of a list knows what each endpoint says, but not always its newest record.
                record.offset = end.offset - 1;
            }
            changes.extend(self.take(now, end.era, &form, record, endpoint));
        }
        self.forget_removed();
        Ok(changes)
    }

    /// Returns what an entry lacks whose copy has reached `known`; `None` if it lacks nothing that
    /// this copy has.
    pub fn update_for(&self, known: Option<LogPosition>) -> Option<CopyUpdate<V>> {
        let position = self.position?;
        if known.is_some_and(|known| known >= position) {
            return None;
        }
        let from = known.filter(|known| known.era == position.era).map(|known| known.offset);
        let from = from.filter(|from| self.spans.contains(*from));
        let form =
            from.map_or(UpdateForm::List, |from| UpdateForm::Changes(self.spans.since(from)));
        let is_wanted = |row: &CopyRow<V>| match from {
            Some(from) => row.changed_at >= from,
            None => row.listed.is_some(),
        };
        let wanted = self.rows.iter().filter(|(_, row)| is_wanted(row));
        let records = wanted.map(|(key, row)| KeyedRecord {
            offset: row.offset,
            key: key.clone(),
            value: row.listed.as_ref().map(|(value, _)| value.clone()),
        });
        Some(CopyUpdate::from_copy(form, position, records.collect()))
    }

    /// Marks the endpoints as removed that a list of all records before `end` lacks.
    fn keep_listed(
        &mut self,
        now: TimePoint,
        records: &[KeyedRecord<V>],
        end: LogPosition,
    ) -> Vec<DirectoryChange> {
        if self.position.is_none_or(|own| own.era != end.era) {
            self.rows.clear();
            self.spans.clear();
        }
        self.spans.begin(end.offset);
        let listed: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
        let last = end.offset.saturating_sub(1);
        for (key, row) in &mut self.rows {
            if row.offset < end.offset && !listed.contains(&**key) && row.listed.take().is_some() {
                (row.offset, row.changed_at) = (last, last);
            }
        }
        self.directory.keep_listed(now, &listed, end)
    }

    /// Continues the copy, which has reached `own` in the era of an update, with what is known in
    /// `spans`; no endpoint changes by that.
    fn continue_with(
        &mut self,
        own: Option<LogPosition>,
        spans: &KnownSpans,
    ) -> Result<Vec<DirectoryChange>, UpdateGap> {
        own.filter(|own| spans.contains(own.offset)).ok_or(UpdateGap)?;
        self.spans.follow(spans);
        Ok(Vec::new())
    }

    /// Reports whether a list says something of an endpoint that this copy does not have.
    fn is_news(&self, key: &str, era: u64, endpoint: Option<&EndpointRecord>) -> bool {
        let listed = self.rows.get(key).and_then(|row| row.listed.as_ref());
        let is_outdated = endpoint.is_some_and(|known| self.directory.is_outdated(key, era, known));
        !is_outdated && listed.map(|(_, entry)| entry) != endpoint.map(|known| &known.entry)
    }

    /// Applies a record of an update of the form `form`.
    fn take(
        &mut self,
        now: TimePoint,
        era: u64,
        form: &UpdateForm,
        record: KeyedRecord<V>,
        endpoint: Option<EndpointRecord>,
    ) -> Option<DirectoryChange> {
        // The description that is known is the one before the record.
        let is_compared = !matches!(form, UpdateForm::Changes(_));
        let is_list = *form == UpdateForm::List;
        let may_have_left = endpoint
            .as_ref()
            .is_some_and(|endpoint| self.directory.may_have_left(&record.key, endpoint, is_list));
        // Other entries must not learn of an endpoint that has left from an older copy of the store.
        let is_outdated = endpoint.as_ref().is_some_and(|endpoint| {
            !endpoint.entry.leaving && self.directory.is_outdated(&record.key, era, endpoint)
        });
        let entry = endpoint.as_ref().filter(|_| !is_outdated).map(|known| known.entry.clone());
        let listed = record.value.zip(entry);
        let offset = record.offset;
        let known = self.rows.get(&record.key);
        if known.is_none_or(|row| row.offset < offset) {
            let is_same = |row: &&CopyRow<V>| {
                let before = row.listed.as_ref().map(|(_, entry)| entry);
                before == listed.as_ref().map(|(_, entry)| entry)
            };
            let same = known.filter(is_same).filter(|_| is_compared);
            let changed_at = same.map_or(offset, |row| row.changed_at);
            self.rows.insert(record.key.clone(), CopyRow { offset, changed_at, listed });
        }
        let position = LogPosition { era, offset };
        match self.directory.take(now, &record.key, position, endpoint) {
            Some(DirectoryChange::Put(name, entry)) if may_have_left => {
                Some(DirectoryChange::Relisted(name, entry))
            }
            None if is_outdated => Some(DirectoryChange::Outdated(record.key)),
            change => change,
        }
    }

    /// Forgets the oldest removed keys if there are too many.
    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.listed.is_none());
        let mut removed: Vec<u64> = removed.map(|row| row.changed_at).collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort_unstable();
        let kept_from = removed[removed.len() - MAX_REMOVED / 2];
        self.rows.retain(|_, row| row.listed.is_some() || row.changed_at >= kept_from);
        self.spans.forget_before(kept_from);
    }
}

/// Reports whether an endpoint has written several of the records.
fn has_heartbeats<V>(records: &[KeyedRecord<V>]) -> bool {
    let mut counts: HashMap<&str, u32> = HashMap::new();
    records.iter().filter(|record| record.value.is_some()).any(|record| {
        let count = counts.entry(&record.key).or_default();
        *count += 1;
        *count >= MIN_HEARTBEATS
    })
}
