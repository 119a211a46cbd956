//! Source of figures, records and messages that other writers may state.

use std::{
    net::{Ipv4Addr, Ipv6Addr, SocketAddr},
    time::Duration,
};

use pimentorock_kernel::{
    duty::UsageShare,
    hub::GroupLoad,
    ids::ProcessId,
    place::LoadRow,
    send_limit::{HoldingRow, LimitRow, LimitScope, LimitWord},
    stream_origin::{
        EntryKey, MarkedEntry, OriginDelta, OriginMarker, OriginRecord, ServedVersion, ShareSpan,
        SpanAck, StreamKey, VersionKey, VersionShare,
    },
    suspect::{CrashEvidence, LedgerPosition, PartCrash},
    time::MAX_WALL_MS,
};
use quickcheck::{Arbitrary, Gen};

pub const WALL_MS: u64 = 1_700_000_000_000;
pub const WINDOW_MS: u64 = 5_000;
const NAMES: [&str; 4] = ["", "app", "v1", "v2"];

/// Draws figures that lie at the ends of their types more often than not.
pub struct FigureSource(pub Gen);

impl FigureSource {
    pub fn new(seed: u64) -> FigureSource {
        FigureSource(Gen::from_size_and_seed(20, seed))
    }

    pub fn draw<T: Arbitrary>(&mut self) -> T {
        T::arbitrary(&mut self.0)
    }

    pub fn u64(&mut self) -> u64 {
        let near = u64::from(self.draw::<u8>() % 3);
        let signed = u64::MAX / 2;
        let beyond = [u64::MAX - near, signed + near, u64::from(u32::MAX) + near];
        let within = [near, WALL_MS + near, WALL_MS / WINDOW_MS, MAX_WALL_MS - near];
        let ends = [beyond.as_slice(), &within, &within, &within].concat();
        *self.0.choose(&ends).unwrap()
    }

    pub fn u32(&mut self) -> u32 {
        let near = u32::from(self.draw::<u8>() % 3);
        *self.0.choose(&[near, u32::MAX - near, u32::MAX / 2 + near, near + 64]).unwrap()
    }

    pub fn span(&mut self) -> Duration {
        let spans = [Duration::MAX, Duration::ZERO, Duration::from_secs(3)];
        let millis = Duration::from_millis(self.u64());
        *self.0.choose(&[spans.as_slice(), &[millis]].concat()).unwrap()
    }

    pub fn name(&mut self) -> Box<str> {
        (*self.0.choose(&NAMES).unwrap()).into()
    }

    pub fn process(&mut self) -> ProcessId {
        ProcessId { name: self.name(), incarnation: self.u64() }
    }

    pub fn position(&mut self) -> LedgerPosition {
        let incarnation = if self.draw() { 1 } else { self.u64() };
        LedgerPosition { incarnation, changes: self.u64() }
    }

    pub fn address(&mut self) -> SocketAddr {
        let port = self.u32() as u16;
        let hosts = [
            SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)),
            SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port)),
            SocketAddr::from((Ipv4Addr::new(10, 0, 0, 9), port)),
            SocketAddr::from((Ipv6Addr::LOCALHOST, port)),
        ];
        *self.0.choose(&hosts).unwrap()
    }

    pub fn evidence(&mut self) -> CrashEvidence {
        let evidence = [
            CrashEvidence::Unconfirmed,
            CrashEvidence::Withdrawn,
            CrashEvidence::Confirmed,
            CrashEvidence::Confirmed,
            CrashEvidence::Exonerated,
        ];
        *self.0.choose(&evidence).unwrap()
    }

    pub fn list<T>(&mut self, mut item: impl FnMut(&mut FigureSource) -> T) -> Vec<T> {
        let count = self.draw::<u8>() % 5;
        (0..count).map(|_| item(self)).collect()
    }

    pub fn shares(&mut self) -> Vec<VersionShare> {
        let mut shares =
            self.list(|source| VersionShare { software: source.name(), slots: source.u32() });
        shares.sort();
        shares
    }

    pub fn usage(&mut self) -> UsageShare {
        let window = |source: &mut FigureSource| {
            let counts = source.list(|source| (source.name(), source.u64()));
            (source.u64(), counts.into_iter().collect())
        };
        let counts = self.list(window).into_iter().collect();
        UsageShare { process: self.process(), until_ms: self.u64(), counts }
    }

    pub fn load(&mut self) -> GroupLoad {
        let row = |source: &mut FigureSource| LoadRow {
            endpoint: LoadRow::endpoint_hash(&format!("i-{}", source.draw::<u8>() % 3)),
            in_flight: source.u32(),
            prefill: source.u32(),
            memory: source.u32(),
        };
        GroupLoad { entries: self.u32(), rows: self.list(row) }
    }

    pub fn marker(&mut self) -> OriginMarker {
        let entry = |source: &mut FigureSource| {
            let (run, until_ms) = (source.u64(), source.u64());
            let marked = MarkedEntry { run, is_missing: source.draw(), until_ms };
            (EntryKey(source.u32()), marked)
        };
        let span = |source: &mut FigureSource| ShareSpan {
            service: source.name(),
            since_ms: source.u64(),
            is_announced: source.draw(),
            followed_ms: source.u64(),
            until_ms: if source.draw() { Some(source.u64()) } else { None },
            lacks_records: source.draw(),
            is_witnessed: source.draw(),
            shares: source.shares(),
        };
        OriginMarker {
            written_ms: self.u64(),
            era: self.u64(),
            entries: self.list(entry).into_iter().collect(),
            lost_ms: self.u64(),
            unknown_until_ms: self.u64(),
            spans: self.list(span),
        }
    }

    pub fn ack(&mut self) -> SpanAck {
        let entries = self.list(|source| (EntryKey(source.u32()), source.u64()));
        let entries = entries.into_iter().collect();
        SpanAck { known_ms: self.u64(), digest: self.u64(), entries }
    }

    pub fn origins(&mut self) -> OriginDelta {
        let record = |source: &mut FigureSource| OriginRecord {
            stream: StreamKey(source.u64()),
            version: if source.draw() { Some(VersionKey(source.u64())) } else { None },
            expires_s: source.u32(),
        };
        OriginDelta { position: self.position(), records: self.list(record) }
    }

    pub fn served(&mut self) -> ServedVersion {
        ServedVersion { service: self.name(), software: self.name(), until_ms: self.u64() }
    }

    pub fn limit_row(&mut self) -> LimitRow {
        let rates = [0.0, 1e308, f64::INFINITY, f64::MIN_POSITIVE, 3.0];
        let rate = *self.0.choose(&rates).unwrap();
        LimitRow {
            scope: LimitScope::endpoint("i-0"),
            started_ms: if self.draw() { Some(self.u64()) } else { None },
            rate: LimitWord::new(Some(rate)).rate().unwrap(),
            named_age_ms: self.u32(),
            unnamed_age_ms: if self.draw() { Some(self.u32()) } else { None },
            ended: self.draw(),
        }
    }

    pub fn holding(&mut self) -> HoldingRow {
        HoldingRow {
            scope: LimitScope::endpoint("i-0"),
            used: self.u64(),
            returned: self.u64(),
            wants: self.list(|source| (source.draw(), source.u32())),
        }
    }

    pub fn part_crash(&mut self) -> PartCrash {
        PartCrash {
            endpoint: self.name(),
            crash_id: self.u64(),
            age: self.span(),
            ran: self.span(),
            idle: if self.draw() { Some(self.span()) } else { None },
            proven: self.draw(),
            excused: self.draw(),
            evidence: self.evidence(),
        }
    }
}
