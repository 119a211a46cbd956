//! The histories of prompt parts, and the judgement which of them end endpoints.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use crate::{
    suspect::{
        PartCrash, PartHistory, SuspectLimits, contrasted_crashes, fingerprint, separate_crashes,
    },
    time::TimePoint,
};

/// Maximum number of parts in a table; those with the fewest and oldest crashes are evicted first.
pub const MAX_PART_ROWS: usize = 2048;

/// Separate crashes from which a part is suspected if no request with it is known to have completed.
pub const UNPROVEN_CRASHES: usize = 3;

/// Separate crashes since the last completed run from which a part is suspected although requests
/// with it had completed before.
///
/// A popular part is present at most crashes, whatever causes them.
pub const PROVEN_CRASHES: usize = 6;

/// Separate crashes that other suspected parts do not explain, from which a request is refused that
/// lacks the other parts.
const UNEXPLAINED_CRASHES: usize = 2;

/// Time that a table is used before expired records are dropped.
const ADVANCE_PERIOD: Duration = Duration::from_secs(60);

/// Whether a request may run, by the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part is suspected.
    Clear,
    /// A part is suspected, but a part that the request lacks may be the cause.
    Excused,
    /// The request must not run because of this part.
    Refuse(u64),
}

/// The parts that are suspected at present.
#[derive(Clone, Debug, Default)]
struct SuspectedParts {
    /// Parts with which no request is known to have completed, in the order of
    /// [`excuse_rank`](PartTable::excuse_rank).
    unproven: Vec<u64>,
    /// Parts with which requests had completed before they began to end endpoints.
    proven: Vec<u64>,
}

/// The histories of prompt parts by key.
///
/// Histories store ages instead of time points, so that processes with different clocks can
/// exchange them.
#[derive(Clone, Debug, Default)]
pub struct PartTable {
    /// Time at which the ages were last updated, on the clock of this process.
    as_of: TimePoint,
    ttl: Duration,
    rows: BTreeMap<u64, PartHistory>,
    suspected: SuspectedParts,
}

impl PartTable {
    /// Returns an empty table with the time to live of [`SuspectLimits::ungated`].
    pub fn new() -> PartTable {
        PartTable { ttl: SuspectLimits::ungated().ttl, ..PartTable::default() }
    }

    /// Returns the history of a part, with ages as of the last update of the table.
    pub fn history(&self, part: u64) -> Option<&PartHistory> {
        self.rows.get(&part)
    }

    /// Returns the parts with a history, in ascending order.
    pub fn parts(&self) -> impl Iterator<Item = u64> {
        self.rows.keys().copied()
    }

    /// Returns the parts with a record of a crash, in ascending order.
    pub fn present_at(&self, endpoint: &str, crash_id: u64) -> Vec<u64> {
        let is_crash =
            |crash: &PartCrash| crash.crash_id == crash_id && &*crash.endpoint == endpoint;
        let present = self.rows.iter().filter(|(_, history)| history.crashes.iter().any(is_crash));
        present.map(|(part, _)| *part).collect()
    }

    /// Returns the number of parts with a history.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Reports whether no part has a history.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of parts that are suspected.
    pub fn suspected(&self) -> usize {
        self.suspected.unproven.len() + self.suspected.proven.len()
    }

