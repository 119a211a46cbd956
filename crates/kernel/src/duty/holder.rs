//! How one process takes, keeps and loses the duty.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    duty::{ClosedWindow, DutyLimits, DutyRecord},
    ids::{FencingNumber, ProcessId},
    time::TimePoint,
};

/// Windows whose figures are kept for reports that are still due.
const KEPT_WINDOWS: usize = 12;

/// A report that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Fencing number to send it under.
    pub fencing: FencingNumber,
    /// The window's figures.
    pub closed: ClosedWindow,
}

/// One process's part in the duty of reporting usage.
///
/// All time points must come from a clock that also counts while the host is suspended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyHolder {
    process: ProcessId,
    limits: DutyLimits,
    /// Where the log ends as far as it was read.
    end: u64,
    holder: Option<ProcessId>,
    fencing: FencingNumber,
    /// Whether the holder gave the duty up.
    released: bool,
    /// When this process read the last record, or began to read.
    changed: TimePoint,
    acts_until: TimePoint,
    closed: BTreeMap<u64, ClosedWindow>,
    /// Windows whose report was accepted.
    reported: Vec<u64>,
}

impl DutyHolder {
    /// Returns the part of a process that starts to read the log at `now`.
    pub fn new(now: TimePoint, process: ProcessId, limits: DutyLimits) -> DutyHolder {
        DutyHolder {
            process,
            limits,
            end: 0,
            holder: None,
            fencing: FencingNumber(0),
            released: false,
            changed: now,
            acts_until: TimePoint::ZERO,
            closed: BTreeMap::new(),
            reported: Vec::new(),
        }
    }

    /// Returns the offset to read from, and the condition of the next append.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the last window that was closed.
    pub fn last_closed(&self) -> Option<u64> {
        self.closed.last_key_value().map(|(window, _)| *window)
    }

    /// Returns the process that holds the duty, and its fencing number.
    pub fn holder(&self) -> Option<(&ProcessId, FencingNumber)> {
        self.holder.as_ref().map(|holder| (holder, self.fencing))
    }

    /// Takes the record at `offset`, read at `now`.
    pub fn read(&mut self, now: TimePoint, offset: u64, record: DutyRecord) {
        if offset < self.end {
            return;
        }
        self.end = offset + 1;
        self.changed = now;
        if self.holder.as_ref() != Some(&record.holder) {
            self.acts_until = TimePoint::ZERO;
        }
        self.fencing = record.fencing.unwrap_or(FencingNumber(offset));
        self.holder = Some(record.holder);
        self.released = record.released;
        if self.released {
            self.acts_until = TimePoint::ZERO;
        }
        for closed in record.windows {
            // The first figures of a window are final.
            self.closed.entry(closed.window).or_insert(closed);
        }
        while self.closed.len() > KEPT_WINDOWS {
            self.closed.pop_first();
        }
    }

    /// Passes over offsets before `end` that hold no record any more.
    pub fn skip_to(&mut self, now: TimePoint, end: u64) {
        if end > self.end {
            self.end = end;
            self.changed = now;
        }
    }

    /// Returns whether this process may append a record that closes windows.
    pub fn may_close(&self, now: TimePoint) -> bool {
        match &self.holder {
            None => self.end == 0 || self.silent(now),
            Some(holder) => (*holder == self.process && !self.released) || self.silent(now),
        }
    }

    fn silent(&self, now: TimePoint) -> bool {
        let DutyLimits { released_span, takeover_span, .. } = self.limits;
        now.since(self.changed) >= if self.released { released_span } else { takeover_span }
    }

    /// Returns the record that gives the duty up, if this process holds it.
    pub fn release(&self) -> Option<DutyRecord> {
        let mine = self.holder.as_ref() == Some(&self.process) && !self.released;
        mine.then(|| DutyRecord { released: true, ..self.record(Vec::new()) })
    }

    /// Returns the record that closes `windows` beside those that are closed already.
    pub fn record(&self, windows: Vec<ClosedWindow>) -> DutyRecord {
        let mine = self.holder.as_ref() == Some(&self.process) && !self.released;
        let known = self.closed.values().cloned();
        let windows = known.chain(windows).collect();
        let fencing = mine.then_some(self.fencing);
        DutyRecord { holder: self.process.clone(), fencing, windows, released: false }
    }

    /// Notes that the append begun at `sent` put `record` at `offset`.
    pub fn appended(&mut self, now: TimePoint, sent: TimePoint, offset: u64, record: DutyRecord) {
        let released = record.released;
        self.read(now, offset, record);
        if !released {
            self.acts_until = sent + self.limits.act_span;
        }
    }

    /// Returns whether this process may report until `now + needed`.
    pub fn may_act(&self, now: TimePoint, needed: Duration) -> bool {
        self.holder.as_ref() == Some(&self.process) && now + needed < self.acts_until
    }

    /// Returns whether reports are due that this process may not make without a new record.
    pub fn needs_renewal(&self, now: TimePoint, needed: Duration, oldest: u64) -> bool {
        self.holder.as_ref() == Some(&self.process)
            && !self.may_act(now, needed)
            && self.due(oldest).next().is_some()
    }

    /// Returns the next report to make, of a window not before `oldest`.
    pub fn next_report(
        &self,
        now: TimePoint,
        needed: Duration,
        oldest: u64,
    ) -> Option<UsageReport> {
        if !self.may_act(now, needed) {
            return None;
        }
        let closed = self.due(oldest).next()?.clone();
        Some(UsageReport { fencing: self.fencing, closed })
    }

    /// Notes that the report of `window` was accepted.
    pub fn note_reported(&mut self, window: u64) {
        self.reported.push(window);
        if self.reported.len() > 2 * KEPT_WINDOWS {
            self.reported.remove(0);
        }
    }

    fn due(&self, oldest: u64) -> impl Iterator<Item = &ClosedWindow> {
        let due = move |closed: &&ClosedWindow| {
            closed.window >= oldest && !self.reported.contains(&closed.window)
        };
        self.closed.values().filter(due)
    }
}
