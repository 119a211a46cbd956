//! An agent's counts of the requests and tokens that it served.

use std::collections::BTreeMap;

use crate::{
    ids::ProcessId,
    record::{AttemptRanges, StateRecord, UsageBatch, UsageCounts, UsageFence, UsageLine},
};

/// Sums of counts by window and account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct UsageSums(BTreeMap<(u64, Box<str>), UsageCounts>);

impl UsageSums {
    pub(crate) fn add(&mut self, window: u64, account: &str, counts: UsageCounts) {
        *self.0.entry((window, account.into())).or_default() += counts;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes all sums and returns those that are not zero, as lines.
    pub(crate) fn take_lines(&mut self) -> Vec<UsageLine> {
        let line = |((window, account), counts)| UsageLine { window, account, counts };
        let nothing = UsageCounts::default();
        let sums = std::mem::take(&mut self.0).into_iter();
        sums.filter(|(_, counts)| *counts != nothing).map(line).collect()
    }
}

/// Adds `number` to ascending, disjoint ranges of numbers and joins adjacent ranges.
fn insert_number(ranges: &mut Vec<(u64, u64)>, number: u64) {
    let index = ranges.partition_point(|&(_, last)| last + 1 < number);
    match ranges.get_mut(index) {
        Some((first, last)) if *first <= number + 1 => {
            *first = number.min(*first);
            *last = number.max(*last);
        }
        _ => ranges.insert(index, (number, number)),
    }
    if index + 1 < ranges.len() && ranges[index].1 + 1 == ranges[index + 1].0 {
        ranges[index].1 = ranges[index + 1].1;
        ranges.remove(index + 1);
    }
}

/// Counts what one run of an agent serves.
///
/// Each entry numbers its attempts at this run from 1. A batch holds the sums since the previous
/// batch and the numbers of the attempts that they cover, so its size depends on the numbers of
/// accounts and entries and not on the number of requests. Only one batch is in transit to the log
/// at a time; it is appended again, unchanged, until it is read back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UsageMeter {
    run: ProcessId,
    sequence: u64,
    sums: UsageSums,
    /// Numbers of the attempts in `sums`, by entry, as ranges.
    covered: BTreeMap<ProcessId, Vec<(u64, u64)>>,
    /// Batch that has not been read back from the log.
    pending: Option<UsageBatch>,
    closing: bool,
    fenced: bool,
}

impl UsageMeter {
    /// Returns a meter without counts; `run` must not have been used by an earlier meter.
    pub fn new(run: ProcessId) -> UsageMeter {
        UsageMeter {
            run,
            sequence: 0,
            sums: UsageSums::default(),
            covered: BTreeMap::new(),
            pending: None,
            closing: false,
            fenced: false,
        }
    }

    /// Returns the run for which entries number their attempts.
    pub fn run(&self) -> &ProcessId {
        &self.run
    }

    /// Counts an attempt that ended; `counts` is zero if the attempt did not run.
    ///
    /// `window` is the window in which the attempt ended. Returns `false` if the run is fenced; the
    /// entry counts the attempt instead.
    pub fn count(
        &mut self,
        entry: &ProcessId,
        number: u64,
        window: u64,
        account: &str,
        counts: UsageCounts,
    ) -> bool {
        if self.fenced {
            return false;
        }
        self.sums.add(window, account, counts);
        insert_number(self.covered.entry(entry.clone()).or_default(), number);
        true
    }

    /// Returns the record to append now, or `None` if there is none.
    ///
    /// The record is the batch that was not read back, else a new batch, else, after
    /// [`close`](UsageMeter::close), the fence of this run.
    pub fn next_append(&mut self) -> Option<StateRecord> {
        if self.fenced {
            return None;
        }
        if self.pending.is_none() && !self.covered.is_empty() {
            let attempt_ranges = |(entry, ranges)| AttemptRanges { entry, ranges };
            self.sequence += 1;
            self.pending = Some(UsageBatch {
                agent: self.run.clone(),
                sequence: self.sequence,
                lines: self.sums.take_lines(),
                covered: std::mem::take(&mut self.covered)
                    .into_iter()
                    .map(attempt_ranges)
                    .collect(),
            });
        }
        let fence = UsageFence { agent: self.run.clone(), by: self.run.clone() };
        match self.pending.clone() {
            Some(batch) => Some(StateRecord::UsageBatch(batch)),
            None => self.closing.then_some(StateRecord::UsageFence(fence)),
        }
    }

    /// Begins a planned stop: the run fences itself after its last batch.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Applies a record of the `state` stream.
    pub fn read(&mut self, record: &StateRecord) {
        match record {
            StateRecord::UsageBatch(batch) if self.pending.as_ref() == Some(batch) => {
                self.pending = None;
            }
            StateRecord::UsageFence(fence) if fence.agent == self.run => self.fence(),
            _ => {}
        }
    }

    /// Reports whether the run is fenced.
    ///
    /// After that, begin a new run with a higher incarnation, and refuse requests for this run as
    /// not run.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Drops all counts that are not in the log; the entries have them and append them as
    /// supplements.
    fn fence(&mut self) {
        self.fenced = true;
        self.pending = None;
        self.sums = UsageSums::default();
        self.covered.clear();
    }
}
