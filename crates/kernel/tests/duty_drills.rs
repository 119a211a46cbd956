//! Drawn sessions of three processes that share the usage duty over a log that comes back from older
//! copies, several times in a row.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    duty::{ClosedWindow, DutyHolder, DutyLimits, DutyRecord},
    ids::ProcessId,
    log_position::LogPosition,
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

/// Time within which reports of two holders must not alternate.
const LEASE: Duration = Duration::from_secs(3);

/// Time after the end of a window within which its report is due.
const DUE: Duration = Duration::from_secs(10);

/// Longest time that a report is in transit.
const REPORT_TIME: Duration = Duration::from_millis(900);

/// Length of a usage window in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Number of processes.
const PROCESSES: usize = 3;

/// Number of steps of a session.
const STEPS: usize = 500;

/// Number of sessions of each kind.
const SESSIONS: u64 = 1_500;

/// How a session differs from the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// Not at all.
    Sound,
    /// Processes take records of earlier eras for records of the current one.
    TrustsOldRecords,
    /// Processes ignore the era that the log states.
    IgnoresEra,
    /// Processes number each holder by the offset of its first record alone.
    NumbersByOffset,
}

/// A report that arrived.
#[derive(Clone, Debug)]
struct ReceivedReport {
    at: TimePoint,
    sender: ProcessId,
    fencing: u64,
    closed: ClosedWindow,
}

/// The log, which states its era and may lose its newest records.
#[derive(Debug, Default)]
struct DrilledLog {
    era: u64,
    records: Vec<DutyRecord>,
    /// Appends without an answer that may still be executed.
    late: Vec<(usize, DutyRecord)>,
}

impl DrilledLog {
    fn append(&mut self, expected: usize, record: &DutyRecord) -> bool {
        let is_at_end = expected == self.records.len();
        if is_at_end {
            self.records.push(record.clone());
        }
        is_at_end
    }

    /// Comes back from a copy without the last `lost` records.
    fn drill(&mut self, lost: usize) {
        self.records.truncate(self.records.len().saturating_sub(lost));
        self.era += 1;
    }
}

struct DrilledProcess {
    id: ProcessId,
    duty: DutyHolder,
    /// The process is frozen or cut off until then.
    away_until: TimePoint,
}

impl DrilledProcess {
    fn new(now: TimePoint, index: usize, incarnation: u64) -> DrilledProcess {
        let id = ProcessId { name: format!("p{index}").into(), incarnation };
        let duty = DutyHolder::new(now, id.clone(), DutyLimits::new(LEASE, DUE));
        DrilledProcess { id, duty, away_until: now }
    }
}

struct DrilledSession {
    variant: Variant,
    generator: Gen,
    now: TimePoint,
    log: DrilledLog,
    processes: Vec<DrilledProcess>,
    reports: Vec<ReceivedReport>,
    /// Number of drills so far.
    drills: usize,
}

impl DrilledSession {
    fn new(seed: u64, variant: Variant) -> DrilledSession {
        let now = TimePoint::from_millis(100_000);
        DrilledSession {
            variant,
            generator: Gen::from_size_and_seed(30, seed),
            now,
            log: DrilledLog::default(),
            processes: (0..PROCESSES).map(|index| DrilledProcess::new(now, index, 1)).collect(),
            reports: Vec::new(),
            drills: 0,
        }
    }

