//! Adds up what entries sent to endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ids::ProcessId, place::LoadRow, time::TimePoint};

/// Age at which what an entry said no longer counts.
const ROW_LIFE: Duration = Duration::from_secs(2);

/// What a number of entries have at endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoad {
    /// How many entries these are.
    pub entries: u32,
    /// What they have, in the order of the endpoints' hashes.
    pub rows: Vec<LoadRow>,
}

/// The newest load of the entries that ask this one, and of all beyond its hub.
///
/// Entries form a tree: each asks its hub, which asks the hub of all. An entry and all that ask
/// it, directly or not, are its group.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    askers: BTreeMap<ProcessId, (TimePoint, GroupLoad)>,
    /// The sum over all askers.
    sum: HashMap<u32, LoadRow>,
    beyond: Option<(TimePoint, GroupLoad)>,
}

impl LoadBoard {
    /// Returns an empty board.
    pub fn new() -> LoadBoard {
        LoadBoard::default()
    }

    /// Takes the load of an asking entry's group, in place of what it said before.
    pub fn take(&mut self, now: TimePoint, asker: ProcessId, load: GroupLoad) {
        self.expire(now);
        if let Some((_, before)) = self.askers.remove(&asker) {
            subtract(&mut self.sum, &before.rows);
        }
        add(&mut self.sum, &load.rows);
        self.askers.insert(asker, (now, load));
    }

    /// Takes what the hub said of all entries outside this one's group.
    pub fn take_beyond(&mut self, now: TimePoint, load: GroupLoad) {
        self.beyond = Some((now, load));
    }

    /// Returns the load of this entry's group; `own` is what it has itself.
    pub fn group(&mut self, now: TimePoint, own: &[LoadRow]) -> GroupLoad {
        self.expire(now);
        let mut sum = self.sum.clone();
        add(&mut sum, own);
        GroupLoad { entries: 1 + self.askers_entries(), rows: sorted(sum) }
    }

    /// Returns the load of all entries but this one.
    pub fn others(&mut self, now: TimePoint) -> GroupLoad {
        let (entries, sum) = self.all_others(now);
        GroupLoad { entries, rows: sorted(sum) }
    }

    /// Returns the load of all entries outside the group of `asker`; `own` is what this one has.
    pub fn outside(&mut self, now: TimePoint, asker: &ProcessId, own: &[LoadRow]) -> GroupLoad {
        let (mut entries, mut sum) = self.all_others(now);
        entries += 1;
        add(&mut sum, own);
        // A restarted asker's former run is gone, too.
        for (_, (_, group)) in self.askers.iter().filter(|(known, _)| known.name == asker.name) {
            subtract(&mut sum, &group.rows);
            entries -= group.entries;
        }
        GroupLoad { entries, rows: sorted(sum) }
    }

    fn all_others(&mut self, now: TimePoint) -> (u32, HashMap<u32, LoadRow>) {
        self.expire(now);
        let mut sum = self.sum.clone();
        let fresh = self.beyond.as_ref().filter(|(at, _)| now.since(*at) < ROW_LIFE);
        let beyond = fresh.map(|(_, load)| load);
        add(&mut sum, beyond.map_or(&[], |load| &load.rows));
        (self.askers_entries() + beyond.map_or(0, |load| load.entries), sum)
    }

    fn askers_entries(&self) -> u32 {
        self.askers.values().map(|(_, load)| load.entries).sum()
    }

    fn expire(&mut self, now: TimePoint) {
        let is_old = |at: TimePoint| now.since(at) >= ROW_LIFE;
        let old = self.askers.iter().filter(|(_, (at, _))| is_old(*at));
        let old: Vec<ProcessId> = old.map(|(asker, _)| asker.clone()).collect();
        for asker in old {
            if let Some((_, load)) = self.askers.remove(&asker) {
                subtract(&mut self.sum, &load.rows);
            }
        }
    }
}

fn add(sum: &mut HashMap<u32, LoadRow>, rows: &[LoadRow]) {
    for row in rows {
        let entry = sum.entry(row.endpoint).or_insert(LoadRow::none(row.endpoint));
        *entry = entry.plus(row);
    }
}

fn subtract(sum: &mut HashMap<u32, LoadRow>, rows: &[LoadRow]) {
    for row in rows {
        if let Some(entry) = sum.get_mut(&row.endpoint) {
            *entry = entry.minus(row);
            if *entry == LoadRow::none(row.endpoint) {
                sum.remove(&row.endpoint);
            }
        }
    }
}

fn sorted(sum: HashMap<u32, LoadRow>) -> Vec<LoadRow> {
    let mut rows: Vec<LoadRow> = sum.into_values().collect();
    rows.sort_unstable_by_key(|row| row.endpoint);
    rows
}
