//! Usage of all client accounts, by replay of the `state` stream.
//!
//! Each count is added once, each window is closed by one record, and the report of a window is
//! taken from that record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingNumber, ProcessId},
    record::{
        AccountFigures, StateRecord, UsageBatch, UsageCounts, UsageLine, UsageSupplement,
        WindowClosed, WindowReported,
    },
};

/// Number of closed windows after which a run that wrote nothing is removed.
const RUN_RETENTION_WINDOWS: u64 = 168;

/// Effect of a log record on the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageChange {
    /// The counts were added.
    Counted,
    /// The counts were ignored: they were in the log before, come from a fenced run, or supplement
    /// the counts of a run that is not fenced.
    Void,
    /// An agent's run was fenced; its later counts are ignored.
    Fenced,
    /// A window was closed and has to be reported.
    Closed {
        /// Number of the window.
        window: u64,
    },
    /// The record has no effect: its window or a later one is already closed, its figures are out
    /// of date, or its window needs no report.
    Rejected,
    /// A window was reported.
    Reported {
        /// Number of the window.
        window: u64,
    },
    /// The record is not about usage.
    Unrelated,
}

/// State of one run of a process that appends counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageRun {
    /// Process and incarnation of the run.
    pub run: ProcessId,
    /// Sequence number of the last batch or supplement that was added.
    pub sequence: u64,
    /// Whether the run is fenced, so that its batches are ignored.
    pub fenced: bool,
    /// Last closed window at the time of the run's last record; 0 if no window was closed.
    pub window: u64,
}

/// Complete state of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageSnapshot {
    /// Runs that wrote recently enough to be kept.
    pub runs: Vec<UsageRun>,
    /// Counts that are not part of a closed window.
    pub pending: Vec<UsageLine>,
    /// Last closed window and the offset of the record that closed it; `None` if no window was
    /// closed.
    pub closed: Option<(u64, u64)>,
    /// Closed windows that were not reported.
    pub unreported: Vec<WindowClosed>,
}

/// Usage after a prefix of the log.
///
/// The figures of all closed windows and the pending counts add up to all counts in the log. A
/// record that closes a window names the record that closed the previous window. Of several such
/// records the first in the log takes effect, so no count is part of two closed windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UsageLedger {
    runs: BTreeMap<ProcessId, UsageRun>,
    pending: BTreeMap<(u64, Box<str>), UsageCounts>,
    closed: Option<(u64, u64)>,
    unreported: BTreeMap<u64, WindowClosed>,
}

impl UsageLedger {
    /// Returns an empty ledger.
    pub fn new() -> UsageLedger {
        UsageLedger::default()
    }

    /// Returns a ledger with the state of `snapshot`.
    pub fn with_snapshot(snapshot: &UsageSnapshot) -> UsageLedger {
        let runs = snapshot.runs.iter().map(|run| (run.run.clone(), run.clone()));
        let line = |line: &UsageLine| ((line.window, line.account.clone()), line.counts);
        let close = |close: &WindowClosed| (close.window, close.clone());
        UsageLedger {
            runs: runs.collect(),
            pending: snapshot.pending.iter().map(line).collect(),
            closed: snapshot.closed,
            unreported: snapshot.unreported.iter().map(close).collect(),
        }
    }

    /// Returns the complete state of the ledger.
    pub fn snapshot(&self) -> UsageSnapshot {
        let line = |((window, account), counts): (&(u64, Box<str>), &UsageCounts)| UsageLine {
            window: *window,
            account: account.clone(),
            counts: *counts,
        };
        UsageSnapshot {
            runs: self.runs.values().cloned().collect(),
            pending: self.pending.iter().map(line).collect(),
            closed: self.closed,
            unreported: self.unreported.values().cloned().collect(),
        }
    }

    /// Applies the record at `offset` of the `state` stream.
    pub fn apply(&mut self, offset: u64, record: &StateRecord) -> UsageChange {
        match record {
            StateRecord::UsageBatch(batch) => self.apply_batch(batch),
            StateRecord::UsageSupplement(supplement) => self.apply_supplement(supplement),
            StateRecord::UsageFence(fence) => {
                self.run(&fence.agent).fenced = true;
                UsageChange::Fenced
            }
            StateRecord::WindowClosed(close) => self.apply_close(offset, close),
            StateRecord::WindowReported(reported) => {
                match self.unreported.remove(&reported.window) {
                    Some(close) => UsageChange::Reported { window: close.window },
                    None => UsageChange::Rejected,
                }
            }
            _ => UsageChange::Unrelated,
        }
    }

    /// Returns the record that closes `window`, for the holder of the usage lease.
    ///
    /// Call this some time after the end of the window, when most of its counts are in the log.
    /// Counts that arrive later become an adjustment in the next window. Returns `None` if `window`
    /// or a later window is already closed.
    pub fn close(&self, window: u64, fencing: FencingNumber) -> Option<StateRecord> {
        if self.closed.is_some_and(|(last, _)| window <= last) {
            return None;
        }
        let mut figures: BTreeMap<&str, AccountFigures> = BTreeMap::new();
        for ((counted, account), counts) in &self.pending {
            if *counted > window {
                continue;
            }
            let entry = figures.entry(account).or_insert_with(|| AccountFigures {
                account: account.clone(),
                served: UsageCounts::default(),
                adjustment: UsageCounts::default(),
            });
            let late = self.closed.is_some_and(|(last, _)| *counted <= last);
            if late {
                entry.adjustment += *counts;
            } else {
                entry.served += *counts;
            }
        }
        let previous = self.closed.map(|(_, offset)| offset);
        let figures = figures.into_values().collect();
        Some(StateRecord::WindowClosed(WindowClosed { window, previous, fencing, figures }))
    }