    /// Returns a random number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        u64::arbitrary(&mut self.generator) % bound
    }

    fn run(mut self) -> DrilledSession {
        for _ in 0..STEPS {
            self.now = self.now + Duration::from_millis(self.below(300));
            self.disturb();
            let index = self.below(PROCESSES as u64) as usize;
            if self.processes[index].away_until <= self.now {
                self.step(index);
            }
        }
        self.reports.sort_by_key(|report| report.at);
        self
    }

    fn disturb(&mut self) {
        let index = self.below(PROCESSES as u64) as usize;
        match self.below(60) {
            0 => {
                let span = Duration::from_millis(self.below(15_000));
                self.processes[index].away_until = self.now + span;
            }
            1 if self.below(3) == 0 => {
                let incarnation = self.processes[index].id.incarnation + 1;
                self.processes[index] = DrilledProcess::new(self.now, index, incarnation);
            }
            2 | 3 => {
                // Several drills in a row lose more than one of the copies would.
                for _ in 0..1 + self.below(4) / 2 {
                    let lost = self.below(5) as usize;
                    self.log.drill(lost);
                    self.drills += 1;
                }
            }
            4..=6 if !self.log.late.is_empty() => {
                let (expected, record) = self.log.late.remove(0);
                self.log.append(expected, &record);
            }
            7..=9 if self.processes[index].away_until <= self.now => {
                let record = self.processes[index].duty.release();
                if let Some(record) = record {
                    self.append(index, record);
                }
            }
            _ => {}
        }
    }

    /// Lets a process read the log, close windows, renew the duty, and report.
    fn step(&mut self, index: usize) {
        if self.below(6) > 0 {
            self.read(index);
            if self.below(8) > 0 {
                self.close(index);
            }
        }
        if self.below(8) > 0 {
            self.report(index);
        }
    }

    fn current_window(&self) -> u64 {
        self.now.as_micros() / 1_000 / WINDOW_MS
    }

    fn seen_era(&self) -> u64 {
        if self.variant == Variant::IgnoresEra { 0 } else { self.log.era }
    }

    fn read(&mut self, index: usize) {
        let (now, era, current) = (self.now, self.seen_era(), self.current_window());
        let end = self.log.records.len() as u64;
        let newest = self.log.records.last().cloned();
        let duty = &mut self.processes[index].duty;
        duty.enter_era(now, era, current);
        if let Some(mut record) = newest {
            if self.variant == Variant::TrustsOldRecords {
                // What its fencing number was stays the same.
                record.fencing = record
                    .fencing
                    .or(Some(LogPosition { era: record.era, offset: end - 1 }.fencing()));
                record.era = era;
            }
            duty.read(now, LogPosition { era, offset: end - 1 }, record);
        }
        duty.skip_to(now, LogPosition { era, offset: end });
    }

    fn close(&mut self, index: usize) {
        let (now, current) = (self.now, self.current_window());
        let oldest = current - DUE.as_millis() as u64 / WINDOW_MS;
        let duty = &self.processes[index].duty;
        if !duty.may_close(now) {
            return;
        }
        let first = duty.last_closed().map_or(current - 1, |last| last + 1);
        // Counts differ from append to append, so a window that is closed twice is seen.
        let windows: Vec<ClosedWindow> =
            (first..current).map(|window| self.closed(window)).collect();
        let duty = &self.processes[index].duty;
        if windows.is_empty()
            && !duty.must_repeat()
            && !duty.needs_renewal(now, REPORT_TIME, oldest)
        {
            return;
        }
        let record = duty.record(windows);
        self.append(index, record);
    }

    fn closed(&mut self, window: u64) -> ClosedWindow {
        let count = u64::arbitrary(&mut self.generator);
        ClosedWindow { window, counts: BTreeMap::from([("team/a".into(), count)]) }
    }

    fn append(&mut self, index: usize, mut record: DutyRecord) {
        let now = self.now;
        let expected = self.processes[index].duty.end().offset as usize;
        if self.variant == Variant::NumbersByOffset && record.fencing.is_none() {
            record.fencing = Some(LogPosition { era: 0, offset: expected as u64 }.fencing());
        }
        match self.below(10) {
            0 => self.log.late.push((expected, record)),
            // It is executed, but its answer is lost.
            1 => {
                self.log.append(expected, &record);
            }
            _ => {
                if self.log.append(expected, &record) {
                    let position = LogPosition { era: self.seen_era(), offset: expected as u64 };
                    self.processes[index].duty.appended(now, now, position, record);
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        let oldest = self.current_window() - DUE.as_millis() as u64 / WINDOW_MS;
        let mut now = self.now;
        while let Some(report) = self.processes[index].duty.next_report(now, REPORT_TIME, oldest) {
            let transit = Duration::from_millis(self.below(REPORT_TIME.as_millis() as u64));
            now = now + transit;
            let sender = self.processes[index].id.clone();
            let (fencing, closed) = (report.fencing.0, report.closed);
            self.processes[index].duty.note_reported(closed.window);
            self.reports.push(ReceivedReport { at: now, sender, fencing, closed });
        }
    }

    /// Returns the first violation of the rules for holders, as the receiver sees it.
    fn violation(&self) -> Option<String> {
        let mut figures: BTreeMap<u64, &ClosedWindow> = BTreeMap::new();
        let mut owners: BTreeMap<u64, &ProcessId> = BTreeMap::new();
        let mut turns: Vec<&ReceivedReport> = Vec::new();
        let mut highest = 0;
        for report in &self.reports {
            let known = figures.entry(report.closed.window).or_insert(&report.closed);
            if **known != report.closed {
                return Some(format!("window {} has two figures", report.closed.window));
            }
            if report.fencing < highest {
                return Some(format!("fencing number {} came after {highest}", report.fencing));
            }
            highest = report.fencing;
            if **owners.entry(report.fencing).or_insert(&report.sender) != report.sender {
                return Some(format!("fencing number {} was sent by two", report.fencing));
            }
            if turns.last().is_some_and(|last| last.sender == report.sender) {
                turns.pop();
            }
            turns.push(report);
            if let [.., first, _, last] = turns[..]
                && first.sender == last.sender
                && last.at.since(first.at) < LEASE
            {
                return Some("holders alternate within a lease".to_owned());
            }
        }
        None
    }
}

/// What came of the sessions of one variant.
#[derive(Debug, Default)]
struct SessionCount {
    reports: usize,
    holders: usize,
    drills: usize,
    /// Seeds of sessions with a violation, and what it was.
    violations: Vec<(u64, String)>,
}

fn play(variant: Variant) -> SessionCount {
    let mut count = SessionCount::default();
    for seed in 0..SESSIONS {
        let session = DrilledSession::new(seed, variant).run();
        count.reports += session.reports.len();
        let mut numbers: Vec<u64> = session.reports.iter().map(|report| report.fencing).collect();
        numbers.dedup();
        count.holders += numbers.len();
        count.drills += session.drills;
        count.violations.extend(session.violation().map(|violation| (seed, violation)));
    }
    count
}

/// Guards against a holder that takes the duty back under an older number once the log has lost the
/// record of its successor.
#[test]
fn fencing_numbers_never_fall_over_drills_in_a_row() {
    let count = play(Variant::Sound);
    println!("{} reports, {} holders, {} drills", count.reports, count.holders, count.drills);
    let first: Vec<&(u64, String)> = count.violations.iter().take(10).collect();
    assert!(first.is_empty(), "{} sessions: {first:#?}", count.violations.len());
    assert!(count.reports > 20_000 && count.holders > 2_000, "{count:?}");
}

/// Guards against sessions in which nothing would be found.
#[test]
fn the_sessions_detect_each_broken_rule() {
    for variant in [Variant::TrustsOldRecords, Variant::IgnoresEra, Variant::NumbersByOffset] {
        let count = play(variant);
        println!("{variant:?}: {} sessions", count.violations.len());
        assert!(count.violations.len() >= 5, "{variant:?}: {:?}", count.violations);
        let falls = count.violations.iter().filter(|(_, what)| what.contains("came after"));
        assert!(falls.count() >= 2, "{variant:?}: {:?}", count.violations);
    }
}
