//! What the store has of the streams and versions that the writing entry knows.

use std::collections::BTreeMap;

use crate::{
    stream_origin::{
        BatchError, OriginLedger, OriginMarker, OriginRecord, ServedVersion, VersionHistory,
        VersionKey, origin_batch,
    },
    suspect::LedgerPosition,
    time::{MAX_WALL_MS, TimePoint},
};

/// Beginning of the keys of batches of records.
const BATCH_KEY: &str = "batch.";

/// Beginning of the keys of versions.
const VERSION_KEY: &str = "version.";

/// Key of the marker.
const MARKER_KEY: &str = "marker";

/// Maximum number of expired records that one write removes.
const MAX_REMOVED: usize = 64;

/// A record of the store: its key, and its value, which is empty to remove the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchiveRecord {
    /// Key.
    pub key: Box<str>,
    /// Value.
    pub value: Vec<u8>,
}

impl ArchiveRecord {
    /// Reports whether the record is a marker.
    pub fn is_marker(&self) -> bool {
        *self.key == *MARKER_KEY
    }
}

/// What a record of the store says.
#[derive(Debug)]
pub(super) enum ArchivedNews {
    /// Streams.
    Streams(Vec<OriginRecord>),
    /// A version that serves or has served.
    Version(ServedVersion),
    /// By which shares streams have begun.
    Marker(OriginMarker),
    /// Nothing; the record was removed, or is of a later version of this program.
    Nothing,
}

/// What is under way to the store.
#[derive(Clone, Debug, Default)]
struct PendingWrite {
    position: LedgerPosition,
    batches: BTreeMap<Box<str>, u64>,
    removed: Vec<Box<str>>,
    versions: BTreeMap<VersionKey, u64>,
    marker: Option<OriginMarker>,
}

/// Tracks, for the entry that writes on behalf of all, what the store has.
#[derive(Debug, Default)]
pub struct OriginArchive {
    /// Time at which everything in the store was last read; `None` if it was not read since this
    /// entry began to write.
    read_at: Option<TimePoint>,
    /// Position in this entry's records up to which the store has them.
    written: LedgerPosition,
    /// Wall-clock time in milliseconds at which the last record of each batch expires.
    batches: BTreeMap<Box<str>, u64>,
    /// End of each version as the store has it.
    versions: BTreeMap<VersionKey, u64>,
    /// The marker that the store has.
    marker: Option<OriginMarker>,
    /// Whether the store has a marker that cannot be read, or that another writer has removed.
    is_marker_unreadable: bool,
    /// Number of batches that this entry wrote.
    writes: u64,
    pending: PendingWrite,
}

impl OriginArchive {
    /// Returns the archive of an entry that has not read the store.
    pub fn new() -> OriginArchive {
        OriginArchive::default()
    }

    /// Returns the time at which everything in the store was last read.
    pub fn read_at(&self) -> Option<TimePoint> {
        self.read_at
    }

    /// Notes that everything in the store was read at `now`.
    pub fn note_read(&mut self, now: TimePoint) {
        self.read_at = Some(now);
    }

    /// Forgets what the store has, because it may have lost it or another entry may write.
    pub fn forget(&mut self) {
        *self = OriginArchive { writes: self.writes, ..OriginArchive::default() };
    }

    /// Notes a record that the store has, and returns what it says.
    pub(super) fn take(&mut self, key: &str, value: &[u8]) -> Result<ArchivedNews, BatchError> {
        if key == MARKER_KEY {
            self.marker = serde_json::from_slice(value).ok().filter(OriginMarker::is_readable);
            self.is_marker_unreadable = self.marker.is_none();
            return self.marker.clone().map(ArchivedNews::Marker).ok_or(BatchError);
        }
        if value.is_empty() {
            self.batches.remove(key);
            return Ok(ArchivedNews::Nothing);
        }
        if key.starts_with(BATCH_KEY) {
            let records = origin_batch::decode(value)?;
            self.batches.insert(key.into(), end_ms(&records));
            return Ok(ArchivedNews::Streams(records));
        }
        if key.starts_with(VERSION_KEY) {
            let served: ServedVersion = serde_json::from_slice(value).map_err(|_| BatchError)?;
            if !served.is_readable() {
                return Err(BatchError);
            }
            let version = VersionKey::new(&served.service, &served.software);
            self.versions.insert(version, served.until_ms);
            return Ok(ArchivedNews::Version(served));
        }
        Ok(ArchivedNews::Nothing)
    }