    /// Returns the last closed window, or `None` if no window was closed.
    pub fn last_closed(&self) -> Option<u64> {
        self.closed.map(|(window, _)| window)
    }

    /// Returns the oldest closed window that was not reported.
    ///
    /// Report exactly these figures under the usage lease, and append
    /// [`reported`](UsageLedger::reported) when the platform has them.
    pub fn next_report(&self) -> Option<&WindowClosed> {
        self.unreported.values().next()
    }

    /// Returns the record that marks `window` as reported.
    pub fn reported(&self, window: u64, fencing: FencingNumber) -> StateRecord {
        StateRecord::WindowReported(WindowReported { window, fencing })
    }

    /// Returns the counts that are not part of a closed window, by window and account.
    pub fn pending(&self) -> impl Iterator<Item = UsageLine> + '_ {
        self.pending.iter().map(|((window, account), counts)| UsageLine {
            window: *window,
            account: account.clone(),
            counts: *counts,
        })
    }

    /// Returns the state of `run`, which writes now; adds it if it is new.
    fn run(&mut self, run: &ProcessId) -> &mut UsageRun {
        let window = self.closed.map_or(0, |(window, _)| window);
        let new_run = UsageRun { run: run.clone(), sequence: 0, fenced: false, window };
        let known = self.runs.entry(run.clone()).or_insert(new_run);
        known.window = window;
        known
    }

    fn apply_batch(&mut self, batch: &UsageBatch) -> UsageChange {
        let run = self.run(&batch.agent);
        if run.fenced || batch.sequence <= run.sequence {
            return UsageChange::Void;
        }
        run.sequence = batch.sequence;
        self.add(&batch.lines)
    }

    fn apply_supplement(&mut self, supplement: &UsageSupplement) -> UsageChange {
        if !self.runs.get(&supplement.agent).is_some_and(|run| run.fenced) {
            return UsageChange::Void;
        }
        let run = self.run(&supplement.entry);
        if supplement.sequence <= run.sequence {
            return UsageChange::Void;
        }
        run.sequence = supplement.sequence;
        self.add(&supplement.lines)
    }

    fn add(&mut self, lines: &[UsageLine]) -> UsageChange {
        for line in lines {
            *self.pending.entry((line.window, line.account.clone())).or_default() += line.counts;
        }
        UsageChange::Counted
    }

    fn apply_close(&mut self, offset: u64, close: &WindowClosed) -> UsageChange {
        let current = close.previous == self.closed.map(|(_, offset)| offset);
        if !current || !self.is_valid_close(close) {
            return UsageChange::Rejected;
        }
        let last = self.closed.map(|(last, _)| last);
        for figures in &close.figures {
            self.deduct_pending(
                &figures.account,
                |window| Some(window) <= last,
                figures.adjustment,
            );
            let served = |window| Some(window) > last && window <= close.window;
            self.deduct_pending(&figures.account, served, figures.served);
        }
        self.closed = Some((close.window, offset));
        self.unreported.insert(close.window, close.clone());
        let oldest = close.window.saturating_sub(RUN_RETENTION_WINDOWS);
        self.runs.retain(|_, run| run.window >= oldest);
        UsageChange::Closed { window: close.window }
    }

    /// Reports whether the window is open and the pending counts cover all of its figures.
    fn is_valid_close(&self, close: &WindowClosed) -> bool {
        let Some(StateRecord::WindowClosed(own)) = self.close(close.window, close.fencing) else {
            return false;
        };
        close.figures.iter().all(|figures| {
            let known = own.figures.iter().find(|known| known.account == figures.account);
            known.is_some_and(|known| {
                is_within(figures.served, known.served)
                    && is_within(figures.adjustment, known.adjustment)
            })
        })
    }

    /// Deducts `counts` of `account`, which are part of a closed window, from its pending counts in
    /// the windows that `held` selects.
    fn deduct_pending(
        &mut self,
        account: &str,
        held: impl Fn(u64) -> bool,
        mut counts: UsageCounts,
    ) {
        for ((window, owner), pending) in &mut self.pending {
            if **owner == *account && held(*window) {
                deduct(&mut pending.requests, &mut counts.requests);
                deduct(&mut pending.prompt_tokens, &mut counts.prompt_tokens);
                deduct(&mut pending.output_tokens, &mut counts.output_tokens);
            }
        }
        self.pending.retain(|_, pending| *pending != UsageCounts::default());
    }
}

/// Reports whether no count exceeds its bound.
fn is_within(counts: UsageCounts, bound: UsageCounts) -> bool {
    counts.requests <= bound.requests
        && counts.prompt_tokens <= bound.prompt_tokens
        && counts.output_tokens <= bound.output_tokens
}

/// Reduces both numbers by the smaller of them.
fn deduct(from: &mut u64, wanted: &mut u64) {
    let part = (*from).min(*wanted);
    *from -= part;
    *wanted -= part;
}
