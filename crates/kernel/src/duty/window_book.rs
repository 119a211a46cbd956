//! Adds up what processes counted and says which windows may be closed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    duty::{ClosedWindow, DutyLimits, UsageShare},
    ids::ProcessId,
};

/// Least time after a window's end; the clocks of processes differ by less.
const EARLIEST_CLOSE: Duration = Duration::from_millis(300);

/// Age of a share at which its process counts as gone.
const SHARE_LIFE: Duration = Duration::from_secs(12);

/// Windows closed at once after a long outage; older ones are past reporting.
const MAX_BACKLOG: u64 = 8;

/// The newest shares of all processes.
#[derive(Clone, Debug)]
pub struct WindowBook {
    window_ms: u64,
    /// Time after a window's end until which a process that counted lately is waited for.
    latest_close_ms: u64,
    shares: BTreeMap<ProcessId, UsageShare>,
}

impl WindowBook {
    /// Returns an empty book for windows of `window_ms` milliseconds.
    pub fn new(window_ms: u64, limits: DutyLimits) -> WindowBook {
        let latest_close_ms = limits.latest_close.as_millis() as u64;
        WindowBook { window_ms: window_ms.max(1), latest_close_ms, shares: BTreeMap::new() }
    }

    /// Takes a share; an older one of the same process changes nothing.
    pub fn take(&mut self, share: UsageShare) {
        let known = self.shares.get(&share.process);
        if known.is_none_or(|known| known.until_ms <= share.until_ms) {
            self.shares.insert(share.process.clone(), share);
        }
    }

    /// Returns the processes that shared lately.
    pub fn live(&self, wall_ms: u64) -> usize {
        let live = |share: &&UsageShare| self.is_live(share, wall_ms);
        let names: BTreeSet<&str> =
            self.shares.values().filter(live).map(|share| &*share.process.name).collect();
        names.len()
    }

    /// Returns the windows after `last` that may be closed at `wall_ms`, with their figures.
    ///
    /// A window waits until all processes that shared lately have shared past its end, but not
    /// for longer than [`DutyLimits::latest_close`].
    pub fn closable(&self, wall_ms: u64, last: Option<u64>) -> Vec<ClosedWindow> {
        let current = wall_ms / self.window_ms;
        let oldest = current.saturating_sub(MAX_BACKLOG);
        let first = last.map_or(current.saturating_sub(2), |last| last + 1).max(oldest);
        (first..current)
            .take_while(|window| self.may_close(*window, wall_ms))
            .map(|window| ClosedWindow { window, counts: self.sum(window) })
            .collect()
    }

    fn may_close(&self, window: u64, wall_ms: u64) -> bool {
        let end = (window + 1) * self.window_ms;
        let passed = wall_ms.saturating_sub(end);
        if passed < EARLIEST_CLOSE.as_millis() as u64 {
            return false;
        }
        passed >= self.latest_close_ms || self.is_whole(end, wall_ms)
    }

    /// Returns whether no live process is still to share what it counted before `end`.
    fn is_whole(&self, end: u64, wall_ms: u64) -> bool {
        let mut newest: BTreeMap<&str, &UsageShare> = BTreeMap::new();
        for share in self.shares.values().filter(|share| self.is_live(share, wall_ms)) {
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
            *counts.entry(account.clone()).or_default() += count;
        }
        counts
    }
}
