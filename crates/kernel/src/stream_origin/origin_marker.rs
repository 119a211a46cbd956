//! By which shares streams have begun, as the store has it and hubs pass it down.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::stream_origin::{
    EntryKey, STREAM_LIFE, ShareSpan, SpanAck, StreamKey, VersionKey, VersionShare,
    version_share::are_alike,
};

/// Time for which an entry that does not report is remembered, in milliseconds.
const ENTRY_LIFE_MS: u64 = 600_000;

/// Maximum number of spans of one service; older ones are taken together.
const MAX_SPANS: usize = 32;

/// Facts of the fleet that go into a marker.
#[derive(Clone, Debug, Default)]
pub struct MarkerInput {
    /// Era of the store.
    pub era: u64,
    /// Versions that the endpoints of each service run, in order; services may be missing.
    pub shares: BTreeMap<Box<str>, Vec<VersionShare>>,
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
    /// Wall-clock time in milliseconds at which an entry was last missed or known to have ended.
    pub lost_ms: u64,
    /// Spans of all services, the newest of each service last.
    pub spans: Vec<ShareSpan>,
}

impl OriginMarker {
    /// Returns the beginning of the newest span, 0 if there is none.
    pub(super) fn newest_ms(&self) -> u64 {
        self.spans.iter().map(|span| span.since_ms).max().unwrap_or(0)
    }

    /// Adds what another marker says.
    pub(super) fn join(&mut self, other: &OriginMarker) {
        self.written_ms = self.written_ms.max(other.written_ms);
        self.era = self.era.max(other.era);
        self.lost_ms = self.lost_ms.max(other.lost_ms);
        for (entry, marked) in &other.entries {
            let known = self.entries.entry(*entry).or_insert(*marked);
            known.run = known.run.max(marked.run);
            known.is_missing |= marked.is_missing;
            known.until_ms = known.until_ms.max(marked.until_ms);
        }
        for span in &other.spans {
            let is_same = |known: &&mut ShareSpan| {
                (&known.service, known.since_ms, &known.shares)
                    == (&span.service, span.since_ms, &span.shares)
            };
            match self.spans.iter_mut().find(is_same) {
                Some(known) => known.until_ms = known.until_ms.max(span.until_ms),
                None => self.spans.push(span.clone()),
            }
        }
        self.spans.sort_by_key(|span| span.since_ms);
    }

    /// Returns what is to be written at `wall_ms` in place of this marker, given what the entries know.
    pub(super) fn next(&self, wall_ms: u64, ack: &SpanAck, input: &MarkerInput) -> OriginMarker {
        let mut next = self.clone();
        next.note_entries(wall_ms, ack);
        if next.era < input.era {
            // A store that came back from an older copy may have lost spans.
            let services = next.services();
            services.iter().for_each(|service| next.reopen(wall_ms, service));
            next.era = input.era;
        }
        for (service, shares) in &input.shares {
            match next.current(service) {
                Some(current) if are_alike(&current.shares, shares) => {}
                Some(_) => next.open(wall_ms, service, shares),
                None => {
                    next.open(wall_ms, service, &[]);
                    next.open(wall_ms, service, shares);
                }
            }
        }
        if next.entries.values().all(|entry| !entry.is_missing) {
            next.close(wall_ms, ack.known_ms);
        }
        next.forget(wall_ms);
        next
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
        of_service.find(|span| !span.shares.is_empty())
    }

