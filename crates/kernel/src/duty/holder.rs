//! How one process acquires, renews and loses the usage duty.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    duty::{ClosedWindow, DutyLimits, DutyRecord},
    ids::{FencingNumber, ProcessId},
    log_position::LogPosition,
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
    /// Position after the last record that was read.
    end: LogPosition,
    /// Process that appended the last record.
    holder: Option<ProcessId>,
    fencing: FencingNumber,
    /// Whether the holder released the duty.
    released: bool,
    /// Time at which this process read the last record, or began to read.
    last_read: TimePoint,
    /// Time until which this process may report.
    may_report_until: TimePoint,
    /// Time at which this process began its last append that succeeded.
    last_append: Option<TimePoint>,
    /// Whether the log may lack records of this process, the holder.
    must_repeat: bool,
    /// Whether the log names this process as the holder, but another one may have taken over in
    /// records that the log has lost.
    is_disowned: bool,
    /// Windows before this one may have been closed in records that the log has lost.
    first_closable: u64,
    /// Lower bound of `first_closable` until a record of the current era is read.
    provisional_first: u64,
    /// Window that had not ended at the last read.
    current: u64,
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
            end: LogPosition::default(),
            holder: None,
            fencing: FencingNumber(0),
            released: false,
            last_read: now,
            may_report_until: TimePoint::ZERO,
            last_append: None,
            must_repeat: false,
            is_disowned: false,
            first_closable: 0,
            provisional_first: 0,
            current: 0,
            closed: BTreeMap::new(),
            reported: Vec::new(),
        }
    }

    /// Returns the position to read from, which is also the expected end of the log for the next
    /// append.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Returns the latest window that is closed, or that this process must not close.
    pub fn last_closed(&self) -> Option<u64> {
        let known = self.closed.last_key_value().map(|(window, _)| *window);
        known.max(self.first_closable.max(self.provisional_first).checked_sub(1))
    }

    /// Notes that the log is in the given era, which it enters when it comes back from an older copy;
    /// `current` is the window that has not ended yet.
    ///
    /// Records that this process knows may be gone, and so may be records that it does not know.
    /// If it holds the duty and no other process can have taken over since its last append, it goes
    /// on and repeats its records. Otherwise windows that have ended may have been reported with
    /// other counts, so this process leaves them out unless a record of the new era shows more, and
    /// waits as if a record had just been appended.
    pub fn enter_era(&mut self, now: TimePoint, era: u64, current: u64) {
        self.current = current;
        if era <= self.end.era {
            return;
        }
        let is_certain = self.is_holder()
            && self.last_append.is_some_and(|at| now.since(at) < self.limits.takeover_span);
        self.end = LogPosition { era, offset: 0 };
        self.last_read = now;
        if is_certain {
            self.must_repeat = true;
        } else {
            self.must_repeat = false;
            self.is_disowned = true;
            self.provisional_first = current;
            self.may_report_until = TimePoint::ZERO;
        }
    }

    /// Reports whether this process holds the duty and must append its records again, because the
    /// log may have lost them.
    pub fn must_repeat(&self) -> bool {
        self.must_repeat && self.is_holder()
    }

    fn is_holder(&self) -> bool {
        self.holder.as_ref() == Some(&self.process) && !self.released && !self.is_disowned
    }

    /// Returns the process that holds the duty or held it last, with its fencing number.
    pub fn holder(&self) -> Option<(&ProcessId, FencingNumber)> {
        self.holder.as_ref().map(|holder| (holder, self.fencing))
    }

    /// Applies the record at `position`, read at `now`; a record that was read before, or that is of
    /// an earlier era, is ignored.
    ///
    /// The process must have entered the era of the record.
    pub fn read(&mut self, now: TimePoint, position: LogPosition, record: DutyRecord) {
        if position < self.end {
            return;
        }
        self.end = position.next();
        self.last_read = now;
        self.note_first_window(position, &record);
        // The holder knows more than an older copy of its records, or of those before them.
        let is_older = record.era < position.era && record.fencing_at(position) <= self.fencing;
        if !(self.must_repeat && is_older) {
            self.apply_holder(position, &record);
        }
        self.apply_windows(position, record);
        while self.closed.len() > KEPT_WINDOWS {
            self.closed.pop_first();
        }
    }

    /// Applies what a record shows of windows that must not be closed.
    ///
    /// The writer of a record of the current era has followed the same rules as this process, and
    /// nothing after it was lost. An older record may be one that the log has kept, or one that was
    /// executed late and hides a record of the current era.
    fn note_first_window(&mut self, position: LogPosition, record: &DutyRecord) {
        if record.era < position.era {
            let hidden = if self.must_repeat { 0 } else { self.current };
            self.first_closable = self.first_closable.max(self.provisional_first).max(hidden);
        }
        self.first_closable = self.first_closable.max(record.first_window);
        self.provisional_first = 0;
    }

    /// Applies the windows that a record shows.
    ///
    /// The figures of the current era are final. Those of an earlier one may have been replaced by
    /// figures in a record that the log has lost, or that the record hides, so windows that this
    /// process did not know are neither closed again nor reported.
    fn apply_windows(&mut self, position: LogPosition, record: DutyRecord) {
        if record.era == position.era {
            let windows = record.windows.into_iter().map(|closed| (closed.window, closed));
            self.closed.extend(windows);
        } else if let Some(last) = record.windows.last() {
            self.first_closable = self.first_closable.max(last.window.saturating_add(1));
        }
    }

    /// Applies what a record shows of the holder.
    ///
    /// A record of an earlier era gives its holder nothing, whoever it is: the log may have lost
    /// that of a successor, whose fencing number is higher. A record of the current era was appended
    /// by the rules.
    fn apply_holder(&mut self, position: LogPosition, record: &DutyRecord) {
        let is_disowned = record.era < position.era;
        if is_disowned || self.holder.as_ref() != Some(&record.holder) {
            self.must_repeat = false;
            self.may_report_until = TimePoint::ZERO;
        }
        self.is_disowned = is_disowned;
        self.fencing = record.fencing_at(position);
        self.holder = Some(record.holder.clone());
        self.released = record.released;
        if self.released {
            self.may_report_until = TimePoint::ZERO;
        }
    }

    /// Skips positions before `end` that no longer hold a record.
    pub fn skip_to(&mut self, now: TimePoint, end: LogPosition) {
        if end > self.end {
            self.end = end;
            self.last_read = now;
        }
    }

    /// Returns the time since which this process knows that nothing was appended after
    /// [`end`](DutyHolder::end).
    pub fn known_since(&self) -> TimePoint {
        self.last_read
    }

    /// Notes that another process had read all records before `end` at the time `at` already.
    ///
    /// The last record was appended before that, so a successor need not wait from its own first read.
    pub fn note_known_since(&mut self, end: LogPosition, at: TimePoint) {
        if end == self.end && end.offset > 0 {
            self.last_read = self.last_read.min(at);
        }
    }

    /// Reports whether this process may append a record that closes windows.
    ///
    /// The holder may do so until it releases the duty. Any other process may do so if the log is
    /// empty or if the process may take over the duty.
    pub fn may_close(&self, now: TimePoint) -> bool {
        match &self.holder {
            // If records were skipped, there may be a holder that this process does not know.
            None => self.end == LogPosition::default() || self.may_take_over(now),
            Some(_) => self.is_holder() || self.may_take_over(now),
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
        self.is_holder().then(|| DutyRecord { released: true, ..self.record(Vec::new()) })
    }

    /// Returns a record that closes `windows` and repeats the windows that are closed already.
    pub fn record(&self, windows: Vec<ClosedWindow>) -> DutyRecord {
        let known = self.closed.values().cloned();
        let windows = known.chain(windows).collect();
        let fencing = self.is_holder().then_some(self.fencing);
        DutyRecord {
            holder: self.process.clone(),
            fencing,
            windows,
            released: false,
            era: self.end.era,
            first_window: self.first_closable.max(self.provisional_first),
        }
    }

    /// Notes that the append that was started at `sent` stored `record` at `position`.
    ///
    /// An answer of another era than that of the record is ignored: the log may have lost the record,
    /// or executed the append after it had come back.
    pub fn appended(
        &mut self,
        now: TimePoint,
        sent: TimePoint,
        position: LogPosition,
        record: DutyRecord,
    ) {
        if position < self.end || position.era != record.era {
            return;
        }
        let released = record.released;
        self.must_repeat = false;
        self.is_disowned = false;
        self.last_append = Some(sent);
        self.read(now, position, record);
        if !released {
            self.may_report_until = sent + self.limits.report_span;
        }
    }

    /// Reports whether this process may report until `now + needed`.
    pub fn may_report(&self, now: TimePoint, needed: Duration) -> bool {
        let is_holder = self.holder.as_ref() == Some(&self.process) && !self.is_disowned;
        is_holder && !self.must_repeat && now + needed < self.may_report_until
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
