//! How one process acquires, renews and loses the usage duty.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    duty::{ClosedWindow, DutyLimits, DutyRecord},
    ids::{FencingNumber, ProcessId},
    time::TimePoint,
};

/// Number of closed windows that are kept for reports that are still due.
const KEPT_WINDOWS: usize = 12;

/// A usage report that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Fencing number to send the report with.
    pub fencing: FencingNumber,
    /// Final figures of the window.
    pub closed: ClosedWindow,
}

/// Tracks the usage duty from the view of one process, which may or may not hold the duty.
///
/// All time points must come from a clock that also advances while the host is suspended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyHolder {
    process: ProcessId,
    limits: DutyLimits,
    /// Offset after the last record that was read.
    end: u64,
    /// Process that appended the last record.
    holder: Option<ProcessId>,
    fencing: FencingNumber,
    /// Whether the holder released the duty.
    released: bool,
    /// Time at which this process read the last record, or began to read.
    last_read: TimePoint,
    /// Time until which this process may report.
    may_report_until: TimePoint,
    closed: BTreeMap<u64, ClosedWindow>,
    /// Windows whose reports were accepted.
    reported: Vec<u64>,
}

impl DutyHolder {
    /// Returns the state of a process that starts to read the log at `now`.
    pub fn new(now: TimePoint, process: ProcessId, limits: DutyLimits) -> DutyHolder {
        DutyHolder {
            process,
            limits,
            end: 0,
            holder: None,
            fencing: FencingNumber(0),
            released: false,
            last_read: now,
            may_report_until: TimePoint::ZERO,
            closed: BTreeMap::new(),
            reported: Vec::new(),
        }
    }

    /// Returns the offset to read from, which is also the expected end of the log for the next
    /// append.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the latest closed window.
    pub fn last_closed(&self) -> Option<u64> {
        self.closed.last_key_value().map(|(window, _)| *window)
    }

    /// Returns the process that holds the duty or held it last, with its fencing number.
    pub fn holder(&self) -> Option<(&ProcessId, FencingNumber)> {
        self.holder.as_ref().map(|holder| (holder, self.fencing))
    }

    /// Applies the record at `offset`, read at `now`; a record that was read before is ignored.
    pub fn read(&mut self, now: TimePoint, offset: u64, record: DutyRecord) {
        if offset < self.end {
            return;
        }
        self.end = offset + 1;
        self.last_read = now;
        if self.holder.as_ref() != Some(&record.holder) {
            self.may_report_until = TimePoint::ZERO;
        }
        self.fencing = record.fencing.unwrap_or(FencingNumber(offset));
        self.holder = Some(record.holder);
        self.released = record.released;
        if self.released {
            self.may_report_until = TimePoint::ZERO;
        }
        for closed in record.windows {
            // The first figures of a window are final.
            self.closed.entry(closed.window).or_insert(closed);
        }
        while self.closed.len() > KEPT_WINDOWS {
            self.closed.pop_first();
        }
    }

    /// Skips offsets before `end` that no longer hold a record.
    pub fn skip_to(&mut self, now: TimePoint, end: u64) {
        if end > self.end {
            self.end = end;
            self.last_read = now;
        }
    }

    /// Reports whether this process may append a record that closes windows.
    ///
    /// The holder may do so until it releases the duty. Any other process may do so if the log is
    /// empty or if the process may take over the duty.
    pub fn may_close(&self, now: TimePoint) -> bool {
        match &self.holder {
            // If records were skipped, there may be a holder that this process does not know.
            None => self.end == 0 || self.may_take_over(now),
            Some(holder) => (*holder == self.process && !self.released) || self.may_take_over(now),
        }
    }

    /// Reports whether any process may take over the duty: no record was read for the takeover
    /// span or, after a release, for the shorter released span.
    fn may_take_over(&self, now: TimePoint) -> bool {
        let DutyLimits { released_span, takeover_span, .. } = self.limits;
        now.since(self.last_read) >= if self.released { released_span } else { takeover_span }
    }

    /// Returns the record that releases the duty, if this process holds the duty.
    pub fn release(&self) -> Option<DutyRecord> {
        let is_holder = self.holder.as_ref() == Some(&self.process) && !self.released;
        is_holder.then(|| DutyRecord { released: true, ..self.record(Vec::new()) })
    }

    /// Returns a record that closes `windows` and repeats the windows that are closed already.
    pub fn record(&self, windows: Vec<ClosedWindow>) -> DutyRecord {
        let is_holder = self.holder.as_ref() == Some(&self.process) && !self.released;
        let known = self.closed.values().cloned();
        let windows = known.chain(windows).collect();
        let fencing = is_holder.then_some(self.fencing);
        DutyRecord { holder: self.process.clone(), fencing, windows, released: false }
    }

    /// Notes that the append that was started at `sent` stored `record` at `offset`.
    pub fn appended(&mut self, now: TimePoint, sent: TimePoint, offset: u64, record: DutyRecord) {
        let released = record.released;
        self.read(now, offset, record);
        if !released {
            self.may_report_until = sent + self.limits.report_span;
        }
    }

    /// Reports whether this process may report until `now + needed`.
    pub fn may_report(&self, now: TimePoint, needed: Duration) -> bool {
        self.holder.as_ref() == Some(&self.process) && now + needed < self.may_report_until
    }

    /// Returns whether this process must append a new record before it can send a report that is
    /// due, of window `oldest` or later.
    pub fn needs_renewal(&self, now: TimePoint, needed: Duration, oldest: u64) -> bool {
        self.holder.as_ref() == Some(&self.process)
            && !self.may_report(now, needed)
            && self.due(oldest).next().is_some()
    }

    /// Returns the next report to send, of window `oldest` or later.
    ///
    /// Returns `None` if no report is due or if this process may not report until `now + needed`.
    pub fn next_report(
        &self,
        now: TimePoint,
        needed: Duration,
        oldest: u64,
    ) -> Option<UsageReport> {
        if !self.may_report(now, needed) {
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
