//! One entry of a simulated fleet.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use pimentorock_kernel::{stream_origin::StreamOrigins, suspect::LedgerPosition, time::TimePoint};

/// Name of the only service.
pub const SERVICE: &str = "app";

/// An entry, and what it knows of the endpoints.
pub struct SimulatedEntry {
    pub origins: StreamOrigins,
    pub is_alive: bool,
    /// Time until which the entry reaches no other one, and until which it does not reach the store.
    pub cut_until: u64,
    pub store_cut_until: u64,
    /// Time until which the entry stands still: it neither exchanges nor reads, and answers nobody.
    pub frozen_until: u64,
    /// Difference of the entry's wall clock, in milliseconds.
    pub skew_ms: u64,
    /// Versions of the endpoints, as of `current_at`.
    pub listed: BTreeSet<&'static str>,
    pub current_at: TimePoint,
    pub era: u64,
    /// Records that each hub has, and the digests of the versions and entries that it knows, by the hub's index
    /// and run.
    pub known: HashMap<usize, (u64, LedgerPosition, u64, u64)>,
    /// Revision of the store's records that the entry has read.
    pub read_revision: u64,
    /// Whether the entry wrote to the store in the last tick.
    pub writes: bool,
    pub incarnation: u64,
    /// Tick at which the process started.
    pub started_at: u64,
}

impl SimulatedEntry {
    /// Returns the entry `name`, which starts at the tick `started_at`.
    pub fn new(name: &str, incarnation: u64, skew_ms: u64, started_at: u64) -> SimulatedEntry {
        SimulatedEntry {
            origins: StreamOrigins::new(name, incarnation),
            is_alive: true,
            cut_until: 0,
            store_cut_until: 0,
            frozen_until: 0,
            skew_ms,
            listed: BTreeSet::new(),
            current_at: TimePoint::ZERO,
            era: 0,
            known: HashMap::new(),
            read_revision: 0,
            writes: false,
            incarnation,
            started_at,
        }
    }

    /// Returns the age of the entry's copy of the store.
    pub fn store_age(&self, now: TimePoint) -> Duration {
        now.since(self.current_at)
    }

    /// Returns the entry's wall-clock time.
    pub fn wall_ms(&self, now: TimePoint) -> u64 {
        1_700_000_000_000 + now.as_micros() / 1_000 + self.skew_ms
    }

    /// Takes a list of versions that matched the store at `current_at`.
    pub fn take_list(
        &mut self,
        now: TimePoint,
        listed: &BTreeSet<&'static str>,
        current_at: TimePoint,
    ) {
        if current_at <= self.current_at {
            return;
        }
        self.current_at = current_at;
        self.listed = listed.clone();
        let wall_ms = self.wall_ms(now);
        listed.iter().for_each(|version| self.origins.note_listed(wall_ms, SERVICE, version));
    }

    /// Notes an era of the store.
    pub fn note_era(&mut self, now: TimePoint, era: u64) {
        if era > self.era {
            self.era = era;
            self.origins.note_era(now, era);
        }
    }
}