    /// Notes which entries report, and which of them have ended or are missing.
    fn note_entries(&mut self, wall_ms: u64, ack: &SpanAck) {
        let new_ms = wall_ms + ENTRY_LIFE_MS;
        for (entry, run) in &ack.entries {
            let new = MarkedEntry { run: *run, is_missing: false, until_ms: new_ms };
            let marked = self.entries.entry(*entry).or_insert(new);
            if marked.run != *run {
                self.lost_ms = wall_ms;
            }
            // Moved on rarely, so that the marker rarely changes.
            let is_old = marked.until_ms < wall_ms + ENTRY_LIFE_MS / 2;
            let until_ms = if is_old { new_ms } else { marked.until_ms };
            *marked = MarkedEntry { until_ms, ..new };
        }
        self.entries.retain(|_, marked| marked.until_ms > wall_ms);
        for (entry, marked) in &mut self.entries {
            if !ack.entries.contains_key(entry) && !marked.is_missing {
                marked.is_missing = true;
                self.lost_ms = wall_ms;
            }
        }
    }

    /// Reports whether an entry may have begun a stream whose caller first asked at `asked_ms`, and have
    /// died with the record of it.
    pub(super) fn may_lack_record(&self, asked_ms: u64) -> bool {
        self.lost_ms >= asked_ms || self.entries.values().any(|entry| entry.is_missing)
    }

    fn open(&mut self, wall_ms: u64, service: &str, shares: &[VersionShare]) {
        let since_ms = wall_ms.max(self.newest_ms() + 1);
        self.spans.push(ShareSpan::new(service, since_ms, shares));
    }

    /// Begins the current span anew, after one in which streams may have begun at any version.
    fn reopen(&mut self, wall_ms: u64, service: &str) {
        let shares = self.current(service).map(|span| span.shares.clone()).unwrap_or_default();
        self.open(wall_ms, service, &[]);
        self.open(wall_ms, service, &shares);
    }

    /// Ends the spans that no entry follows if all know those that began until `known_ms`.
    fn close(&mut self, wall_ms: u64, known_ms: u64) {
        let mut newest: BTreeMap<Box<str>, u64> = BTreeMap::new();
        let known = self.spans.iter().filter(|span| span.since_ms <= known_ms);
        for span in known.filter(|span| !span.shares.is_empty()) {
            newest.insert(span.service.clone(), span.since_ms);
        }
        for span in self.spans.iter_mut().filter(|span| span.until_ms.is_none()) {
            if newest.get(&span.service).is_some_and(|since_ms| span.since_ms < *since_ms) {
                span.until_ms = Some(wall_ms);
            }
        }
    }

    /// Drops spans whose streams no caller waits for, and takes the oldest ones together if there are too
    /// many.
    fn forget(&mut self, wall_ms: u64) {
        let life_ms = STREAM_LIFE.as_millis() as u64;
        self.spans.retain(|span| span.until_ms.is_none_or(|until| until + life_ms > wall_ms));
        for service in self.services() {
            let is_of = |span: &ShareSpan| *span.service == *service;
            while self.spans.iter().filter(|span| is_of(span)).count() > MAX_SPANS {
                let oldest = self.spans.iter().position(is_of).expect("there are more than one");
                let ended = self.spans.remove(oldest);
                let next = self.spans.iter_mut().find(|span| is_of(span));
                let next = next.expect("there are more than one");
                next.shares.clear();
                next.until_ms = ended.until_ms.and(next.until_ms);
            }
        }
    }

    /// Returns the version at which `stream` must begin; `None` if it may begin at any.
    pub(super) fn begin_version(&self, service: &str, stream: StreamKey) -> Option<VersionKey> {
        self.current(service)?.version(stream)
    }

    /// Returns the version of `service` that began `stream`, of which there is no record, and whose caller
    /// first asked at `asked_ms`; `None` if it may have begun at several, or if there was no such stream.
    pub(super) fn derived_version(
        &self,
        service: &str,
        stream: StreamKey,
        asked_ms: u64,
    ) -> Option<VersionKey> {
        if !self.may_lack_record(asked_ms) {
            return None;
        }
        let of_service = self.spans.iter().filter(|span| *span.service == *service);
        let mut versions = of_service
            .filter(|span| span.may_have_begun(asked_ms))
            .map(|span| span.version(stream));
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }
}
