//! All that one entry knows of the versions that began streams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    stream_origin::{
        ArchiveRecord, BatchError, EntryKey, MarkerInput, OriginAnswer, OriginArchive, OriginDelta,
        OriginEvidence, OriginLedger, OriginMarker, OriginQuestion, OriginRecord, STREAM_LIFE,
        ServedVersion, SpanAck, SpanAcks, StreamKey, VersionHistory, VersionKey, VersionNews,
        origin_archive::ArchivedNews,
    },
    suspect::LedgerPosition,
    time::TimePoint,
};

/// Age of an entry's copy of the store up to which the entry says that a service has one version.
pub const MAX_SOLE_AGE: Duration = Duration::from_secs(3);

/// Time since the last read of the shares by which streams began up to which an entry derives versions.
pub const MAX_DERIVED_AGE: Duration = Duration::from_secs(1);

/// Age of an entry's copy of the store from which on it shares all streams that it begins. It is
/// shorter than [`MAX_SOLE_AGE`], so that the records are there when they are needed.
const SHARING_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a record is kept after its caller has stopped waiting.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Time between two searches for expired records, in milliseconds.
const TIDY_PERIOD_MS: u64 = 5_000;

/// The versions that began streams, as one entry knows them.
#[derive(Debug)]
pub struct StreamOrigins {
    ledger: OriginLedger,
    history: VersionHistory,
    archive: OriginArchive,
    /// What this entry knows of the shares by which streams begin.
    marker: OriginMarker,
    /// What the entries that report to this one know of them.
    acks: SpanAcks,
    /// Whether the marker was read from the store or from another entry that knows it.
    knows_marker: bool,
    /// Services whose streams are shared with other entries.
    shared_services: BTreeSet<Box<str>>,
    /// Whether the copy of the store is so old that all streams are shared.
    is_stale: bool,
    /// Wall-clock time in milliseconds at which expired records are dropped next.
    tidied_at_ms: u64,
}

impl StreamOrigins {
    /// Returns what the process run `incarnation` of the entry `name` knows at its start.
    pub fn new(name: &str, incarnation: u64) -> StreamOrigins {
        StreamOrigins {
            ledger: OriginLedger::new(incarnation),
            history: VersionHistory::new(),
            archive: OriginArchive::new(),
            marker: OriginMarker::default(),
            acks: SpanAcks::new(EntryKey::new(name), incarnation),
            knows_marker: false,
            shared_services: BTreeSet::new(),
            is_stale: false,
            tidied_at_ms: 0,
        }
    }

