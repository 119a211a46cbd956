//! By which shares streams have begun, as the store has it and hubs pass it down.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    log_position::MAX_ERA,
    stream_origin::{
        EntryKey, STREAM_LIFE, ShareSpan, SpanAck, StreamKey, VersionKey, VersionShare,
        version_share::are_alike,
    },
    time::MAX_WALL_MS,
};

/// Time for which an entry that does not report is remembered, in milliseconds.
const ENTRY_LIFE_MS: u64 = 600_000;

/// Maximum number of spans of one service; older ones are taken together.
const MAX_SPANS: usize = 32;

/// Time after which a span is followed although not all entries know that it was announced, in milliseconds.
/// An entry that has ended counts as present for two seconds.
const MAX_NOTICE_MS: u64 = 1_000;

/// Facts of the fleet that go into a marker.
#[derive(Clone, Debug, Default)]
pub struct MarkerInput {
    /// Era of the store.
    pub era: u64,
    /// Versions that the endpoints of each service run, in order; services may be missing.
    pub shares: BTreeMap<Box<str>, Vec<VersionShare>>,
}

/// What the entry that writes a marker knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriterKnowledge {
    /// Whether the store has, or gets with the marker, all records that the entries have reported.
    pub(super) is_complete: bool,
    /// Whether this entry knew all spans when the store came back from an older copy.
    pub(super) is_witness: bool,
    /// Whether the store has a marker that cannot be read.
    pub(super) is_unreadable: bool,
}

/// An entry that reports, or did so lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkedEntry {
    /// Run of its process.
    pub run: u64,
    /// Whether it does not report now.
    pub is_missing: bool,
    /// Wall-clock time in milliseconds at which it is forgotten if it does not report.
    pub until_ms: u64,
}

/// The shares by which streams begin and have begun.
///
/// An entry follows a span only once the store has it. Markers that were written apart from each other
/// are joined to one that has the spans of both.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginMarker {
    /// Wall-clock time in milliseconds since 1970 at which the marker was written.
    pub written_ms: u64,
    /// Era of the store.
    pub era: u64,
    /// Entries that reported lately.
    pub entries: BTreeMap<EntryKey, MarkedEntry>,
    /// Wall-clock time in milliseconds at which the process of an entry was last known to have ended; 0 if
    /// none has while a caller may have waited for its streams.
    pub lost_ms: u64,
    /// Wall-clock time in milliseconds until which callers may wait for streams of services whose spans the
    /// store has lost; 0 if there are none.
    #[serde(default)]
    pub unknown_until_ms: u64,
    /// Spans of all services, the newest of each service last.
    pub spans: Vec<ShareSpan>,
}

impl OriginMarker {
    /// Reports whether an entry can have written the marker.
    pub(super) fn is_readable(&self) -> bool {
        let of_spans = self
            .spans
            .iter()
            .flat_map(|span| [span.since_ms, span.followed_ms, span.until_ms.unwrap_or_default()]);
        let of_entries = self.entries.values().map(|entry| entry.until_ms);
        let mut times = of_spans.chain(of_entries).chain([
            self.written_ms,
            self.lost_ms,
            self.unknown_until_ms,
        ]);
        self.era <= MAX_ERA && times.all(|time| time <= MAX_WALL_MS)
    }

    /// Returns the time of the newest span or of its being followed, 0 if there is none.
    pub(super) fn newest_ms(&self) -> u64 {
        self.spans.iter().map(ShareSpan::known_ms).max().unwrap_or(0)
    }

