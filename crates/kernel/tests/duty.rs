//! The usage duty: sessions of several processes over a log with lost and late answers.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    duty::{
        ACT_SPAN, ClosedWindow, DutyHolder, DutyRecord, LATEST_CLOSE, RELEASED_SPAN, TAKEOVER_SPAN,
        UsageShare, UsageTally, WindowBook,
    },
    ids::ProcessId,
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const WINDOW_MS: u64 = 5_000;
const REPORT_TIME: Duration = Duration::from_millis(1_000);

fn process(name: &str) -> ProcessId {
    ProcessId { name: name.into(), incarnation: 1 }
}

fn closed(window: u64, count: u64) -> ClosedWindow {
    ClosedWindow { window, counts: BTreeMap::from([("team/a".into(), count)]) }
}

/// A log that appends only where the writer expects its end, and keeps its newest record alone.
#[derive(Default)]
struct NaiveLog {
    end: u64,
    newest: Option<(u64, DutyRecord)>,
}

impl NaiveLog {
    fn append(&mut self, expected: u64, record: DutyRecord) -> Option<u64> {
        if expected != self.end {
            return None;
        }
        self.newest = Some((self.end, record));
        self.end += 1;
        Some(self.end - 1)
    }

    fn read_by(&self, now: TimePoint, holder: &mut DutyHolder) {
        if let Some((offset, record)) = self.newest.clone() {
            holder.read(now, offset, record);
        }
        holder.skip_to(now, self.end);
    }
}

#[test]
fn no_window_gets_two_figures_and_reports_of_two_holders_never_interleave() {
    for seed in 0..400 {
        session(seed);
    }
}

/// Plays processes that read, append, lose answers, report late, freeze and restart.
fn session(seed: u64) {
    let mut generator = Gen::from_size_and_seed(30, seed);
    let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
    let mut now = TimePoint::from_millis(1_000);
    let mut log = NaiveLog::default();
    let names = ["a", "b", "c"];
    let mut holders: Vec<DutyHolder> =
        names.iter().map(|name| DutyHolder::new(now, process(name))).collect();
    // Appends whose answer was lost and that may still be carried out.
    let mut late: Vec<(u64, DutyRecord)> = Vec::new();
    // Reports in the order of their arrival: when, by whom, fencing number, window and counts.
    let mut reports: Vec<(TimePoint, usize, u64, ClosedWindow)> = Vec::new();
    for _ in 0..400 {
        now = now + Duration::from_millis(below(1_200));
        let index = below(3) as usize;
        match below(8) {
            0 => {
                holders[index] =
                    DutyHolder::new(now, process(&format!("{}{}", names[index], now.as_micros())))
            }
            1 if !late.is_empty() => {
                let (expected, record) = late.remove(0);
                log.append(expected, record);
            }
            2 if below(4) == 0 => {
                let end = holders[index].end();
                if let Some(record) = holders[index].release()
                    && let Some(offset) = log.append(end, record.clone())
                {
                    holders[index].appended(now, now, offset, record);
                }
            }
            2..=4 => {
                log.read_by(now, &mut holders[index]);
                append(&mut log, &mut late, &mut holders[index], now, &mut below);
            }
            _ => {
                if let Some(report) = holders[index].next_report(now, REPORT_TIME, 0) {
                    let arrives = now + Duration::from_millis(below(1_000));
                    holders[index].note_reported(report.closed.window);
                    reports.push((arrives, index, report.fencing.0, report.closed));
                }
            }
        }
    }
    check_reports(seed, &mut reports);
}

fn append(
    log: &mut NaiveLog,
    late: &mut Vec<(u64, DutyRecord)>,
    holder: &mut DutyHolder,
    now: TimePoint,
    below: &mut impl FnMut(u64) -> u64,
) {
    if !holder.may_close(now) {
        return;
    }
    let window = holder.last_closed().map_or(0, |last| last + 1);
    let record = holder.record(vec![closed(window, below(50))]);
    match below(4) {
        0 => late.push((holder.end(), record)),
        1 => {
            // Carried out, but the answer is lost.
            log.append(holder.end(), record);
        }
        _ => {
            if let Some(offset) = log.append(holder.end(), record.clone()) {
                holder.appended(now, now, offset, record);
            }
        }
    }
}

fn check_reports(seed: u64, reports: &mut [(TimePoint, usize, u64, ClosedWindow)]) {
    let mut figures: BTreeMap<u64, &ClosedWindow> = BTreeMap::new();
    reports.sort_by_key(|report| report.0);
    let mut fencing = 0;
    for (_, _, number, closed) in reports.iter() {
        let first = figures.entry(closed.window).or_insert(closed);
        assert_eq!(*first, closed, "seed {seed}: a window has two figures");
        assert!(*number >= fencing, "seed {seed}: a fencing number went back");
        fencing = *number;
    }
}