    /// Returns the marker that the store has.
    pub(super) fn marker(&self) -> Option<&OriginMarker> {
        self.marker.as_ref()
    }

    /// Reports whether the store has a marker that cannot be read, or that another writer has removed.
    pub(super) fn is_marker_unreadable(&self) -> bool {
        self.is_marker_unreadable
    }

    /// Reports whether one write holds all records that the store lacks.
    pub(super) fn fits(&self, ledger: &OriginLedger) -> bool {
        ledger.shared_since(self.written).position == ledger.position()
    }

    /// Returns the records to write so that the store has all that this entry knows; empty if it
    /// lacks nothing. `writer` is unique for the run of the process; `marker` is what the store should have.
    pub(super) fn pending(
        &mut self,
        wall_ms: u64,
        writer: &str,
        ledger: &OriginLedger,
        history: &VersionHistory,
        marker: OriginMarker,
    ) -> Vec<ArchiveRecord> {
        let mut pending = PendingWrite { position: self.written, ..PendingWrite::default() };
        let mut records = Vec::new();
        for (key, served) in history.rows() {
            if self.versions.get(&key) != Some(&served.until_ms) {
                pending.versions.insert(key, served.until_ms);
                let value = serde_json::json!(served).to_string().into_bytes();
                let key = format!("{VERSION_KEY}{:016x}", key.0).into();
                records.push(ArchiveRecord { key, value });
            }
        }
        let delta = ledger.shared_since(self.written);
        if !delta.records.is_empty() {
            self.writes += 1;
            let key: Box<str> = format!("{BATCH_KEY}{writer}.{}", self.writes).into();
            pending.batches.insert(key.clone(), end_ms(&delta.records));
            records.push(ArchiveRecord { key, value: origin_batch::encode(&delta.records) });
        }
        pending.position = delta.position;
        let expired = self.batches.iter().filter(|(_, end_ms)| **end_ms < wall_ms);
        for (key, _) in expired.take(MAX_REMOVED) {
            pending.removed.push(key.clone());
            records.push(ArchiveRecord { key: key.clone(), value: Vec::new() });
        }
        let stored_ms = self.marker.as_ref().map_or(0, |stored| stored.written_ms);
        let written_ms = wall_ms.max(marker.written_ms.saturating_add(1)).min(MAX_WALL_MS);
        // The time alone makes no other marker.
        let same = OriginMarker { written_ms: stored_ms, ..marker.clone() };
        if !marker.spans.is_empty() && self.marker.as_ref() != Some(&same) {
            let marker = OriginMarker { written_ms, ..marker };
            let value = serde_json::json!(marker).to_string().into_bytes();
            records.push(ArchiveRecord { key: MARKER_KEY.into(), value });
            pending.marker = Some(marker);
        }
        self.pending = pending;
        records
    }

    /// Notes that the store has the records of the last call of `pending`, and returns the marker
    /// among them.
    pub(super) fn note_written(&mut self) -> Option<OriginMarker> {
        let pending = std::mem::take(&mut self.pending);
        self.written = pending.position;
        self.batches.retain(|key, _| !pending.removed.contains(key));
        self.batches.extend(pending.batches);
        self.versions.extend(pending.versions);
        if pending.marker.is_some() {
            self.marker = pending.marker.clone();
            self.is_marker_unreadable = false;
        }
        pending.marker
    }
}

/// Returns the wall-clock time in milliseconds at which the last of the records expires.
fn end_ms(records: &[OriginRecord]) -> u64 {
    let last = records.iter().map(|record| record.expires_s).max().unwrap_or(0);
    (u64::from(last) + 1) * 1_000
}