    /// Adds what another marker says.
    pub(super) fn join(&mut self, other: &OriginMarker) {
        let is_newer = other.written_ms > self.written_ms;
        self.written_ms = self.written_ms.max(other.written_ms);
        self.era = self.era.max(other.era);
        self.lost_ms = self.lost_ms.max(other.lost_ms);
        self.unknown_until_ms = self.unknown_until_ms.max(other.unknown_until_ms);
        for (entry, marked) in &other.entries {
            let known = self.entries.entry(*entry).or_insert(*marked);
            known.until_ms = known.until_ms.max(marked.until_ms);
            if is_newer {
                known.run = marked.run;
                known.is_missing = marked.is_missing;
            }
        }
        for span in &other.spans {
            let is_same = |known: &&mut ShareSpan| {
                (&known.service, known.since_ms, &known.shares)
                    == (&span.service, span.since_ms, &span.shares)
            };
            match self.spans.iter_mut().find(is_same) {
                Some(known) => known.join(span),
                None => self.spans.push(span.clone()),
            }
        }
        self.spans.sort_by_key(|span| span.since_ms);
        self.entries.retain(|_, marked| marked.until_ms > self.written_ms);
        self.forget(self.written_ms);
    }

    /// Returns what is to be written at `wall_ms` in place of this marker, given what the entries and the writer
    /// know.
    pub(super) fn next(
        &self,
        wall_ms: u64,
        ack: &SpanAck,
        input: &MarkerInput,
        knowledge: WriterKnowledge,
    ) -> OriginMarker {
        let mut next = self.clone();
        if next.era < input.era || knowledge.is_unreadable {
            next.note_loss(wall_ms, knowledge.is_witness && !knowledge.is_unreadable);
            next.era = next.era.max(input.era);
        }
        next.note_entries(wall_ms, ack);
        for (service, shares) in input.shares.iter().filter(|(_, shares)| !shares.is_empty()) {
            next.note_shares(wall_ms, service, shares);
        }
        if knowledge.is_complete {
            next.follow(wall_ms, ack.known_ms);
            next.end_spans(wall_ms, ack.known_ms);
        }
        next.forget(wall_ms);
        next
    }

    /// Accounts for spans that the store has lost, and by which streams may have begun. `is_witnessed` tells whether
    /// the writer knew all spans before.
    fn note_loss(&mut self, wall_ms: u64, is_witnessed: bool) {
        let mut followed_ms = wall_ms.max(self.newest_ms().saturating_add(1)).min(MAX_WALL_MS);
        for span in self.spans.iter_mut().filter(|span| span.is_announced_only()) {
            // What was announced may have been followed since.
            span.is_announced = false;
            span.followed_ms = followed_ms;
            followed_ms = followed_ms.saturating_add(1);
        }
        for service in self.services() {
            let shares = self.current(&service).map(|span| span.shares.clone());
            self.open(wall_ms, &service, &[]).is_witnessed = is_witnessed;
            if let Some(shares) = shares {
                self.open(wall_ms, &service, &shares);
            }
        }
        if !is_witnessed {
            // The entries that the store knew of are lost as well.
            self.lost_ms = wall_ms.max(self.newest_ms());
            let life_ms = STREAM_LIFE.as_millis() as u64;
            self.unknown_until_ms = wall_ms.saturating_add(life_ms).min(MAX_WALL_MS);
        }
    }

    /// Notes the shares by which streams of `service` should begin.
    fn note_shares(&mut self, wall_ms: u64, service: &str, shares: &[VersionShare]) {
        let Some(current) = self.current(service) else {
            if wall_ms < self.unknown_until_ms {
                self.open(wall_ms, service, &[]).lacks_records = true;
            }
            // No stream begins before the first span is followed.
            self.open(wall_ms, service, shares);
            return;
        };
        let is_current = are_alike(&current.shares, shares);
        let mut is_announced = false;
        for span in self.spans.iter_mut().filter(|span| span.is_announced_only()) {
            if *span.service != *service {
                continue;
            }
            match !is_current && are_alike(&span.shares, shares) {
                true => is_announced = true,
                // Nobody has followed it.
                false => span.until_ms = Some(wall_ms),
            }
        }
        if !is_current && !is_announced {
            self.open(wall_ms, service, shares).is_announced = true;
        }
    }

