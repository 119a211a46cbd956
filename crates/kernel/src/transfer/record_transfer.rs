//! How an entry fetches the newest version of a record.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    time::TimePoint,
    transfer::{MAX_CHUNK_BYTES, PartPace, RecordOutline, RecordStamp},
};

/// Time for which a source is left alone after it was busy, and after it did not answer.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Longest time between two steps while a record is wanted.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Number of failures of a source after which it is forgotten until it is named again.
const MAX_FAILURES: u32 = 4;

/// What an entry does next to fetch a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferStep {
    /// No record is wanted.
    Idle,
    /// Nobody can be asked before this time has passed.
    Wait(Duration),
    /// Ask the source for the outline of the record.
    FetchOutline {
        /// Entry to ask.
        source: SocketAddr,
        /// The record.
        stamp: RecordStamp,
    },
    /// Ask the source for chunks of the record.
    FetchChunks {
        /// Entry to ask.
        source: SocketAddr,
        /// The record.
        stamp: RecordStamp,
        /// Indexes into the outline.
        chunks: Vec<u32>,
    },
    /// The record is complete.
    Complete {
        /// The record.
        stamp: RecordStamp,
        /// Its value.
        value: Vec<u8>,
    },
}

/// What is known of an entry that has the record.
#[derive(Clone, Debug)]
struct SourceRow {
    /// Highest version that the entry has.
    version: u64,
    /// Versions that the entry turned out not to have.
    lacks: Vec<u64>,
    ready_at: TimePoint,
    failures: u32,
}

/// A record that is fetched.
#[derive(Clone, Debug)]
struct WantedRecord {
    stamp: RecordStamp,
    outline: Option<RecordOutline>,
}

impl WantedRecord {
    fn new(stamp: RecordStamp) -> WantedRecord {
        WantedRecord { stamp, outline: None }
    }
}

/// Fetches the newest version of a record, part by part and from one source at a time.
///
/// A version that is newer than the one under way replaces it if it leaves no more bytes to fetch;
/// otherwise the one under way is completed first, so that versions which follow each other faster than
/// the link carries them do not keep the entry at its old one.
#[derive(Clone, Debug, Default)]
pub struct RecordTransfer {
    current: Option<WantedRecord>,
    /// A newer version than `current`.
    newer: Option<WantedRecord>,
    sources: BTreeMap<SocketAddr, SourceRow>,
    /// The source that answered last.
    served_by: Option<SocketAddr>,
    /// Chunks that arrived, or that an earlier version has, by digest.
    chunks: HashMap<u64, Box<[u8]>>,
    pace: PartPace,
    begun_at: TimePoint,
    /// Time since which nobody who might have the record has answered.
    unanswered_since: Option<TimePoint>,
    fetched_bytes: u64,
    /// Highest version that arrived and could not be used.
    refused: Option<u64>,
}

impl RecordTransfer {
    /// Returns a transfer that wants no record.
    pub fn new() -> RecordTransfer {
        RecordTransfer::default()
    }

    /// Returns the newest record that is wanted.
    pub fn wanted(&self) -> Option<RecordStamp> {
        self.newer.as_ref().or(self.current.as_ref()).map(|record| record.stamp)
    }

    /// Returns the time since which a record is wanted without having arrived; `None` if none is.
    pub fn wanted_since(&self) -> Option<TimePoint> {
        self.current.as_ref().map(|_| self.begun_at)
    }

