//! The streams whose versions one entry knows.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    stream_origin::{
        OriginAnswer, OriginEvidence, OriginRecord, STREAM_LIFE, StreamKey, VersionKey,
    },
    suspect::{ChangeLog, LedgerPosition},
    time::TimePoint,
};

/// Maximum number of streams that an entry knows; further ones are not noted, and streams without a record
/// are then unknown for a while.
pub const MAX_ORIGINS: usize = 131_072;

/// Maximum number of records in one [`OriginDelta`]; the rest follows in later ones.
const MAX_DELTA: usize = 8_192;

/// The records of a ledger that were shared since a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginDelta {
    /// Position after these records.
    pub position: LedgerPosition,
    /// Records that are new or have changed.
    pub records: Vec<OriginRecord>,
}

#[derive(Clone, Copy, Debug)]
struct OriginRow {
    record: OriginRecord,
    evidence: OriginEvidence,
    noted_at: TimePoint,
    /// Whether other entries are told of the record.
    is_shared: bool,
}

/// Holds the versions of streams, those that this entry began and those that others did.
#[derive(Debug)]
pub struct OriginLedger {
    rows: HashMap<StreamKey, OriginRow>,
    changes: ChangeLog,
    /// Time at which a record was last not noted, as there was no room.
    full_at: Option<TimePoint>,
}

impl OriginLedger {
    /// Returns an empty ledger for the process run `incarnation`.
    pub fn new(incarnation: u64) -> OriginLedger {
        let changes = ChangeLog::new(incarnation);
        OriginLedger { rows: HashMap::new(), changes, full_at: None }
    }

    /// Merges a record, and shares it with other entries if `shares` is true.
    pub fn merge(
        &mut self,
        now: TimePoint,
        record: OriginRecord,
        evidence: OriginEvidence,
        shares: bool,
    ) {
        let is_full = self.rows.len() >= MAX_ORIGINS;
        let Some(row) = self.rows.get_mut(&record.stream) else {
            if is_full {
                self.full_at = Some(now);
                return;
            }
            let row = OriginRow { record, evidence, noted_at: now, is_shared: shares };
            self.rows.insert(record.stream, row);
            if shares {
                self.changes.note(record.stream.0);
            }
            return;
        };
        let joined = row.record.join(record);
        let is_news = joined != row.record || (shares && !row.is_shared);
        row.record = joined;
        row.is_shared |= shares;
        if is_news && row.is_shared {
            self.changes.note(record.stream.0);
        }
    }

    /// Shares the records of the versions that `is_due` accepts.
    pub fn share(&mut self, is_due: impl Fn(Option<VersionKey>) -> bool) {
        for row in self.rows.values_mut() {
            if !row.is_shared && is_due(row.record.version) {
                row.is_shared = true;
                self.changes.note(row.record.stream.0);
            }
        }
    }

    /// Returns what the records say of a stream; `None` if there is none.
    pub fn find(&self, now: TimePoint, stream: StreamKey) -> Option<OriginAnswer> {
        let row = self.rows.get(&stream)?;
        let age = now.since(row.noted_at);
        Some(match row.record.version {
            Some(version) => OriginAnswer { version: Some(version), evidence: row.evidence, age },
            None => OriginAnswer::without(OriginEvidence::Conflict, age),
        })
    }

    /// Reports whether a caller may still wait for a stream that was not noted, as there was no room.
    pub fn lacks_records(&self, now: TimePoint) -> bool {
        self.full_at.is_some_and(|at| now.since(at) < STREAM_LIFE)
    }

    /// Returns the record of a stream, if there is one.
    pub fn record(&self, stream: StreamKey) -> Option<OriginRecord> {
        self.rows.get(&stream).map(|row| row.record)
    }

    /// Drops the records of streams that no caller waits for.
    pub fn expire(&mut self, wall_ms: u64) {
        let now_s = u32::try_from(wall_ms / 1_000).unwrap_or(u32::MAX);
        let before = self.rows.len();
        self.rows.retain(|_, row| row.record.expires_s >= now_s);
        if self.rows.len() < before {
            self.changes.retain(|stream| self.rows.contains_key(&StreamKey(stream)));
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Reports whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the position after all changes so far.
    pub fn position(&self) -> LedgerPosition {
        self.changes.position()
    }

    /// Returns the records that were shared after `seen`, a position of this ledger that another
    /// process has reached; a position of an earlier run of this process counts as the start.
    pub fn shared_since(&self, seen: LedgerPosition) -> OriginDelta {
        let (position, streams) = self.changes.since(seen, MAX_DELTA);
        let rows = streams.iter().filter_map(|stream| self.rows.get(&StreamKey(*stream)));
        OriginDelta { position, records: rows.map(|row| row.record).collect() }
    }
}
