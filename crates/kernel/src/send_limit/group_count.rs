//! The number of entries of a group that reports to a root hub.

use std::{collections::VecDeque, time::Duration};

use crate::time::TimePoint;

/// Counts the entries of one group so that none counts at two root hubs: a larger count is believed
/// only once it has held for as long as a root hub remembers a group that left it.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupCount {
    /// Counts of the reports, with their times; the first one is the last before the window.
    reports: VecDeque<(TimePoint, u32)>,
}

impl GroupCount {
    /// Notes a report of the group that was sent at `now`; `life` is the time after which a silent
    /// group is forgotten.
    pub(super) fn note(&mut self, now: TimePoint, entries: u32, life: Duration) {
        if self.reports.back().is_some_and(|(at, _)| *at > now) {
            // A later report is known.
            return;
        }
        if !self.is_present(now, life) {
            self.reports.clear();
        }
        self.reports.push_back((now, entries));
        while self.reports.get(1).is_some_and(|(at, _)| now.since(*at) >= life) {
            self.reports.pop_front();
        }
    }

    /// Reports whether the group reported lately.
    pub(super) fn is_present(&self, now: TimePoint, life: Duration) -> bool {
        self.reports.back().is_some_and(|(at, _)| now.since(*at) < life)
    }

    /// Returns the count of the newest report.
    pub(super) fn newest(&self) -> u32 {
        self.reports.back().map_or(0, |(_, entries)| *entries)
    }

    /// Returns the number of entries that belonged to the group all the while for the time `life`.
    pub(super) fn entries(&self, now: TimePoint, life: Duration) -> u32 {
        let is_settled = self.reports.front().is_some_and(|(at, _)| now.since(*at) >= life);
        if !is_settled || !self.is_present(now, life) {
            return 0;
        }
        self.reports.iter().map(|(_, entries)| *entries).min().unwrap_or(0)
    }
}