    /// Returns the time to live of the records.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Updates all ages to `now` and removes expired records.
    pub fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.as_of);
        self.as_of = self.as_of.max(now);
        self.rows.retain(|_, history| {
            history.advance(elapsed, self.ttl);
            !history.is_empty()
        });
    }

    /// Applies `change` to the history of a part, with ages as of the last update of the table.
    pub(crate) fn update(&mut self, part: u64, change: impl FnOnce(&mut PartHistory)) {
        change(self.rows.entry(part).or_default());
        if self.rows.get(&part).is_some_and(PartHistory::is_empty) {
            self.rows.remove(&part);
        }
    }

    /// Evicts parts until the table has at most [`MAX_PART_ROWS`], and judges the parts anew.
    pub(crate) fn settle(&mut self) {
        if self.rows.len() > MAX_PART_ROWS {
            let rank = |history: &PartHistory| {
                let youngest = history.counted().map(|crash| crash.age).min();
                (history.counted().count(), Reverse(youngest))
            };
            // Of equal parts others are evicted each time, so that none is always among them.
            let time = self.as_of.as_micros();
            let draw = |part: u64| fingerprint(&[], &(part ^ time).to_be_bytes());
            let rows = self.rows.iter();
            let mut ranks: Vec<_> =
                rows.map(|(part, history)| (rank(history), draw(*part), *part)).collect();
            ranks.sort_unstable();
            for (_, _, part) in &ranks[..self.rows.len() - MAX_PART_ROWS] {
                self.rows.remove(part);
            }
        }
        self.judge();
    }

    /// Finds the parts that are suspected.
    fn judge(&mut self) {
        let is_unproven = |history: &PartHistory| {
            history.crashes.len() >= UNPROVEN_CRASHES
                && !history.is_proven()
                && separate_crashes(history.counted()) >= UNPROVEN_CRASHES
        };
        let mut unproven: Vec<u64> = self.select(is_unproven);
        unproven.sort_by_key(|part| self.excuse_rank(*part));
        let is_proven = |history: &PartHistory| {
            let unexplained = history.counted().filter(|crash| !self.explains(&unproven, crash));
            history.crashes.len() >= PROVEN_CRASHES
                && history.is_proven()
                && contrasted_crashes(unexplained) >= PROVEN_CRASHES
        };
        let proven = self.select(is_proven);
        self.suspected = SuspectedParts { unproven, proven };
    }

    fn select(&self, is_selected: impl Fn(&PartHistory) -> bool) -> Vec<u64> {
        let selected = self.rows.iter().filter(|(_, history)| is_selected(history));
        selected.map(|(part, _)| *part).collect()
    }

    /// Returns the rank of a suspected part, which excuses those that rank after it.
    ///
    /// Of two parts with the same crashes, the one whose runs ended sooner is the likelier cause.
    /// Several parts with few crashes each may have caused all crashes of their common company.
    fn excuse_rank(&self, part: u64) -> (usize, Duration, u64) {
        let crashes: Vec<&PartCrash> =
            self.rows.get(&part).into_iter().flat_map(PartHistory::counted).collect();
        let ran = crashes.iter().fold(Duration::ZERO, |sum, crash| sum.saturating_add(crash.ran));
        let mean = ran / u32::try_from(crashes.len().max(1)).unwrap_or(u32::MAX);
        (separate_crashes(crashes.into_iter()), mean, part)
    }

    /// Returns the separate crashes of a part that `others` do not explain.
    fn unexplained(&self, part: u64, others: &[u64]) -> usize {
        let crashes = self.rows.get(&part).into_iter().flat_map(PartHistory::counted);
        separate_crashes(crashes.filter(|crash| !self.explains(others, crash)))
    }

    /// Reports whether requests with one of `parts` ran at a crash.
    fn explains(&self, parts: &[u64], crash: &PartCrash) -> bool {
        parts.iter().filter_map(|part| self.rows.get(part)).any(|row| row.has_crash(crash))
    }

    /// Returns whether a request with these parts may run.
    ///
    /// A part that is only company of the cause is present at the same crashes. A request that lacks
    /// another suspected part is judged by the crashes that the other part does not explain, so that
    /// its run tells the two apart. If such runs crashed endpoints too, only one of two parts with the
    /// same crashes excuses the other, so that requests with the cause do not go on.
    pub fn verdict(&mut self, now: TimePoint, parts: &[u64]) -> PartVerdict {
        if self.suspected() == 0 {
            return PartVerdict::Clear;
        }
        if now.since(self.as_of) >= ADVANCE_PERIOD {
            self.advance(now);
            self.judge();
        }
        let SuspectedParts { unproven, proven } = &self.suspected;
        if let Some(part) = proven.iter().find(|part| parts.contains(part)) {
            return PartVerdict::Refuse(*part);
        }
        let (present, absent): (Vec<u64>, Vec<u64>) =
            unproven.iter().partition(|part| parts.contains(part));
        match present.iter().find(|part| self.is_culprit(**part, &absent)) {
            Some(part) => PartVerdict::Refuse(*part),
            None if present.is_empty() => PartVerdict::Clear,
            None => PartVerdict::Excused,
        }
    }

    /// Reports whether a suspected part counts as the cause in a request that lacks the suspected
    /// parts `absent`.
    fn is_culprit(&self, part: u64, absent: &[u64]) -> bool {
        let rank = |part: u64| self.suspected.unproven.iter().position(|other| *other == part);
        let crashes = || self.rows.get(&part).into_iter().flat_map(PartHistory::counted);
        let excused = separate_crashes(crashes().filter(|crash| crash.excused));
        let excuses = |other: &u64| {
            excused < UNEXPLAINED_CRASHES
                || rank(*other) < rank(part)
                || (self.unexplained(*other, &[part]) >= UNEXPLAINED_CRASHES
                    && self.unexplained(part, &[*other]) < UNEXPLAINED_CRASHES)
        };
        let others: Vec<u64> = absent.iter().copied().filter(excuses).collect();
        self.unexplained(part, &others) >= UNEXPLAINED_CRASHES
    }

    /// Reports whether a part is suspected.
    pub(crate) fn is_suspected(&self, part: u64) -> bool {
        self.suspected.unproven.contains(&part) || self.suspected.proven.contains(&part)
    }

    /// Returns the time until a part is no longer suspected if nothing else changes.
    pub fn refused_for(&self, now: TimePoint, part: u64) -> Duration {
        let elapsed = now.since(self.as_of);
        let counted = self.rows.get(&part).into_iter().flat_map(PartHistory::counted);
        let oldest = counted.map(|crash| crash.age.saturating_add(elapsed)).max();
        oldest.map_or(Duration::ZERO, |age| self.ttl.saturating_sub(age))
    }

    /// Reports whether a crash is explained by a suspected part that is not among `parts`.
    pub fn is_explained(&self, endpoint: &str, crash_id: u64, parts: &[u64]) -> bool {
        let SuspectedParts { unproven, proven } = &self.suspected;
        let others = unproven.iter().chain(proven).filter(|part| !parts.contains(part));
        let is_crash =
            |crash: &&PartCrash| crash.crash_id == crash_id && &*crash.endpoint == endpoint;
        others
            .filter_map(|part| self.rows.get(part))
            .any(|history| history.counted().any(|crash| is_crash(&crash)))
    }

    /// Returns the history of a part with ages as of `now`.
    pub fn history_at(&self, now: TimePoint, part: u64) -> Option<PartHistory> {
        let mut history = self.rows.get(&part)?.clone();
        history.advance(now.since(self.as_of), self.ttl);
        Some(history)
    }
}
