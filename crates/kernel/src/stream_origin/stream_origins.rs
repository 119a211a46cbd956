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
        origin_archive::ArchivedNews, origin_marker::WriterKnowledge,
    },
    suspect::LedgerPosition,
    time::TimePoint,
};

/// Age of an entry's copy of the store from which on it shares all streams that it begins, as no version
/// follows without the store.
const SHARING_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a record is kept after its caller has stopped waiting.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Longest pause between two attempts to read the store of an entry that has not stood still.
const MAX_PAUSE: Duration = Duration::from_secs(2);

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
    /// Era of the store.
    era: u64,
    /// Era of the store before whose beginning this entry knew all spans that others may have followed; 0 for
    /// none.
    witnessed_era: u64,
    /// Time at which this entry last tried to read the store on behalf of others.
    tried_at: TimePoint,
    /// Whether all entries that are not missing reported to this one when it last read the store, and it has tried
    /// again since without a long pause.
    hears_all: bool,
    /// Whether there is no waiting for the marker any longer before requests of other kinds are served.
    is_overdue: bool,
    /// Whether a hub counts this entry among those that follow the marker, or this entry writes it.
    is_counted: bool,
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
            era: 0,
            witnessed_era: 0,
            tried_at: TimePoint::ZERO,
            hears_all: false,
            is_overdue: false,
            is_counted: false,
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
        let mut mixed = self.history.mixed_services();
        mixed.extend(self.marker.mixed_services());
        mixed.sort();
        mixed.dedup();
        mixed
    }

    /// Returns the number of services whose streams without a record may have begun at any version.
    pub fn unknown_services(&self) -> usize {
        self.marker.unknown_services().len()
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

    /// Notes that `stream` begins, and returns the version at which it must, which follows from its identifier by
    /// the shares that the fleet follows; `None` if this entry does not know these, so that no stream may begin.
    ///
    /// The record is kept until the wall-clock time `until_ms`. The second value tells whether other entries
    /// must have the record at once.
    pub fn begin_at(
        &mut self,
        now: TimePoint,
        service: &str,
        stream: StreamKey,
        until_ms: u64,
    ) -> Option<(VersionKey, bool)> {
        let version = self.begin_version(service, stream)?;
        let needs_record = self.marker.needs_record(service, stream);
        let has_reason = self.is_stale || self.shared_services.contains(service);
        let shares = needs_record || has_reason || self.marker.may_be_any(service);
        self.note(now, stream, Some(version), until_ms, OriginEvidence::Own, shares);
        Some((version, needs_record))
    }

    /// Returns the version at which `stream` must begin, which follows from its identifier; `None` if no
    /// stream of `service` may begin.
    pub fn begin_version(&self, service: &str, stream: StreamKey) -> Option<VersionKey> {
        // A span ends once all entries that are counted follow a later one.
        self.is_counted.then(|| self.marker.begin_version(service, stream)).flatten()
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
        let mut ack = self.group_ack(now);
        if ack.digest == known {
            ack.entries.clear();
        }
        ack
    }

    /// Reports whether new shares were announced or followed within `span`, and entries are to learn of it.
    pub fn is_settling(&self, wall_ms: u64, span: Duration) -> bool {
        let newest_ms = self.marker.newest_ms();
        self.marker.is_unsettled() && wall_ms < newest_ms.saturating_add(span.as_millis() as u64)
    }

    /// Reports whether one write holds all records that the store lacks.
    pub fn fits(&self) -> bool {
        self.archive.fits(&self.ledger)
    }

    /// Notes that a caller asked for a stream that `version` began, so that the record is kept until the
    /// wall-clock time `until_ms`.
    pub fn renew(&mut self, now: TimePoint, stream: StreamKey, version: VersionKey, until_ms: u64) {
        self.note(now, stream, Some(version), until_ms, OriginEvidence::Peer, true);
    }

    fn group_ack(&mut self, now: TimePoint) -> SpanAck {
        let mut ack = self.acks.group(now, self.marker.newest_ms());
        if self.ledger.lacks_records(now) {
            // An acknowledgement says that all streams from before it have records.
            ack.known_ms = 0;
        }
        ack
    }

    /// Reports whether this entry knows the marker that the fleet knows, or that there is none.
    pub fn knows_marker(&self) -> bool {
        self.knows_marker
    }

    /// Notes that this entry knows the marker that the fleet knows.
    pub fn note_marker_known(&mut self) {
        self.knows_marker = true;
    }

    /// Reports whether there is no waiting for the marker any longer before requests of other kinds are served.
    pub fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// Notes that there is no waiting for the marker any longer before requests of other kinds are served.
    pub fn note_overdue(&mut self) {
        self.is_overdue = true;
    }

    /// Notes that a hub counts this entry among those that follow the marker.
    pub fn note_counted(&mut self) {
        self.is_counted = true;
    }

    /// Merges a marker that another entry knows, unless none can have written it.
    pub fn merge_marker(&mut self, marker: Option<&OriginMarker>) {
        if let Some(marker) = marker.filter(|marker| marker.is_readable()) {
            self.marker.join(marker);
            self.update_sharing();
        }
    }

    /// Notes that the caller of `stream` gets its first event from the version `software` of
    /// `service`. The record is kept until the wall-clock time `until_ms`.
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
        self.note(now, stream, version, until_ms, OriginEvidence::Own, shares);
    }

    /// Notes that another version may have begun `stream` than its record says. The record is kept until the
    /// wall-clock time `until_ms`.
    pub fn note_unknown(&mut self, now: TimePoint, stream: StreamKey, until_ms: u64) {
        self.note(now, stream, None, until_ms, OriginEvidence::Peer, true);
    }

    fn note(
        &mut self,
        now: TimePoint,
        stream: StreamKey,
        version: Option<VersionKey>,
        until_ms: u64,
        evidence: OriginEvidence,
        shares: bool,
    ) {
        let until_ms = until_ms.saturating_add(EXPIRY_MARGIN.as_millis() as u64);
        let expires_s = u32::try_from(until_ms.div_ceil(1_000)).unwrap_or(u32::MAX);
        let record = OriginRecord { stream, version, expires_s };
        self.ledger.merge(now, record, evidence, shares);
    }

    /// Returns the version that began a stream, as far as this entry knows, for a question that came at
    /// `asked_at`.
    ///
    /// A record may be of any age. Without one the version follows from the spans in the store, if they were
    /// read after the question came: what another entry has begun by then, it began by one of them.
    pub fn find(
        &self,
        now: TimePoint,
        asked_at: TimePoint,
        question: &OriginQuestion,
    ) -> OriginAnswer {
        let found = question.stream.and_then(|stream| self.ledger.find(now, stream));
        if let Some(answer) = found {
            return answer;
        }
        let read_at = self.archive.read_at().filter(|at| *at >= asked_at);
        // A marker that another entry wrote since the read may rest on records that the read lacks, and one of
        // an earlier era may lack spans that the store has lost.
        let is_read = self.archive.marker().is_some_and(|marker| {
            marker.written_ms >= self.marker.written_ms && marker.era >= self.era
        });
        let Some(read_at) = read_at.filter(|_| is_read) else {
            return OriginAnswer::without(OriginEvidence::Incomplete, Duration::ZERO);
        };
        let age = now.since(read_at);
        match self.derive(question).filter(|_| !self.ledger.lacks_records(now)) {
            Some((version, evidence)) => OriginAnswer { version: Some(version), evidence, age },
            None => OriginAnswer::without(OriginEvidence::Unknown, age),
        }
    }

    /// Returns the version that follows from the spans in which a stream without a record may have begun.
    fn derive(&self, question: &OriginQuestion) -> Option<(VersionKey, OriginEvidence)> {
        let [service] = question.services.as_slice() else { return None };
        if let Some(version) = self.marker.sole_version(service) {
            return Some((version, OriginEvidence::Sole));
        }
        let version = self.marker.derived_version(service, question.stream?)?;
        Some((version, OriginEvidence::Derived))
    }

    /// Returns the time after which a caller that states `patience` no longer asks for its stream, as long as
    /// each of its tries begins within the patience of the one before.
    pub fn waiting_time(patience: Duration) -> Duration {
        (2 * patience.min(STREAM_LIFE)).min(STREAM_LIFE)
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

    /// Reports whether all that was shared up to now comes before `position`.
    pub fn is_whole(&self, position: LedgerPosition) -> bool {
        position == self.ledger.position()
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
        self.merge_records(now, &delta.records);
    }

    /// Merges records that another entry passed on at once.
    pub fn merge_records(&mut self, now: TimePoint, records: &[OriginRecord]) {
        for record in records {
            self.ledger.merge(now, *record, OriginEvidence::Peer, true);
        }
    }

    /// Returns the record of a stream, if there is one.
    pub fn record(&self, stream: StreamKey) -> Option<OriginRecord> {
        self.ledger.record(stream)
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

    /// Returns the time at which everything in the store was last read; `None` if it was not read
    /// since this entry began to write.
    pub fn read_at(&self) -> Option<TimePoint> {
        self.archive.read_at()
    }

    /// Notes that everything in the store was read at `now`.
    pub fn note_read(&mut self, now: TimePoint) {
        self.archive.note_read(now);
        self.tried_at = now;
        let reporting = self.acks.group(now, 0).entries;
        let mut present = self.marker.entries.iter().filter(|(_, marked)| !marked.is_missing);
        self.hears_all = present.all(|(entry, _)| reporting.contains_key(entry));
        self.knows_marker = true;
        self.is_counted = true;
        self.update_sharing();
    }

    /// Notes that the store did not answer a read at `now`.
    pub fn note_failed_read(&mut self, now: TimePoint) {
        self.hears_all &= now.since(self.tried_at) <= MAX_PAUSE;
        self.tried_at = now;
    }

    /// Forgets what the store has, because this entry no longer writes on behalf of others.
    pub fn forget_archive(&mut self) {
        self.archive.forget();
        self.hears_all = false;
    }

    /// Notes that the store came back from an older copy, which may lack what it had, in the era `era`.
    pub fn note_era(&mut self, now: TimePoint, era: u64) {
        // No other entry can have written spans that this one has not read, if they all reported to it.
        if self.hears_all && now.since(self.tried_at) <= MAX_PAUSE {
            self.witnessed_era = era;
        }
        self.era = era;
        self.forget_archive();
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
        let ack = self.group_ack(now);
        let knowledge = WriterKnowledge {
            is_complete: self.archive.fits(&self.ledger),
            is_witness: self.witnessed_era == input.era,
            is_unreadable: self.archive.is_marker_unreadable(),
        };
        let marker = self.marker.next(wall_ms, &ack, input, knowledge);
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
