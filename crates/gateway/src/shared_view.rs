//! How much of the store an entry has read, by itself or through its hub.

use std::collections::HashMap;

use pimentorock_kernel::{
    hub::{ClockBoard, HubChoice, HubRoster, LoadBoard, MAX_STORE_AGE},
    time::TimePoint,
};

use crate::{
    clock,
    peer::{EntryNews, EntryReport, EntryShare, PeerRecord},
    state::GatewayState,
    store::{StoreRecord, StoreTopic},
};

/// A record of an endpoint and since when its meaning is the same.
#[derive(Clone, Debug)]
struct KeptRecord {
    record: StoreRecord,
    /// Offset at which more than the heartbeat changed.
    changed: u64,
}

/// What of the store this entry passes on to others.
#[derive(Debug)]
pub(crate) struct SharedView {
    pub(crate) roster: HubRoster,
    pub(crate) board: LoadBoard,
    pub(crate) clocks: ClockBoard,
    /// What entries counted that named this one their hub.
    pub(crate) shares: HashMap<Box<str>, EntryShare>,
    config: Option<StoreRecord>,
    endpoints: HashMap<Box<str>, KeptRecord>,
    endpoints_next: Option<u64>,
    /// When configuration and endpoints were known to be those of the store.
    config_current: TimePoint,
    endpoints_current: TimePoint,
}

impl SharedView {
    /// Returns a view that has read nothing.
    pub(crate) fn new(roster: HubRoster) -> SharedView {
        SharedView {
            roster,
            board: LoadBoard::new(),
            clocks: ClockBoard::new(),
            shares: HashMap::new(),
            config: None,
            endpoints: HashMap::new(),
            endpoints_next: None,
            config_current: TimePoint::ZERO,
            endpoints_current: TimePoint::ZERO,
        }
    }

    /// Returns the offset to read `topic` from, if it was read before.
    pub(crate) fn next(&self, topic: StoreTopic) -> Option<u64> {
        match topic {
            StoreTopic::Config => self.config.as_ref().map(|record| record.offset + 1),
            _ => self.endpoints_next,
        }
    }

    /// Notes that endpoints were read up to `next`.
    pub(crate) fn advance_endpoints(&mut self, next: u64) {
        self.endpoints_next = self.endpoints_next.max(Some(next));
    }

    /// Notes that `topic` was as in the store at `at`.
    pub(crate) fn note_current(&mut self, topic: StoreTopic, at: TimePoint) {
        let current = match topic {
            StoreTopic::Config => &mut self.config_current,
            _ => &mut self.endpoints_current,
        };
        *current = at.max(*current);
    }

    /// Returns when all of the view was as in the store.
    pub(crate) fn current(&self) -> TimePoint {
        self.config_current.min(self.endpoints_current)
    }

    /// Returns whether this entry must read the store itself.
    pub(crate) fn reads_store(&self, now: TimePoint) -> bool {
        self.roster.hub(now) == HubChoice::Own || now.since(self.current()) > MAX_STORE_AGE
    }

    /// Keeps the record of the configuration in force.
    pub(crate) fn keep_config(&mut self, record: StoreRecord) {
        self.config = Some(record);
    }

    /// Keeps a record of an endpoint; `changed` tells whether its meaning did.
    pub(crate) fn keep_endpoint(&mut self, record: &StoreRecord, changed: bool) {
        let known = self.endpoints.get(&record.key);
        if known.is_some_and(|known| known.record.offset >= record.offset) {
            return;
        }
        let since = match known {
            Some(known) if !changed => known.changed,
            _ => record.offset,
        };
        let kept = KeptRecord { record: record.clone(), changed: since };
        self.endpoints.insert(record.key.clone(), kept);
    }

    fn endpoints_since(&self, next: Option<u64>) -> Vec<PeerRecord> {
        let news =
            self.endpoints.values().filter(|kept| next.is_none_or(|next| kept.changed >= next));
        news.map(|kept| kept.record.clone().into()).collect()
    }
}

impl GatewayState {
    /// Returns what this entry tells others.
    pub(crate) fn report(&self, share: Option<EntryShare>) -> EntryReport {
        let loads = self.table().own_load();
        let view = self.view();
        EntryReport {
            process: self.process.clone(),
            peer: self.settings.peers,
            config_offset: view.config.as_ref().map(|record| record.offset),
            endpoints_next: view.endpoints_next,
            loads,
            wall_ms: self.own_wall_ms(),
            share,
        }
    }

    /// Takes what another entry tells, and returns what it lacks.
    pub(crate) fn answer_peer(&self, report: EntryReport) -> EntryNews {
        let now = clock::now();
        let (own, strict_counts) = {
            let table = self.table();
            (table.own_load(), table.strict_counts())
        };
        let mut view = self.view();
        view.roster.note_heard(now, report.peer);
        view.board.take(now, self.process.clone(), own);
        let loads = view.board.others(now, &report.process);
        view.clocks.take(now, &report.process, report.wall_ms, self.own_wall_ms());
        view.board.take(now, report.process, report.loads);
        if let Some(share) = report.share {
            view.shares.insert(share.usage.process.to_string().into(), share);
        }
        let newer =
            |record: &&StoreRecord| report.config_offset.is_none_or(|at| record.offset > at);
        EntryNews {
            store_age_ms: now.since(view.current()).as_millis() as u64,
            config: view.config.as_ref().filter(newer).cloned().map(PeerRecord::from),
            endpoints: view.endpoints_since(report.endpoints_next),
            endpoints_next: view.endpoints_next,
            loads,
            strict_counts,
            wall_ms: self.own_wall_ms().saturating_add_signed(view.clocks.skew_ms(now)),
            entries: view.roster.entries(now),
        }
    }

    /// Takes what another entry answered to a report that was sent at `asked`.
    ///
    /// Only a hub knows the load of all others.
    pub(crate) fn take_news(&self, asked: TimePoint, news: EntryNews, from_hub: bool) {
        let now = clock::now();
        if let Some(record) = news.config {
            self.take_record(StoreTopic::Config, &record.into(), "peer");
        }
        for record in news.endpoints {
            self.take_record(StoreTopic::Endpoints, &record.into(), "peer");
        }
        if from_hub {
            let mut table = self.table();
            table.note_others(now, &news.loads);
            table.take_strict_counts(now, &news.strict_counts);
            let skew_ms = news.wall_ms as i64 - self.own_wall_ms() as i64;
            self.set_clock_skew(skew_ms);
        }
        let current = asked - std::time::Duration::from_millis(news.store_age_ms);
        let mut view = self.view();
        for address in news.entries {
            view.roster.note_heard(now, address);
        }
        if let Some(next) = news.endpoints_next {
            view.advance_endpoints(next);
        }
        view.note_current(StoreTopic::Config, current);
        view.note_current(StoreTopic::Endpoints, current);
    }
}
