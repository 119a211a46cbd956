//! Entries that pass a record on over links of different rates, in simulated time.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    time::TimePoint,
    transfer::{
        HolderTable, RecordOutline, RecordShelf, RecordStamp, RecordTransfer, ShelfRecord,
        TransferDesk, TransferStep,
    },
};

/// Length of a step.
const STEP: Duration = Duration::from_millis(5);

/// Bytes of a message without a record.
const SMALL_BYTES: f64 = 600.0;

/// Time between two exchanges, and between two searches of an entry whose news are old.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(150);
const SEARCH_PERIOD: Duration = Duration::from_millis(750);
const OLD_AGE: Duration = Duration::from_millis(1_100);

/// Time after which a call ends in the landed way, and after which one without any byte ends.
const CALL_TIME: Duration = Duration::from_millis(400);

/// Bytes a second that one whole processor reads of a configuration.
const PARSE_RATE: f64 = 40e6;

/// How records are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferVariant {
    Chunks,
    /// As part of the exchanges and of the answers to searches, whole, in calls of a fixed time.
    Landed,
    /// All missing chunks at once, in calls of a fixed time.
    FixedTime,
    /// What has arrived is forgotten with each newer version.
    NewestOnly,
}

/// What a call brings once it has arrived.
#[derive(Clone, Debug)]
enum Cargo {
    /// News, with the whole record if the variant sends it so.
    News {
        record: Option<u64>,
    },
    Outline(RecordStamp),
    Chunks(RecordStamp, Vec<u32>),
    Busy(RecordStamp, Vec<SocketAddr>),
    Gone(RecordStamp),
}

/// An answer on its way.
#[derive(Clone, Debug)]
struct Flow {
    from: usize,
    to: usize,
    left: f64,
    bytes: f64,
    began: TimePoint,
    progressed: TimePoint,
    cargo: Cargo,
}

pub struct LinkedEntry {
    /// Bytes a second in each direction.
    pub rate: f64,
    pub processor: f64,
    hub: Option<usize>,
    shelf: RecordShelf<Vec<u8>>,
    transfer: RecordTransfer,
    desk: TransferDesk,
    holders: HolderTable,
    next_exchange: TimePoint,
    next_search: TimePoint,
    busy_until: TimePoint,
    pub news_at: TimePoint,
    /// Bytes of records that arrived.
    pub record_bytes: f64,
}

impl LinkedEntry {
    pub fn version(&self) -> u64 {
        self.shelf.newest().map_or(0, |held| held.stamp.version)
    }
}

pub struct LinkedFleet {
    pub entries: Vec<LinkedEntry>,
    pub now: TimePoint,
    /// Entries that stand still.
    pub frozen: Vec<usize>,
    /// Part of the rates that the links carry now.
    pub dip: f64,
    flows: Vec<Flow>,
    records: BTreeMap<u64, (RecordStamp, RecordOutline, Vec<u8>)>,
    variant: TransferVariant,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7340))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!(),
    }
}

impl LinkedFleet {
    /// Returns a fleet in three domains whose entries have these rates in megabits a second and shares of a
    /// processor; the first entry of each domain is its hub.
    pub fn new(links: &[(f64, f64)], variant: TransferVariant) -> LinkedFleet {
        let now = TimePoint::from_millis(1_000);
        let entry = |(index, (megabits, processor)): (usize, &(f64, f64))| LinkedEntry {
            rate: megabits * 125_000.0,
            processor: *processor,
            hub: (index > 0).then_some(if index < 3 { 0 } else { index % 3 }),
            shelf: RecordShelf::new(),
            transfer: RecordTransfer::new(),
            desk: TransferDesk::new(),
            holders: HolderTable::new(),
            next_exchange: now + STEP * index as u32,
            next_search: now,
            busy_until: now,
            news_at: now,
            record_bytes: 0.0,
        };
        let entries = links.iter().enumerate().map(entry).collect();
        let (frozen, flows, records) = (Vec::new(), Vec::new(), BTreeMap::new());
        LinkedFleet { entries, now, frozen, dip: 1.0, flows, records, variant }
    }

    /// Lets the first entry read a record from the store.
    pub fn put(&mut self, version: u64, value: Vec<u8>) {
        let outline = RecordOutline::new(&value);
        let stamp = outline.stamp(version, version);
        self.records.insert(version, (stamp, outline, value));
        self.apply(0, version);
    }

