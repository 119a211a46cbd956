//! Aggregation of the counts of all processes, and the decision which windows may be closed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    duty::{ClosedWindow, DutyLimits, UsageShare},
    ids::ProcessId,
};

/// Shortest time after a window's end at which the window may be closed. The clocks of processes
/// are assumed to differ by less than this time.
const MIN_CLOSE_DELAY: Duration = Duration::from_millis(300);

/// Age of the newest share of a process at which the process counts as gone.
const SHARE_LIFE: Duration = Duration::from_secs(12);

/// Number of windows that may be closed at once after a long outage. Older windows are too late to
/// report.
const MAX_BACKLOG: u64 = 8;

/// Holds the newest share of each process and adds up the shares per window.
#[derive(Clone, Debug)]
pub struct WindowAggregator {
    window_ms: u64,
    /// Milliseconds after a window's end for which the window waits for the counts of live
    /// processes.
    latest_close_ms: u64,
    shares: BTreeMap<ProcessId, UsageShare>,
}

impl WindowAggregator {
    /// Returns an aggregator without shares, for windows of `window_ms` milliseconds.
    pub fn new(window_ms: u64, limits: DutyLimits) -> WindowAggregator {
        let latest_close_ms = limits.latest_close.as_millis() as u64;
        WindowAggregator { window_ms: window_ms.max(1), latest_close_ms, shares: BTreeMap::new() }
    }

    /// Stores a share; a share that is older than the known one of the same process is ignored.
    pub fn take(&mut self, share: UsageShare) {
        let known = self.shares.get(&share.process);
        if known.is_none_or(|known| known.until_ms <= share.until_ms) {
            self.shares.insert(share.process.clone(), share);
        }
    }

    /// Returns the number of live processes, which are those with a recent share.
    pub fn live_count(&self, wall_ms: u64) -> usize {
        let live = |share: &&UsageShare| self.is_live(share, wall_ms);
        let names: BTreeSet<&str> =
            self.shares.values().filter(live).map(|share| &*share.process.name).collect();
        names.len()
    }

    /// Returns the windows after `last` that may be closed at `wall_ms`, with their counts.
    ///
    /// A window waits until the shares of all live processes extend past its end, but not for
    /// longer than [`DutyLimits::latest_close`].
    pub fn closable(&self, wall_ms: u64, last: Option<u64>) -> Vec<ClosedWindow> {
        let current = wall_ms / self.window_ms;
        let oldest = current.saturating_sub(MAX_BACKLOG);
        let first =
            last.map_or(current.saturating_sub(2), |last| last.saturating_add(1)).max(oldest);
        (first..current)
            .take_while(|window| self.may_close(*window, wall_ms))
            .map(|window| ClosedWindow { window, counts: self.sum(window) })
            .collect()
    }

    fn may_close(&self, window: u64, wall_ms: u64) -> bool {
        let end = window.saturating_add(1).saturating_mul(self.window_ms);
        let passed = wall_ms.saturating_sub(end);
        if passed < MIN_CLOSE_DELAY.as_millis() as u64 {
            return false;
        }
        passed >= self.latest_close_ms || self.live_shares_extend_to(end, wall_ms)
    }

    /// Reports whether there is a live process and the newest run of each live process has sent its
    /// counts up to `end`.
    fn live_shares_extend_to(&self, end: u64, wall_ms: u64) -> bool {
        let mut newest: BTreeMap<&str, &UsageShare> = BTreeMap::new();
        for share in self.shares.values().filter(|share| self.is_live(share, wall_ms)) {
            // Runs of a process are sorted by incarnation, so the last run replaces earlier ones.
            newest.insert(&share.process.name, share);
        }
        !newest.is_empty() && newest.values().all(|share| share.until_ms >= end)
    }

    fn is_live(&self, share: &UsageShare, wall_ms: u64) -> bool {
        wall_ms.saturating_sub(share.until_ms) < SHARE_LIFE.as_millis() as u64
    }

    fn sum(&self, window: u64) -> BTreeMap<Box<str>, u64> {
        let mut counts = BTreeMap::new();
        for (account, count) in
            self.shares.values().filter_map(|share| share.counts.get(&window)).flatten()
        {
            let sum: &mut u64 = counts.entry(account.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        counts
    }
}