    /// Notes the versions of all listed endpoints and the age of the copy of the store that lists
    /// them, and drops what has expired.
    pub fn step<'a>(
        &mut self,
        wall_ms: u64,
        store_age: Duration,
        listed: impl Iterator<Item = (&'a str, &'a str)>,
    ) {
        for (service, software) in listed {
            self.history.note_serving(wall_ms, service, software);
        }
        if wall_ms.abs_diff(self.tidied_at_ms) >= TIDY_PERIOD_MS {
            self.tidied_at_ms = wall_ms;
            self.history.expire(wall_ms);
            self.ledger.expire(wall_ms);
        }
        self.is_stale = store_age > SHARING_AGE;
        self.update_sharing();
    }

    /// Notes that a version is listed.
    pub fn note_listed(&mut self, wall_ms: u64, service: &str, software: &str) {
        self.history.note_serving(wall_ms, service, software);
        self.update_sharing();
    }

    /// Returns the versions that an entry lacks whose history has the digest `known`.
    pub fn version_news(&self, known: u64) -> VersionNews {
        self.history.news(known)
    }

    /// Merges the versions that another entry knows.
    pub fn merge_versions(&mut self, news: &VersionNews) {
        if !news.versions.is_empty() {
            news.versions.iter().for_each(|served| self.history.merge(served));
            self.update_sharing();
        }
    }

    /// Returns the services that have several versions.
    pub fn mixed_services(&self) -> Vec<Box<str>> {
        self.history.mixed_services()
    }

    /// Shares the streams that were noted before there was a reason to.
    fn update_sharing(&mut self) {
        let mixed: BTreeSet<Box<str>> = self.mixed_services().into_iter().collect();
        let (history, is_stale) = (&self.history, self.is_stale);
        if is_stale || mixed.difference(&self.shared_services).next().is_some() {
            self.ledger.share(|version| {
                let served = version.and_then(|version| history.version(version));
                is_stale || served.is_none_or(|served| mixed.contains(&served.service))
            });
        }
        self.shared_services = mixed;
    }

    /// Returns the version at which `stream` must begin, which follows from its identifier; `None` if it
    /// may begin at any.
    pub fn begin_version(&self, service: &str, stream: StreamKey) -> Option<VersionKey> {
        self.marker.begin_version(service, stream)
    }

    /// Returns the time at which the marker that this entry knows was written, 0 for none.
    pub fn marker_ms(&self) -> u64 {
        self.marker.written_ms
    }

    /// Returns the marker if it is later than one written at `known_ms`, without the entries, which only
    /// those that write to the store need.
    pub fn marker_news(&self, known_ms: u64) -> Option<OriginMarker> {
        let is_news = self.marker.written_ms > known_ms;
        is_news.then(|| OriginMarker { entries: BTreeMap::new(), ..self.marker.clone() })
    }

    /// Notes what the entry `name` reported of its group, and returns the digest of the group's entries if
    /// they are known.
    pub fn note_ack(&mut self, now: TimePoint, name: &str, ack: SpanAck) -> u64 {
        self.acks.note(now, EntryKey::new(name), ack)
    }

    /// Returns what this entry and those that report to it know of the shares by which streams begin, for
    /// a hub that knows the entries of the digest `known`.
    pub fn ack(&mut self, now: TimePoint, known: u64) -> SpanAck {
        let mut ack = self.acks.group(now, self.marker.newest_ms());
        if ack.digest == known {
            ack.entries.clear();
        }
        ack
    }

    /// Reports whether this entry knows the marker that the fleet knows, or that there is none.
    pub fn knows_marker(&self) -> bool {
        self.knows_marker
    }

    /// Notes that the marker is known, or that there is no waiting for it any longer.
    pub fn note_marker_known(&mut self) {
        self.knows_marker = true;
    }

    /// Merges a marker that another entry knows.
    pub fn merge_marker(&mut self, marker: Option<&OriginMarker>) {
        if let Some(marker) = marker {
            self.marker.join(marker);
        }
    }

    /// Notes how long a caller of a stream waits, over all its tries, when it first asks.
    pub fn note_patience(&mut self, service: &str, software: &str, patience: Duration) {
        let key = VersionKey::new(service, software);
        self.history.note_patience(key, patience.as_millis() as u64);
    }

    /// Notes that the caller of `stream` gets its first event from the version `software` of
    /// `service`, and that it waits until the wall-clock time `until_ms` at most.
    ///
    /// `is_split` tells whether several services run requests of the stream's route.
    pub fn begin(
        &mut self,
        now: TimePoint,
        stream: StreamKey,
        service: &str,
        software: &str,
        until_ms: u64,
        is_split: bool,
    ) {
        let version = Some(VersionKey::new(service, software));
        let shares = is_split || self.is_stale || self.shared_services.contains(service);
        let expires_s = (until_ms + EXPIRY_MARGIN.as_millis() as u64).div_ceil(1_000) as u32;
        let record = OriginRecord { stream, version, expires_s };
        self.ledger.merge(now, record, OriginEvidence::Own, shares);
    }

    /// Returns the version that began a stream, as far as this entry knows; `store_age` is the age
    /// of its copy of the store.
    pub fn find(
        &self,
        now: TimePoint,
        store_age: Duration,
        question: &OriginQuestion,
    ) -> OriginAnswer {
        let found = question.stream.and_then(|stream| self.ledger.find(now, stream));
        if let Some(answer) = found {
            return answer;
        }
        if !self.is_read(now) {
            return OriginAnswer::without(OriginEvidence::Incomplete, store_age);
        }
        let sole = || match question.services.as_slice() {
            [service] if store_age <= MAX_SOLE_AGE => self.history.sole(service),
            _ => None,
        };
        let derived = self.derive(now, question).map(|version| (version, OriginEvidence::Derived));
        match derived.or_else(|| Some((sole()?, OriginEvidence::Sole))) {
            Some((version, evidence)) => {
                OriginAnswer { version: Some(version), evidence, age: store_age }
            }
            None => OriginAnswer::without(OriginEvidence::Unknown, store_age),
        }
    }

    /// Returns the version that follows from the identifier of a stream, if it is the same by all shares by
    /// which the stream may have begun.
    fn derive(&self, now: TimePoint, question: &OriginQuestion) -> Option<VersionKey> {
        self.archive.read_at().filter(|at| now.since(*at) <= MAX_DERIVED_AGE)?;
        let ([service], Some(stream)) = (question.services.as_slice(), question.stream) else {
            return None;
        };
        let patience_ms = self.history.patience_ms(service).max(question.timeout_ms);
        let asked_ms = question.waits_until_ms?.checked_sub(patience_ms)?;
        self.marker.derived_version(service, stream, asked_ms)
    }

    /// Returns the longest time from now that a caller counts as waiting for a stream.
    pub fn waiting_time(stated: Duration) -> Duration {
        stated.min(STREAM_LIFE)
    }

    /// Returns the version with this key, if it is known.
    pub fn version(&self, key: VersionKey) -> Option<&ServedVersion> {
        self.history.version(key)
    }

    /// Returns the number of streams whose versions are known.
    pub fn len(&self) -> usize {
        self.ledger.len()
    }

    /// Reports whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Returns the records that were shared after `seen`, a position that a hub has reached.
    pub fn shared_since(&self, seen: LedgerPosition) -> OriginDelta {
        self.ledger.shared_since(seen)
    }

    /// Returns the position after all records so far.
    pub fn position(&self) -> LedgerPosition {
        self.ledger.position()
    }

    /// Merges the records of another entry.
    pub fn merge(&mut self, now: TimePoint, delta: &OriginDelta) {
        for record in &delta.records {
            self.ledger.merge(now, *record, OriginEvidence::Peer, true);
        }
    }

    /// Merges a record of the store.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be read.
    pub fn take_archived(
        &mut self,
        now: TimePoint,
        key: &str,
        value: &[u8],
    ) -> Result<(), BatchError> {
        match self.archive.take(key, value)? {
            ArchivedNews::Streams(records) => {
                for record in records {
                    self.ledger.merge(now, record, OriginEvidence::Store, false);
                }
            }
            ArchivedNews::Version(served) => self.history.merge(&served),
            ArchivedNews::Marker(marker) => self.merge_marker(Some(&marker)),
            ArchivedNews::Nothing => {}
        }
        Ok(())
    }

    /// Reports whether this entry knows what the store had [`MAX_SOLE_AGE`] ago.
    pub fn is_read(&self, now: TimePoint) -> bool {
        self.archive.read_at().is_some_and(|at| now.since(at) <= MAX_SOLE_AGE)
    }

    /// Returns the time at which everything in the store was last read; `None` if it was not read
    /// since this entry began to write.
    pub fn read_at(&self) -> Option<TimePoint> {
        self.archive.read_at()
    }

    /// Notes that everything in the store was read at `now`.
    pub fn note_read(&mut self, now: TimePoint) {
        self.archive.note_read(now);
        self.knows_marker = true;
        self.update_sharing();
    }

    /// Forgets what the store has, because this entry no longer writes on behalf of others.
    pub fn forget_archive(&mut self) {
        self.archive.forget();
    }

    /// Notes that the store came back from an older copy, which may lack what it had.
    pub fn note_loss(&mut self) {
        self.archive.forget();
        self.ledger.share(|_| true);
    }

    /// Returns the records to write so that the store has all that this entry knows; empty if it
    /// lacks nothing. `writer` is unique for the run of the process.
    pub fn pending(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        writer: &str,
        input: &MarkerInput,
    ) -> Vec<ArchiveRecord> {
        let ack = self.acks.group(now, self.marker.newest_ms());
        let marker = self.marker.next(wall_ms, &ack, input);
        self.archive.pending(wall_ms, writer, &self.ledger, &self.history, marker)
    }

    /// Notes that the store has the records of the last call of [`pending`](StreamOrigins::pending).
    ///
    /// Returns the marker if it was among them.
    pub fn note_written(&mut self) -> Option<OriginMarker> {
        let marker = self.archive.note_written();
        self.merge_marker(marker.as_ref());
        marker
    }
}
