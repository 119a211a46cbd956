//! An entry of a simulated fleet.

use std::collections::BTreeMap;

use pimentorock_kernel::{ids::ProcessId, send_limit::LimitTable, time::TimePoint};

use super::shifted;

/// An entry of a simulated fleet.
pub struct SimulatedEntry {
    pub index: usize,
    pub domain: usize,
    /// Number of entries that the settings name.
    named: usize,
    /// Part of the fleet that the entry reaches.
    pub part: u32,
    pub is_alive: bool,
    pub is_root: bool,
    /// Number of the current process run.
    pub run: u64,
    pub frozen_until: u64,
    /// Time of the last fault that struck the entry itself.
    pub faulty_at: Option<u64>,
    /// Entries that did not answer, with the time until which they are not asked.
    pub quarantined: BTreeMap<usize, u64>,
    /// When the report was sent whose answer is awaited.
    pub awaited: Option<u64>,
    /// When the entry last asked another one as a root hub.
    pub announced_at: Option<u64>,
    /// Whether the process has heard of an entry that knows of limits.
    pub is_told: bool,
    pub table: LimitTable,
    /// Milliseconds by which the entry's clock is ahead of the simulation's.
    shift: u64,
}

impl SimulatedEntry {
    pub fn new(index: usize, domain: usize, named: usize, shift: u64) -> SimulatedEntry {
        SimulatedEntry {
            index,
            domain,
            named,
            part: 0,
            is_alive: false,
            is_root: false,
            run: 0,
            frozen_until: 0,
            faulty_at: None,
            quarantined: BTreeMap::new(),
            awaited: None,
            announced_at: None,
            is_told: false,
            table: LimitTable::new(0),
            shift,
        }
    }

    /// Starts a process, which knows nothing.
    pub fn start(&mut self, now: u64) {
        self.run += 1;
        self.is_alive = true;
        self.table = LimitTable::new(now + self.run);
        self.table.set_named_entries(self.named);
        self.quarantined.clear();
        self.awaited = None;
        self.announced_at = None;
        self.is_told = false;
    }

    pub fn time(&self, at: u64) -> TimePoint {
        shifted(at, self.shift)
    }

    /// Returns the identifier of a run of this entry's process.
    pub fn process_of(&self, run: u64) -> ProcessId {
        ProcessId { name: format!("entry-{}", self.index).into(), incarnation: run }
    }
}
