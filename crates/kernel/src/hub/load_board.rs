//! Adds up what entries sent to endpoints.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::ProcessId, place::LoadRow, time::TimePoint};

/// Age at which what an entry said no longer counts.
const ROW_LIFE: Duration = Duration::from_secs(2);

/// The newest load of each entry.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    entries: BTreeMap<ProcessId, (TimePoint, Vec<LoadRow>)>,
}

impl LoadBoard {
    /// Returns an empty board.
    pub fn new() -> LoadBoard {
        LoadBoard::default()
    }

    /// Takes the load of an entry, in place of what it said before.
    pub fn take(&mut self, now: TimePoint, entry: ProcessId, rows: Vec<LoadRow>) {
        self.entries.retain(|_, (at, _)| now.since(*at) < ROW_LIFE);
        self.entries.insert(entry, (now, rows));
    }

    /// Returns the load of all entries but `entry`.
    pub fn others(&self, now: TimePoint, entry: &ProcessId) -> Vec<LoadRow> {
        let mut sums: BTreeMap<u32, LoadRow> = BTreeMap::new();
        let others = self
            .entries
            .iter()
            .filter(|(process, (at, _))| process.name != entry.name && now.since(*at) < ROW_LIFE);
        for row in others.flat_map(|(_, (_, rows))| rows) {
            let sum = sums.entry(row.endpoint).or_insert(LoadRow {
                in_flight: 0,
                prefill: 0,
                memory: 0,
                ..*row
            });
            sum.in_flight += row.in_flight;
            sum.prefill += row.prefill;
            sum.memory = sum.memory.saturating_add(row.memory);
        }
        sums.into_values().collect()
    }
}
