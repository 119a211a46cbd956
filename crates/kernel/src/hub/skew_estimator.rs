//! The clock skew between this entry and the majority of entries.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::ProcessId,
    time::{TimePoint, signed_span_ms},
};

/// Age at which the clock reading of another entry expires.
const CLOCK_LIFE: Duration = Duration::from_secs(5);

/// Estimates how far this entry's wall clock differs from the others.
///
/// The estimate is the median over all clocks, including this entry's own. It is right as long as
/// most clocks are right.
#[derive(Clone, Debug, Default)]
pub struct SkewEstimator {
    /// Time of the last reading of each entry's clock and the milliseconds by which that clock is
    /// ahead of this entry's, by entry name.
    skews: BTreeMap<Box<str>, (TimePoint, i64)>,
}

impl SkewEstimator {
    /// Returns an estimator without readings, which estimates a skew of 0.
    pub fn new() -> SkewEstimator {
        SkewEstimator::default()
    }

    /// Records that the wall clock of `entry` showed `wall_ms` when this entry's showed `own_ms`.
    pub fn take(&mut self, now: TimePoint, entry: &ProcessId, wall_ms: u64, own_ms: u64) {
        self.skews.retain(|_, (at, _)| now.since(*at) < CLOCK_LIFE);
        let skew = signed_span_ms(wall_ms, own_ms);
        self.skews.insert(entry.name.clone(), (now, skew));
    }

    /// Returns the estimated milliseconds by which this entry's clock is behind the median clock;
    /// negative if this entry's clock is ahead.
    pub fn skew_ms(&self, now: TimePoint) -> i64 {
        let fresh = self.skews.values().filter(|(at, _)| now.since(*at) < CLOCK_LIFE);
        let mut skews: Vec<i64> = fresh.map(|(_, skew)| *skew).collect();
        skews.push(0);
        skews.sort_unstable();
        skews[(skews.len() - 1) / 2]
    }
}
