//! Which other entries have a record.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::time::TimePoint;

/// Time for which what an entry said of its record counts.
const HOLDER_LIFE: Duration = Duration::from_secs(3);

/// Number of holders that are named to an asker.
const MAX_NAMED: usize = 3;

/// The versions of a record that other entries said they have.
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    rows: BTreeMap<SocketAddr, (u64, TimePoint)>,
    /// Number of answers so far, by which the named holders change.
    turn: usize,
}

impl HolderTable {
    /// Returns a table without entries.
    pub fn new() -> HolderTable {
        HolderTable::default()
    }

    /// Notes that the entry at `holder` has this version.
    pub fn note(&mut self, now: TimePoint, holder: SocketAddr, version: u64) {
        self.rows.retain(|_, (_, heard_at)| now.since(*heard_at) < HOLDER_LIFE);
        self.rows.insert(holder, (version, now));
    }

    /// Returns some entries other than `asker` that have this version or a later one, others in each call.
    pub fn named(&mut self, now: TimePoint, asker: SocketAddr, version: u64) -> Vec<SocketAddr> {
        let is_holder = |(address, (held, heard_at)): &(&SocketAddr, &(u64, TimePoint))| {
            **address != asker && *held >= version && now.since(*heard_at) < HOLDER_LIFE
        };
        let holders: Vec<SocketAddr> =
            self.rows.iter().filter(is_holder).map(|(address, _)| *address).collect();
        self.turn = self.turn.wrapping_add(1);
        let begin = self.turn % holders.len().max(1);
        holders.iter().cycle().skip(begin).take(MAX_NAMED.min(holders.len())).copied().collect()
    }
}