    /// Lets entries follow the spans that all of them know, whose records the store has, or that were
    /// announced long enough ago.
    fn follow(&mut self, wall_ms: u64, known_ms: u64) {
        let mut followed_ms = wall_ms.max(self.newest_ms().saturating_add(1));
        for span in self.spans.iter_mut().filter(|span| span.is_announced_only()) {
            let is_due =
                span.since_ms <= known_ms || span.since_ms.saturating_add(MAX_NOTICE_MS) <= wall_ms;
            if is_due {
                span.is_announced = false;
                span.followed_ms = followed_ms;
                followed_ms = followed_ms.saturating_add(1);
            }
        }
    }

    /// Reports whether a span waits to be followed, or an earlier one to end.
    pub fn is_unsettled(&self) -> bool {
        let open = |service: &str| {
            let of_service = self.spans.iter().filter(|span| *span.service == *service);
            of_service.filter(|span| span.until_ms.is_none()).count()
        };
        self.services().iter().any(|service| open(service) > 1)
    }

    /// Returns the services, in order.
    pub fn services(&self) -> Vec<Box<str>> {
        let mut services: Vec<_> = self.spans.iter().map(|span| span.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Returns the span by which streams of `service` begin now.
    fn current(&self, service: &str) -> Option<&ShareSpan> {
        let mut of_service = self.spans.iter().rev().filter(|span| *span.service == *service);
        of_service.find(|span| !span.shares.is_empty() && !span.is_announced)
    }

    /// Returns the services whose streams may begin at several versions, or are about to.
    pub(super) fn mixed_services(&self) -> Vec<Box<str>> {
        let is_mixed = |service: &str| {
            let open = self.spans.iter().filter(|span| span.until_ms.is_none());
            let mut versions = open
                .filter(|span| *span.service == *service)
                .flat_map(|span| span.shares.iter().map(|share| &share.software));
            let first = versions.next();
            versions.any(|version| Some(version) != first)
        };
        self.services().into_iter().filter(|service| is_mixed(service)).collect()
    }

    /// Returns the spans of `service` in which a stream without a record may have begun.
    fn possible<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ShareSpan> {
        self.spans.iter().filter(move |span| *span.service == *service && span.may_have_begun())
    }

    /// Returns the services whose streams without a record may have begun at any version.
    pub fn unknown_services(&self) -> Vec<Box<str>> {
        self.services().into_iter().filter(|service| self.may_be_any(service)).collect()
    }

    /// Reports whether streams of `service` without a record may have begun at any version.
    pub(super) fn may_be_any(&self, service: &str) -> bool {
        self.possible(service).any(|span| span.shares.is_empty())
    }

    /// Reports whether the store must have a record of `stream` at once, as the spans disagree on its version.
    pub(super) fn needs_record(&self, service: &str, stream: StreamKey) -> bool {
        let announced = self.spans.iter().filter(|span| span.is_announced_only());
        let announced = announced.filter(|span| *span.service == *service);
        let known = self.possible(service).chain(announced).filter(|span| !span.shares.is_empty());
        let mut versions = known.map(|span| span.version(stream));
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Notes which entries report, and which of them have ended or are missing.
    fn note_entries(&mut self, wall_ms: u64, ack: &SpanAck) {
        let new_ms = wall_ms.saturating_add(ENTRY_LIFE_MS);
        // Clocks differ: what is lost now is lost after the newest span began.
        let lost_ms = wall_ms.max(self.newest_ms());
        for (entry, run) in &ack.entries {
            let new = MarkedEntry { run: *run, is_missing: false, until_ms: new_ms };
            let marked = self.entries.entry(*entry).or_insert(new);
            if marked.run != *run {
                self.lost_ms = lost_ms;
            }
            // Moved on rarely, so that the marker rarely changes.
            let is_old = marked.until_ms < wall_ms.saturating_add(ENTRY_LIFE_MS / 2);
            let until_ms = if is_old { new_ms } else { marked.until_ms };
            *marked = MarkedEntry { until_ms, ..new };
        }
        let known = self.entries.len();
        self.entries.retain(|_, marked| marked.until_ms > wall_ms);
        if self.entries.len() < known {
            self.lost_ms = lost_ms;
        }
        for (entry, marked) in &mut self.entries {
            marked.is_missing |= !ack.entries.contains_key(entry);
        }
    }

    /// Reports whether an entry may have begun a stream for which a caller still waits, and have died with the
    /// record of it.
    fn may_lack_record(&self) -> bool {
        self.lost_ms > 0 || self.entries.values().any(|entry| entry.is_missing)
    }

    fn open(&mut self, wall_ms: u64, service: &str, shares: &[VersionShare]) -> &mut ShareSpan {
        let since_ms = wall_ms.max(self.newest_ms().saturating_add(1)).min(MAX_WALL_MS);
        self.spans.push(ShareSpan::new(service, since_ms, shares));
        self.spans.last_mut().expect("a span was just added")
    }

    /// Ends the spans that no entry follows any more, as all know a later one that was followed by `known_ms`.
    fn end_spans(&mut self, wall_ms: u64, known_ms: u64) {
        let mut newest: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for span in self.spans.iter().filter(|span| !span.is_announced && !span.shares.is_empty()) {
            if span.known_ms() <= known_ms {
                newest.insert(span.service.clone(), span.since_ms);
            }
        }
        let is_one_missing = self.entries.values().any(|entry| entry.is_missing);
        for span in self.spans.iter_mut().filter(|span| span.until_ms.is_none()) {
            // An entry that is missing followed spans that the witness knew.
            let may_end = !is_one_missing || span.is_witnessed;
            if may_end
                && newest.get(&span.service).is_some_and(|since_ms| span.since_ms < *since_ms)
            {
                span.until_ms = Some(wall_ms);
                // What the entries that report began in it has a record.
                span.lacks_records |= !span.is_witnessed && self.lost_ms >= span.since_ms;
            }
        }
    }

    /// Drops spans whose streams no caller waits for, and takes the oldest ones together if there are too
    /// many.
    fn forget(&mut self, wall_ms: u64) {
        let life_ms = STREAM_LIFE.as_millis() as u64;
        if self.lost_ms.saturating_add(life_ms) <= wall_ms {
            self.lost_ms = 0;
        }
        self.spans.retain(|span| {
            span.until_ms.is_none_or(|until| until.saturating_add(life_ms) > wall_ms)
        });
        for service in self.services() {
            let is_of = |span: &ShareSpan| *span.service == *service;
            while self.spans.iter().filter(|span| is_of(span)).count() > MAX_SPANS {
                let is_over = |span: &ShareSpan| {
                    is_of(span) && span.until_ms.is_some() && !span.lacks_records
                };
                let Some(over) = self.spans.iter().position(is_over) else { break };
                self.spans.remove(over);
            }
            while self.spans.iter().filter(|span| is_of(span)).count() > MAX_SPANS {
                let oldest = self.spans.iter().position(is_of).expect("there are more than one");
                let ended = self.spans.remove(oldest);
                let next = self.spans.iter_mut().find(|span| is_of(span));
                let next = next.expect("there are more than one");
                next.shares.clear();
                next.is_witnessed = false;
                next.until_ms = ended.until_ms.and(next.until_ms);
                next.lacks_records |= ended.lacks_records;
                next.is_announced &= ended.is_announced;
            }
        }
    }

    /// Returns the version at which `stream` must begin; `None` if no span of `service` is followed.
    pub(super) fn begin_version(&self, service: &str, stream: StreamKey) -> Option<VersionKey> {
        self.current(service)?.version(stream)
    }

    /// Returns the only version of `service` at which streams without a record may have begun.
    pub(super) fn sole_version(&self, service: &str) -> Option<VersionKey> {
        let mut versions = self.possible(service).flat_map(ShareSpan::versions);
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }

    /// Returns the version of `service` that began `stream`, of which there is no record; `None` if it may have
    /// begun at several, or if there was no such stream.
    pub(super) fn derived_version(&self, service: &str, stream: StreamKey) -> Option<VersionKey> {
        if !self.may_lack_record() {
            return None;
        }
        let mut versions = self.possible(service).map(|span| span.version(stream));
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }
}