#[test]
fn a_window_closed_by_nobody_else_is_reported_within_the_time_to_act() {
    let start = TimePoint::from_millis(1_000);
    let mut holder = DutyHolder::new(start, process("a"));
    let record = holder.record(vec![closed(7, 3)]);
    holder.appended(start, start, 0, record);
    let report = holder.next_report(start, REPORT_TIME, 0).unwrap();
    assert_eq!((report.fencing.0, report.closed), (0, closed(7, 3)));
    let late = start + ACT_SPAN - REPORT_TIME;
    assert_eq!(holder.next_report(late, REPORT_TIME, 0), None);
    assert!(holder.needs_renewal(late, REPORT_TIME, 0));
}

#[test]
fn another_process_waits_for_silence_before_it_takes_over() {
    let start = TimePoint::from_millis(1_000);
    let mut other = DutyHolder::new(start, process("b"));
    let first = DutyHolder::new(start, process("a")).record(vec![closed(7, 3)]);
    other.read(start, 0, first);
    assert!(!other.may_close(start + TAKEOVER_SPAN - Duration::from_millis(1)));
    assert!(other.may_close(start + TAKEOVER_SPAN));
    let record = other.record(vec![closed(8, 4)]);
    assert_eq!(record.windows, [closed(7, 3), closed(8, 4)]);
    assert!(TAKEOVER_SPAN > ACT_SPAN + 2 * REPORT_TIME);
}

#[test]
fn a_duty_that_was_given_up_is_taken_over_sooner_but_not_within_a_lease() {
    let start = TimePoint::from_millis(1_000);
    let mut first = DutyHolder::new(start, process("a"));
    let record = first.record(vec![closed(7, 3)]);
    first.appended(start, start, 0, record);
    let release = first.release().unwrap();
    first.appended(start, start, 1, release.clone());
    assert_eq!(first.next_report(start, REPORT_TIME, 0), None);
    assert_eq!(first.release(), None);
    let mut other = DutyHolder::new(start, process("b"));
    other.read(start, 1, release);
    assert!(!other.may_close(start + RELEASED_SPAN - Duration::from_millis(1)));
    assert!(other.may_close(start + RELEASED_SPAN));
    assert_eq!(other.record(Vec::new()).windows, [closed(7, 3)]);
    assert!(RELEASED_SPAN > ACT_SPAN && RELEASED_SPAN < TAKEOVER_SPAN);
}

fn share(name: &str, until_ms: u64, counts: &[(u64, u64)]) -> UsageShare {
    let count = |&(window, count)| (window, BTreeMap::from([("team/a".into(), count)]));
    UsageShare { process: process(name), until_ms, counts: counts.iter().map(count).collect() }
}

#[test]
fn a_window_closes_when_all_have_shared_past_its_end() {
    let mut book = WindowBook::new(WINDOW_MS);
    book.take(share("a", 15_200, &[(2, 3)]));
    book.take(share("b", 14_900, &[(2, 4)]));
    assert_eq!(book.closable(15_400, Some(1)), []);
    book.take(share("b", 15_300, &[(2, 5)]));
    assert_eq!(book.closable(15_400, Some(1)), [closed(2, 8)]);
    // A share that arrives late and is older changes nothing.
    book.take(share("b", 14_000, &[(2, 1)]));
    assert_eq!(book.closable(15_400, Some(1)), [closed(2, 8)]);
}

#[test]
fn a_window_closes_without_a_process_that_fell_silent() {
    let mut book = WindowBook::new(WINDOW_MS);
    book.take(share("a", 15_200, &[(2, 3)]));
    book.take(share("b", 14_900, &[(2, 4)]));
    let latest = 15_000 + LATEST_CLOSE.as_millis() as u64;
    assert_eq!(book.closable(latest - 1, Some(1)), []);
    assert_eq!(book.closable(latest, Some(1)), [closed(2, 7)]);
}

#[test]
fn both_runs_of_a_restarted_process_count() {
    let mut book = WindowBook::new(WINDOW_MS);
    book.take(share("a", 12_000, &[(2, 3)]));
    let mut second = share("a", 15_200, &[(2, 4)]);
    second.process.incarnation = 2;
    book.take(second);
    assert_eq!(book.closable(15_400, Some(1)), [closed(2, 7)]);
}

#[test]
fn a_tally_matches_a_naive_count() {
    for seed in 0..50 {
        let mut generator = Gen::from_size_and_seed(30, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let mut tally = UsageTally::new(process("a"), WINDOW_MS);
        let mut naive: BTreeMap<(u64, Box<str>), u64> = BTreeMap::new();
        let mut wall_ms = 1_000_000;
        for _ in 0..200 {
            wall_ms += below(300);
            let account: Box<str> = format!("team/{}", below(4)).into();
            tally.note_start(wall_ms, &account);
            *naive.entry((wall_ms / WINDOW_MS, account)).or_default() += 1;
        }
        let share = tally.share(wall_ms);
        for ((window, account), count) in naive {
            if window + 3 >= wall_ms / WINDOW_MS {
                assert_eq!(share.counts[&window][&account], count, "seed {seed}");
            }
        }
    }
}
