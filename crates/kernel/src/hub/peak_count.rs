//! A count that falls slowly.

use std::{collections::VecDeque, time::Duration};

use crate::time::TimePoint;

/// Time for which a count is kept though lower ones followed: an entry that was cut off must not
/// take the others' parts of what all share, and the window of such a share is shorter.
const KEEP_SPAN: Duration = Duration::from_secs(30);

/// The highest of recent counts.
#[derive(Clone, Debug, Default)]
pub struct PeakCount {
    /// Counts that nothing later exceeds, the highest first.
    recent: VecDeque<(TimePoint, u32)>,
}

impl PeakCount {
    /// Returns a count that has seen nothing.
    pub fn new() -> PeakCount {
        PeakCount::default()
    }

    /// Takes a count and returns the highest of the last 30 s.
    pub fn note(&mut self, now: TimePoint, count: u32) -> u32 {
        while self.recent.back().is_some_and(|(_, known)| *known <= count) {
            self.recent.pop_back();
        }
        self.recent.push_back((now, count));
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= KEEP_SPAN) {
            self.recent.pop_front();
        }
        self.recent.front().map_or(count, |(_, count)| *count)
    }
}
