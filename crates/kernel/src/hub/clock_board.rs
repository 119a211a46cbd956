//! What time most entries say it is.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::ProcessId, time::TimePoint};

/// Age at which what an entry said no longer counts.
const CLOCK_LIFE: Duration = Duration::from_secs(5);

/// How far the wall clocks of other entries are ahead of this one's.
///
/// The median of all clocks, this one's among them, is right as long as most of them are.
#[derive(Clone, Debug, Default)]
pub struct ClockBoard {
    skews: BTreeMap<Box<str>, (TimePoint, i64)>,
}

impl ClockBoard {
    /// Returns an empty board.
    pub fn new() -> ClockBoard {
        ClockBoard::default()
    }

    /// Notes that the wall clock of `entry` showed `wall_ms` while this one's showed `own_ms`.
    pub fn take(&mut self, now: TimePoint, entry: &ProcessId, wall_ms: u64, own_ms: u64) {
        self.skews.retain(|_, (at, _)| now.since(*at) < CLOCK_LIFE);
        let skew = wall_ms as i64 - own_ms as i64;
        self.skews.insert(entry.name.clone(), (now, skew));
    }

    /// Returns the milliseconds by which most clocks are ahead of this entry's.
    pub fn skew_ms(&self, now: TimePoint) -> i64 {
        let fresh = self.skews.values().filter(|(at, _)| now.since(*at) < CLOCK_LIFE);
        let mut skews: Vec<i64> = fresh.map(|(_, skew)| *skew).collect();
        skews.push(0);
        skews.sort_unstable();
        skews[(skews.len() - 1) / 2]
    }
}