    pub fn newest(&self) -> u64 {
        self.records.keys().next_back().copied().unwrap_or(0)
    }

    /// Returns the bytes of records that are on their way.
    pub fn bulk_left(&self) -> f64 {
        self.flows.iter().filter(|flow| flow.bytes > 2.0 * SMALL_BYTES).map(|flow| flow.left).sum()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.carry();
            for entry in 0..self.entries.len() {
                if !self.frozen.contains(&entry) && self.entries[entry].busy_until <= self.now {
                    self.exchange(entry);
                    self.search(entry);
                    self.fetch(entry);
                }
            }
        }
    }

    /// Lets all flows share the links.
    fn carry(&mut self) {
        let mut up = vec![0_u32; self.entries.len()];
        let mut down = up.clone();
        for flow in &self.flows {
            up[flow.from] += 1;
            down[flow.to] += 1;
        }
        let (now, frozen) = (self.now, self.frozen.clone());
        let dip = self.dip;
        let mut arrived = Vec::new();
        for flow in &mut self.flows {
            let sent = self.entries[flow.from].rate / f64::from(up[flow.from]);
            let received = self.entries[flow.to].rate / f64::from(down[flow.to]);
            if !frozen.contains(&flow.from) && !frozen.contains(&flow.to) {
                flow.left -= dip * sent.min(received) * STEP.as_secs_f64();
                flow.progressed = now;
            }
        }
        let fixed = matches!(self.variant, TransferVariant::Landed | TransferVariant::FixedTime);
        let mut ended = Vec::new();
        self.flows.retain(|flow| {
            let since = if fixed { flow.began } else { flow.progressed };
            match flow.left <= 0.0 {
                true => arrived.push(flow.clone()),
                false if now.since(since) > CALL_TIME => ended.push(flow.clone()),
                false => return true,
            }
            false
        });
        arrived.into_iter().for_each(|flow| self.take(flow));
        for flow in ended {
            let entry = &mut self.entries[flow.to];
            if !matches!(flow.cargo, Cargo::News { record: None }) {
                entry.record_bytes += flow.bytes - flow.left;
            }
            if !matches!(flow.cargo, Cargo::News { .. }) {
                entry.transfer.note_failure(now, address(flow.from));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: f64, cargo: Cargo) {
        let (began, progressed) = (self.now, self.now);
        self.flows.push(Flow { from, to, left: bytes, bytes, began, progressed, cargo });
    }

    fn take(&mut self, flow: Flow) {
        let (now, from) = (self.now, address(flow.from));
        let (source_version, wanted) = {
            let source = &self.entries[flow.from];
            let held = source.shelf.newest().map(|held| held.stamp);
            (held, source.transfer.wanted())
        };
        let variant = self.variant;
        let entry = &mut self.entries[flow.to];
        match flow.cargo {
            Cargo::News { record } => {
                entry.news_at = now;
                if let Some(version) = record {
                    entry.record_bytes += flow.bytes;
                    self.apply(flow.to, version);
                } else if variant != TransferVariant::Landed {
                    let held = source_version.map(|stamp| (stamp, Some(from)));
                    let news = held.into_iter().chain(wanted.map(|stamp| (stamp, None)));
                    let own = entry.version();
                    for (stamp, source) in news.filter(|(stamp, _)| stamp.version > own) {
                        let wanted = entry.transfer.wanted().map_or(0, |wanted| wanted.version);
                        if variant == TransferVariant::NewestOnly && wanted < stamp.version {
                            entry.transfer.forget();
                        }
                        entry.transfer.offer(now, stamp, source);
                    }
                }
                let version = self.entries[flow.to].version();
                self.entries[flow.from].holders.note(now, address(flow.to), version);
            }
            Cargo::Outline(stamp) => {
                let outline = self.records[&stamp.version].1.clone();
                let own = entry.shelf.newest().cloned();
                let own = own.as_ref().map(|held| (&held.outline, &held.record[..]));
                entry.transfer.take_outline(now, from, stamp, outline, own);
            }
            Cargo::Chunks(stamp, chunks) => {
                entry.record_bytes += flow.bytes;
                let (_, outline, value) = &self.records[&stamp.version];
                let places: Vec<_> = outline.places().map(|(_, place)| place).collect();
                let values =
                    chunks.iter().map(|index| value[places[*index as usize].clone()].to_vec());
                let time = now.since(flow.began);
                entry.transfer.take_chunks(now, from, stamp, &chunks, values.collect(), time);
            }
            Cargo::Busy(stamp, holders) => entry.transfer.note_busy(now, from, stamp, &holders),
            Cargo::Gone(stamp) => entry.transfer.note_gone(from, stamp),
        }
    }

    /// Lets an entry read a configuration and put it in force.
    fn apply(&mut self, entry: usize, version: u64) {
        let (stamp, outline, value) = self.records[&version].clone();
        let entry = &mut self.entries[entry];
        if entry.version() >= version {
            return;
        }
        let time = value.len() as f64 / (PARSE_RATE * entry.processor);
        entry.busy_until = self.now + Duration::from_secs_f64(time);
        entry.transfer.note_reached(self.now, version);
        entry.shelf.put(self.now, ShelfRecord { stamp, outline, record: value });
    }

    /// Lets `asker` ask `source` for news.
    fn ask(&mut self, asker: usize, source: usize) {
        let is_landed = self.variant == TransferVariant::Landed;
        let version = self.entries[source].version();
        let record =
            Some(version).filter(|held| is_landed && *held > self.entries[asker].version());
        let bytes = record.map_or(0, |version| self.records[&version].2.len()) as f64;
        self.send(source, asker, SMALL_BYTES + bytes, Cargo::News { record });
    }

    fn exchange(&mut self, asker: usize) {
        let Some(hub) = self.entries[asker].hub else { return };
        let is_asking = |flow: &Flow| {
            flow.to == asker && flow.from == hub && matches!(flow.cargo, Cargo::News { .. })
        };
        if self.now >= self.entries[asker].next_exchange && !self.flows.iter().any(is_asking) {
            self.entries[asker].next_exchange = self.now + EXCHANGE_PERIOD;
            self.ask(asker, hub);
        }
    }

    /// Lets an entry with old news ask all others.
    fn search(&mut self, asker: usize) {
        let is_old = self.now.since(self.entries[asker].news_at) > OLD_AGE;
        if !is_old
            || self.entries[asker].hub.is_none()
            || self.now < self.entries[asker].next_search
        {
            return;
        }
        self.entries[asker].next_search = self.now + SEARCH_PERIOD;
        (0..self.entries.len())
            .filter(|other| *other != asker)
            .for_each(|other| self.ask(asker, other));
    }

    fn fetch(&mut self, entry: usize) {
        let is_bulk = |flow: &Flow| flow.to == entry && !matches!(flow.cargo, Cargo::News { .. });
        if self.flows.iter().any(is_bulk) {
            return;
        }
        let now = self.now;
        let (source, stamp, chunks) = match self.entries[entry].transfer.step(now) {
            TransferStep::Idle | TransferStep::Wait(_) => return,
            TransferStep::Complete { stamp, value } => {
                assert_eq!(value, self.records[&stamp.version].2);
                return self.apply(entry, stamp.version);
            }
            TransferStep::FetchOutline { source, stamp } => (source, stamp, None),
            TransferStep::FetchChunks { source, stamp, chunks } => (source, stamp, Some(chunks)),
        };
        let from = index(source);
        let asked = &mut self.entries[from];
        if asked.shelf.find(now, &stamp).is_none() {
            return self.send(from, entry, SMALL_BYTES, Cargo::Gone(stamp));
        }
        if !asked.desk.admit(now, address(entry)) {
            let holders = asked.holders.named(now, address(entry), stamp.version);
            return self.send(from, entry, SMALL_BYTES, Cargo::Busy(stamp, holders));
        }
        let rows = self.records[&stamp.version].1.chunks();
        let Some(chunks) = chunks else {
            let bytes = SMALL_BYTES + 12.0 * rows.len() as f64;
            return self.send(from, entry, bytes, Cargo::Outline(stamp));
        };
        let chunks = match self.variant {
            TransferVariant::FixedTime => (0..rows.len() as u32).collect(),
            _ => chunks,
        };
        let bytes: f64 = chunks.iter().map(|index| f64::from(rows[*index as usize].bytes)).sum();
        self.send(from, entry, SMALL_BYTES + bytes, Cargo::Chunks(stamp, chunks));
    }
}
