//! Aggregation of the load that entries place on endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ids::ProcessId, place::LoadRow, time::TimePoint};

/// Age at which a load report expires.
const LOAD_LIFE: Duration = Duration::from_secs(2);

/// Total load of a group of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoad {
    /// Number of entries in the group.
    pub entries: u32,
    /// Load per endpoint, sorted by endpoint hash.
    pub rows: Vec<LoadRow>,
}

/// Holds the newest load reported by this entry's askers and by its hub.
///
/// Entries form a tree: each entry asks its hub, and the hubs ask the root hub. The askers of an
/// entry are the entries that use it as their hub. An entry and all its direct and indirect askers
/// form its group.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    /// Newest report of each asker, with the time of its arrival.
    askers: BTreeMap<ProcessId, (TimePoint, GroupLoad)>,
    /// Sum over all askers, by endpoint hash.
    sum: HashMap<u32, LoadRow>,
    /// Load of all entries outside this entry's group, with the time at which the hub reported it.
    from_hub: Option<(TimePoint, GroupLoad)>,
}

impl LoadAggregator {
    /// Returns an aggregator without reports.
    pub fn new() -> LoadAggregator {
        LoadAggregator::default()
    }

    /// Stores the load of an asker's group in place of the asker's previous report.
    pub fn take(&mut self, now: TimePoint, asker: ProcessId, load: GroupLoad) {
        self.expire(now);
        if let Some((_, before)) = self.askers.remove(&asker) {
            subtract(&mut self.sum, &before.rows);
        }
        add(&mut self.sum, &load.rows);
        self.askers.insert(asker, (now, load));
    }

    /// Stores the hub's report on all entries outside this entry's group.
    pub fn take_from_hub(&mut self, now: TimePoint, load: GroupLoad) {
        self.from_hub = Some((now, load));
    }

    /// Returns the load of this entry's group; `own` is the load of this entry alone.
    pub fn group(&mut self, now: TimePoint, own: &[LoadRow]) -> GroupLoad {
        self.expire(now);
        let mut sum = self.sum.clone();
        add(&mut sum, own);
        GroupLoad { entries: self.askers_entries().saturating_add(1), rows: sorted(sum) }
    }

    /// Returns the load of all entries except this one.
    pub fn others(&mut self, now: TimePoint) -> GroupLoad {
        let (entries, sum) = self.all_others(now);
        GroupLoad { entries, rows: sorted(sum) }
    }

    /// Returns the load of all entries outside the group of `asker`; `own` is the load of this
    /// entry.
    pub fn outside(&mut self, now: TimePoint, asker: &ProcessId, own: &[LoadRow]) -> GroupLoad {
        let (mut entries, mut sum) = self.all_others(now);
        entries = entries.saturating_add(1);
        add(&mut sum, own);
        // Matching by name also leaves out the previous run of an asker that restarted.
        for (_, (_, group)) in self.askers.iter().filter(|(known, _)| known.name == asker.name) {
            subtract(&mut sum, &group.rows);
            entries = entries.saturating_sub(group.entries);
        }
        GroupLoad { entries, rows: sorted(sum) }
    }

    fn all_others(&mut self, now: TimePoint) -> (u32, HashMap<u32, LoadRow>) {
        self.expire(now);
        let mut sum = self.sum.clone();
        let recent = self.from_hub.as_ref().filter(|(at, _)| now.since(*at) < LOAD_LIFE);
        let from_hub = recent.map(|(_, load)| load);
        add(&mut sum, from_hub.map_or(&[], |load| &load.rows));
        let entries = from_hub.map_or(0, |load| load.entries);
        (self.askers_entries().saturating_add(entries), sum)
    }

    fn askers_entries(&self) -> u32 {
        self.askers.values().fold(0, |sum, (_, load)| sum.saturating_add(load.entries))
    }

    fn expire(&mut self, now: TimePoint) {
        let is_old = |at: TimePoint| now.since(at) >= LOAD_LIFE;
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