    /// Reports whether a record is wanted and, for the time `patience`, nobody who might have it has
    /// answered. A slow link or a busy source are no reason to look elsewhere.
    pub fn is_stuck(&self, now: TimePoint, patience: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) > patience)
    }

    /// Returns the number of bytes of records that arrived since a record is wanted.
    pub fn fetched_bytes(&self) -> u64 {
        self.fetched_bytes
    }

    /// Notes a record that is newer than this entry's, and the entry that has it, if known.
    pub fn offer(&mut self, now: TimePoint, stamp: RecordStamp, source: Option<SocketAddr>) {
        if !stamp.is_readable() || self.refused >= Some(stamp.version) {
            return;
        }
        if let Some(source) = source {
            self.note_source(now, source, stamp.version);
        }
        if self.wanted().is_some_and(|wanted| wanted.version >= stamp.version) {
            self.prefer_held(stamp);
            return;
        }
        if self.current.is_none() {
            self.begun_at = now;
            self.fetched_bytes = 0;
            self.current = Some(WantedRecord::new(stamp));
        } else {
            self.newer = Some(WantedRecord::new(stamp));
        }
    }

    /// Fetches an offered record first if nobody is known to have the one that is wanted.
    fn prefer_held(&mut self, stamp: RecordStamp) {
        let Some(current) = &self.current else { return };
        let is_reachable = current.outline.is_some() || self.holder(current.stamp.version);
        if stamp.version < current.stamp.version && !is_reachable && self.holder(stamp.version) {
            self.unanswered_since = None;
            let unheld = self.current.replace(WantedRecord::new(stamp));
            self.newer = self.newer.take().or(unheld);
        }
    }

    /// Reports whether an entry is known that may have this version.
    fn holder(&self, version: u64) -> bool {
        let may_have = |row: &SourceRow| row.version >= version && !row.lacks.contains(&version);
        self.sources.values().any(may_have)
    }

    /// Notes an entry that has this version.
    pub fn note_source(&mut self, now: TimePoint, source: SocketAddr, version: u64) {
        let fresh = SourceRow { version, lacks: Vec::new(), ready_at: now, failures: 0 };
        let row = self.sources.entry(source).or_insert(fresh);
        row.version = row.version.max(version);
    }

    /// Notes that this entry has this version; what is not newer is no longer wanted.
    pub fn note_reached(&mut self, now: TimePoint, version: u64) {
        let is_newer = |record: &WantedRecord| record.stamp.version > version;
        self.newer = self.newer.take().filter(is_newer);
        self.current = self.current.take().filter(is_newer).or_else(|| {
            self.begun_at = now;
            self.unanswered_since = None;
            self.newer.take()
        });
        for row in self.sources.values_mut() {
            row.lacks.retain(|lacking| *lacking > version);
        }
        if self.current.is_none() {
            let (pace, refused) = (self.pace, self.refused);
            *self = RecordTransfer { pace, refused, ..RecordTransfer::new() };
        }
        self.forget_chunks();
    }

    /// Notes that the record of this version arrived and cannot be used.
    pub fn note_refused(&mut self, now: TimePoint, version: u64) {
        self.refused = self.refused.max(Some(version));
        self.note_reached(now, version);
    }

    /// Forgets all that is wanted, as the store has lost it.
    pub fn forget(&mut self) {
        *self = RecordTransfer::new();
    }

    /// Returns what to do next.
    pub fn step(&mut self, now: TimePoint) -> TransferStep {
        let Some(current) = &self.current else { return TransferStep::Idle };
        let unknown = self.newer.as_ref().filter(|newer| newer.outline.is_none());
        if let Some(newer) = unknown
            && let Ok(source) = self.source(now, newer.stamp.version)
        {
            return TransferStep::FetchOutline { source, stamp: newer.stamp };
        }
        if self.is_superseded(current) {
            self.current = self.newer.take();
            self.forget_chunks();
        }
        let Some(current) = &self.current else { return TransferStep::Idle };
        let stamp = current.stamp;
        let missing = current.outline.as_ref().map(|outline| self.missing(outline));
        if let Some(outline) = current.outline.as_ref().filter(|_| missing.as_deref() == Some(&[]))
        {
            let value = outline.chunks().iter().flat_map(|chunk| &*self.chunks[&chunk.digest]);
            return TransferStep::Complete { stamp, value: value.copied().collect() };
        }
        match (self.source(now, stamp.version), missing) {
            (Err(pause), _) => {
                self.unanswered_since.get_or_insert(now);
                TransferStep::Wait(pause)
            }
            (Ok(source), None) => TransferStep::FetchOutline { source, stamp },
            (Ok(source), Some(missing)) => {
                let chunks = self.part_of(current, missing);
                TransferStep::FetchChunks { source, stamp, chunks }
            }
        }
    }

    /// Takes the outline that `source` sent for a record; `own` is the version that this entry has. Returns
    /// whether the outline is the record's.
    pub fn take_outline(
        &mut self,
        now: TimePoint,
        source: SocketAddr,
        stamp: RecordStamp,
        outline: RecordOutline,
        own: Option<(&RecordOutline, &[u8])>,
    ) -> bool {
        if !outline.belongs_to(&stamp) {
            self.note_failure(now, source);
            return false;
        }
        let needed: HashSet<u64> = outline.chunks().iter().map(|chunk| chunk.digest).collect();
        let places = own.into_iter().flat_map(|(outline, value)| {
            outline.places().map(move |(chunk, place)| (chunk, value.get(place)))
        });
        for (chunk, bytes) in places.filter(|(chunk, _)| needed.contains(&chunk.digest)) {
            if let Some(bytes) = bytes {
                self.chunks.entry(chunk.digest).or_insert_with(|| bytes.into());
            }
        }
        let wanted = [&mut self.current, &mut self.newer].into_iter().flatten();
        for record in wanted.filter(|record| record.stamp == stamp) {
            record.outline = Some(outline.clone());
        }
        self.note_progress(source);
        true
    }

    /// Takes the bytes of `chunks` that `source` sent after `time`, and returns how many bytes of them were
    /// wanted.
    pub fn take_chunks(
        &mut self,
        now: TimePoint,
        source: SocketAddr,
        stamp: RecordStamp,
        chunks: &[u32],
        values: Vec<impl AsRef<[u8]>>,
        time: Duration,
    ) -> u64 {
        let current = self.current.as_ref().filter(|current| current.stamp == stamp);
        let Some(outline) = current.and_then(|current| current.outline.as_ref()) else { return 0 };
        let asked = chunks.iter().map(|index| outline.chunks().get(*index as usize).copied());
        let mut taken = 0;
        for (chunk, value) in asked.zip(values) {
            let value = value.as_ref();
            let Some(chunk) = chunk.filter(|chunk| chunk.is_made_of(value)) else { continue };
            taken += value.len() as u64;
            self.chunks.insert(chunk.digest, value.into());
        }
        if taken == 0 {
            self.note_failure(now, source);
            return 0;
        }
        self.pace.note_part(taken as usize, time);
        self.fetched_bytes += taken;
        self.note_progress(source);
        taken
    }

    /// Notes that `source` serves others, and names `holders`.
    pub fn note_busy(
        &mut self,
        now: TimePoint,
        source: SocketAddr,
        stamp: RecordStamp,
        holders: &[SocketAddr],
    ) {
        self.unanswered_since = None;
        self.pause_source(source, now + BUSY_PAUSE);
        for holder in holders {
            self.note_source(now, *holder, stamp.version);
        }
    }

    /// Notes that `source` does not have the record any more.
    pub fn note_gone(&mut self, source: SocketAddr, stamp: RecordStamp) {
        if let Some(row) = self.sources.get_mut(&source) {
            row.lacks.push(stamp.version);
        }
    }

    /// Notes that `source` did not answer, or not properly.
    pub fn note_failure(&mut self, now: TimePoint, source: SocketAddr) {
        self.pace.note_failure();
        self.unanswered_since.get_or_insert(now);
        self.pause_source(source, now + FAILURE_PAUSE);
        if let Some(row) = self.sources.get_mut(&source) {
            row.failures += 1;
            if row.failures >= MAX_FAILURES {
                self.sources.remove(&source);
            }
        }
    }

    fn pause_source(&mut self, source: SocketAddr, ready_at: TimePoint) {
        if let Some(row) = self.sources.get_mut(&source) {
            row.ready_at = ready_at;
        }
        self.served_by = self.served_by.filter(|serving| *serving != source);
    }

    fn note_progress(&mut self, source: SocketAddr) {
        self.unanswered_since = None;
        self.served_by = Some(source);
        if let Some(row) = self.sources.get_mut(&source) {
            row.failures = 0;
        }
    }

    /// Returns the entry to ask for this version, or the time until one may be asked.
    fn source(&self, now: TimePoint, version: u64) -> Result<SocketAddr, Duration> {
        let holders = self
            .sources
            .iter()
            .filter(|(_, row)| row.version >= version && !row.lacks.contains(&version));
        let ready = holders.clone().filter(|(_, row)| row.ready_at <= now);
        let rank = |(address, row): &(&SocketAddr, &SourceRow)| {
            (self.served_by != Some(**address), row.failures, row.ready_at)
        };
        match ready.min_by_key(rank) {
            Some((address, _)) => Ok(*address),
            None => {
                let ready_at = holders.map(|(_, row)| row.ready_at).min();
                Err(ready_at.map_or(MAX_PAUSE, |at| now.until(at)).min(MAX_PAUSE))
            }
        }
    }

    /// Reports whether the newer record is to be fetched in place of `current`.
    fn is_superseded(&self, current: &WantedRecord) -> bool {
        let Some(newer) = &self.newer else { return false };
        let is_gone = !self.holder(current.stamp.version);
        let left = |record: &WantedRecord| {
            record.outline.as_ref().map(|outline| self.missing_bytes(outline))
        };
        match (left(current), left(newer)) {
            (None, _) => is_gone || self.holder(newer.stamp.version),
            (Some(current), Some(newer)) => is_gone || newer <= current,
            (Some(_), None) => is_gone,
        }
    }

    /// Returns the indexes of the chunks that have not arrived.
    fn missing(&self, outline: &RecordOutline) -> Vec<u32> {
        let mut seen = HashSet::new();
        let chunks = outline.chunks().iter().zip(0..);
        let missing = chunks.filter(|(chunk, _)| {
            !self.chunks.contains_key(&chunk.digest) && seen.insert(chunk.digest)
        });
        missing.map(|(_, index)| index).collect()
    }

    fn missing_bytes(&self, outline: &RecordOutline) -> u64 {
        let bytes = |index: u32| u64::from(outline.chunks()[index as usize].bytes);
        self.missing(outline).into_iter().map(bytes).sum()
    }

    /// Returns the first of the `missing` chunks that make up one part.
    fn part_of(&self, wanted: &WantedRecord, missing: Vec<u32>) -> Vec<u32> {
        let rows = wanted.outline.as_ref().map_or(&[][..], RecordOutline::chunks);
        let mut bytes = 0;
        let most = self.pace.part_bytes().max(MAX_CHUNK_BYTES);
        let fitting = missing.into_iter().take_while(|index| {
            bytes += rows.get(*index as usize).map_or(0, |chunk| chunk.bytes as usize);
            bytes <= most
        });
        fitting.collect()
    }

    /// Forgets the chunks that no wanted record has.
    fn forget_chunks(&mut self) {
        let wanted = self.current.iter().chain(&self.newer);
        let outlines = wanted.filter_map(|record| record.outline.as_ref());
        let needed: HashSet<u64> =
            outlines.flat_map(|outline| outline.chunks()).map(|chunk| chunk.digest).collect();
        self.chunks.retain(|digest, _| needed.contains(digest));
    }
}
