//! Tests of the usage duty with several processes and a log with lost and late answers.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    duty::{
        ClosedWindow, DutyHolder, DutyLimits, DutyRecord, DutySighting, UsageCounter, UsageShare,
        WindowAggregator,
    },
    ids::ProcessId,
    log_position::LogPosition,
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const WINDOW_MS: u64 = 5_000;
const REPORT_TIME: Duration = Duration::from_millis(1_000);
const DUE: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(3);

fn limits() -> DutyLimits {
    DutyLimits::new(LEASE, DUE)
}

fn process(name: &str) -> ProcessId {
    ProcessId { name: name.into(), incarnation: 1 }
}

fn closed(window: u64, count: u64) -> ClosedWindow {
    ClosedWindow { window, counts: BTreeMap::from([("team/a".into(), count)]) }
}

fn at(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

/// A log that accepts an append only at the expected end and keeps only its newest record.
#[derive(Default)]
struct NaiveLog {
    end: u64,
    newest: Option<(LogPosition, DutyRecord)>,
}

impl NaiveLog {
    fn append(&mut self, expected: LogPosition, record: DutyRecord) -> Option<LogPosition> {
        if expected.offset != self.end {
            return None;
        }
        let position = at(self.end);
        self.newest = Some((position, record));
        self.end += 1;
        Some(position)
    }

    fn read_by(&self, now: TimePoint, holder: &mut DutyHolder) {
        if let Some((offset, record)) = self.newest.clone() {
            holder.read(now, offset, record);
        }
        holder.skip_to(now, at(self.end));
    }
}

/// Guards against two processes that report different counts of one window, and against reports of
/// two holders that alternate. Both could come about if appends are lost or late while a process
/// still reports.
#[test]
fn windows_have_one_count_and_holders_do_not_alternate_in_random_sessions() {
    for lease in [3, 5, 12].map(Duration::from_secs) {
        for seed in 0..400 {
            let mut reports = session(seed, DutyLimits::new(lease, DUE));
            check_reports(seed, &mut reports);
            assert!(!alternate(&reports, lease), "seed {seed}: holders alternate within {lease:?}");
        }
    }
}

/// Guards against reports of two holders that alternate within a lease because each releases the
/// duty right after its report. The last case checks that limits for a shorter lease fail.
#[test]
fn repeated_releases_do_not_alternate_holders_within_a_lease() {
    // Required lease and lease for which the limits are built, both in seconds, and whether the
    // reports of two holders alternate within the required lease.
    for (required_lease, limits_lease, alternates) in
        [(3, 3, false), (12, 12, false), (12, 3, true)]
    {
        let limits = DutyLimits::new(Duration::from_secs(limits_lease), DUE);
        let reports = reports_with_repeated_releases(limits);
        assert_eq!(
            alternate(&reports, Duration::from_secs(required_lease)),
            alternates,
            "required {required_lease} s, limits for {limits_lease} s"
        );
    }
}

/// Lets two processes report and release the duty in turn, each as soon as the limits allow.
fn reports_with_repeated_releases(limits: DutyLimits) -> Vec<SentReport> {
    let mut now = TimePoint::from_millis(1_000);
    let mut log = NaiveLog::default();
    let mut holders = ["a", "b"].map(|name| DutyHolder::new(now, process(name), limits));
    let mut reports = Vec::new();
    for window in 0..3 {
        let index = window as usize % 2;
        holders.iter_mut().for_each(|holder| log.read_by(now, holder));
        while !holders[index].may_close(now) {
            now = now + Duration::from_millis(100);
        }
        let record = holders[index].record(vec![closed(window, 1)]);
        let offset =
            log.append(holders[index].end(), record.clone()).expect("no concurrent append");
        holders[index].appended(now, now, offset, record);
        let report = holders[index].next_report(now, REPORT_TIME, window).expect("a report is due");
        reports.push((now, index, report.fencing.0, report.closed));
        let release = holders[index].release().expect("the holder can release the duty");
        let offset =
            log.append(holders[index].end(), release.clone()).expect("no concurrent append");
        holders[index].appended(now, now, offset, release);
    }
    reports
}

/// Reports whether reports of two processes A and B arrive in the order A, B, A within `lease`.
fn alternate(reports: &[SentReport], lease: Duration) -> bool {
    let mut turns: Vec<&SentReport> = Vec::new();
    let mut sorted: Vec<&SentReport> = reports.iter().collect();
    sorted.sort_by_key(|report| report.0);
    for report in sorted {
        match turns.last() {
            Some(last) if last.1 == report.1 => {
                *turns.last_mut().expect("there is a last turn") = report
            }
            Some(_) if turns.len() >= 2 => {
                let before = turns[turns.len() - 2];
                if before.1 == report.1 && report.0.since(before.0) < lease {
                    return true;
                }
                turns.push(report);
            }
            _ => turns.push(report),
        }
    }
    false
}

/// Arrival time, process index, fencing number and figures of a report.
type SentReport = (TimePoint, usize, u64, ClosedWindow);

/// Simulates processes that read, append, lose answers, report late, stall and restart, and returns
/// their reports.
fn session(seed: u64, limits: DutyLimits) -> Vec<SentReport> {
    let mut generator = Gen::from_size_and_seed(30, seed);
    let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
    let mut now = TimePoint::from_millis(1_000);
    let mut log = NaiveLog::default();
    let names = ["a", "b", "c"];
    let mut holders: Vec<DutyHolder> =
        names.iter().map(|name| DutyHolder::new(now, process(name), limits)).collect();
    // Appends whose answer was lost and that may still be executed.
    let mut late: Vec<(LogPosition, DutyRecord)> = Vec::new();
    let mut reports = Vec::new();
    // When the processes that tell each other first read the newest record.
    let mut seen: Option<DutySighting> = None;
    for _ in 0..400 {
        now = now + Duration::from_millis(below(1_200));
        let index = below(3) as usize;
        match below(8) {
            0 => {
                let name = format!("{}{}", names[index], now.as_micros());
                holders[index] = DutyHolder::new(now, process(&name), limits);
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
                if below(2) == 0 {
                    seen = Some(tell(now, seen, &mut holders[index]));
                }
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
    reports
}

/// Lets `holder`, which has just read the log, tell the others what it knows and hear what they know, in
/// a message.
fn tell(now: TimePoint, seen: Option<DutySighting>, holder: &mut DutyHolder) -> DutySighting {
    let own = DutySighting::new(holder.end(), holder.known_since());
    let heard = seen.map(|seen| DutySighting::from_row(now, seen.row(now)));
    let merged = heard.map_or(own, |heard| heard.merged(own));
    holder.note_known_since(merged.end(), merged.at());
    merged
}

/// Lets `holder` close its next window, with a random outcome of the append.
fn append(
    log: &mut NaiveLog,
    late: &mut Vec<(LogPosition, DutyRecord)>,
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
            // The append is executed, but its answer is lost.
            log.append(holder.end(), record);
        }
        _ => {
            if let Some(offset) = log.append(holder.end(), record.clone()) {
                holder.appended(now, now, offset, record);
            }
        }
    }
}

/// Checks that each window has one count and that fencing numbers never decrease.
fn check_reports(seed: u64, reports: &mut [SentReport]) {
    let mut figures: BTreeMap<u64, &ClosedWindow> = BTreeMap::new();
    reports.sort_by_key(|report| report.0);
    let mut fencing = 0;
    for (_, _, number, closed) in reports.iter() {
        let first = figures.entry(closed.window).or_insert(closed);
        assert_eq!(*first, closed, "seed {seed}: a window was reported with different counts");
        assert!(*number >= fencing, "seed {seed}: a fencing number decreased");
        fencing = *number;
    }
}

#[test]
fn the_holder_reports_only_within_the_report_span() {
    let start = TimePoint::from_millis(1_000);
    let mut holder = DutyHolder::new(start, process("a"), limits());
    let record = holder.record(vec![closed(7, 3)]);
    holder.appended(start, start, at(0), record);
    let report = holder.next_report(start, REPORT_TIME, 0).unwrap();
    assert_eq!((report.fencing.0, report.closed), (0, closed(7, 3)));
    let late = start + limits().report_span - REPORT_TIME;
    assert_eq!(holder.next_report(late, REPORT_TIME, 0), None);
    assert!(holder.needs_renewal(late, REPORT_TIME, 0));
}

#[test]
fn another_process_takes_over_only_after_the_takeover_span() {
    let start = TimePoint::from_millis(1_000);
    let mut other = DutyHolder::new(start, process("b"), limits());
    let first = DutyHolder::new(start, process("a"), limits()).record(vec![closed(7, 3)]);
    other.read(start, at(0), first);
    assert!(!other.may_close(start + limits().takeover_span - Duration::from_millis(1)));
    assert!(other.may_close(start + limits().takeover_span));
    let record = other.record(vec![closed(8, 4)]);
    assert_eq!(record.windows, [closed(7, 3), closed(8, 4)]);
    assert!(limits().takeover_span > limits().report_span + 2 * REPORT_TIME);
}

/// Guards against reports that are late because the only entry that reaches the store has not followed
/// the duty so far.
#[test]
fn a_process_that_hears_when_the_newest_record_was_read_takes_over_as_early_as_its_reader() {
    let start = TimePoint::from_millis(1_000);
    let first = DutyHolder::new(start, process("a"), limits()).record(vec![closed(7, 3)]);
    let read_by = |name: &str, now: TimePoint| {
        let mut reader = DutyHolder::new(start, process(name), limits());
        reader.read(now, at(0), first.clone());
        reader
    };
    let follower = read_by("b", start);
    let later = start + Duration::from_secs(6);
    let mut joined = read_by("c", later);
    let seen = DutySighting::new(follower.end(), follower.known_since());
    let heard = DutySighting::from_row(later, seen.row(later));
    joined.note_known_since(heard.end(), heard.at());
    assert!(!joined.may_close(start + limits().takeover_span - Duration::from_millis(1)));
    assert!(joined.may_close(start + limits().takeover_span));
    // A word on an older record says nothing of the newest one.
    let mut newest = DutyHolder::new(start, process("d"), limits());
    newest.read(later, at(1), first.clone());
    newest.note_known_since(heard.end(), heard.at());
    assert!(!newest.may_close(start + limits().takeover_span));
}

/// Guards against a takeover within a lease, because a record counts as known for as long as the one
/// before it.
#[test]
fn a_record_is_not_known_for_as_long_as_the_one_before_it() {
    let (early, late) = (TimePoint::from_millis(1_000), TimePoint::from_millis(9_000));
    let (older, newer) = (DutySighting::new(at(4), early), DutySighting::new(at(5), late));
    assert_eq!(newer.merged(older), newer);
    assert_eq!(older.merged(newer), newer);
    let sooner = DutySighting::new(at(5), late - Duration::from_secs(1));
    assert_eq!(newer.merged(sooner), sooner);
    assert_eq!(sooner.merged(newer), sooner);
}

#[test]
fn a_released_duty_is_taken_over_sooner_but_not_within_a_lease() {
    let start = TimePoint::from_millis(1_000);
    let mut first = DutyHolder::new(start, process("a"), limits());
    let record = first.record(vec![closed(7, 3)]);
    first.appended(start, start, at(0), record);
    let release = first.release().unwrap();
    first.appended(start, start, at(1), release.clone());
    assert_eq!(first.next_report(start, REPORT_TIME, 0), None);
    assert_eq!(first.release(), None);
    let mut other = DutyHolder::new(start, process("b"), limits());
    other.read(start, at(1), release);
    assert!(!other.may_close(start + limits().released_span - Duration::from_millis(1)));
    assert!(other.may_close(start + limits().released_span));
    assert_eq!(other.record(Vec::new()).windows, [closed(7, 3)]);
    let DutyLimits { report_span, released_span, takeover_span, .. } = limits();
    assert!(released_span > report_span && released_span < takeover_span);
}

fn share(name: &str, until_ms: u64, counts: &[(u64, u64)]) -> UsageShare {
    let count = |&(window, count)| (window, BTreeMap::from([("team/a".into(), count)]));
    UsageShare { process: process(name), until_ms, counts: counts.iter().map(count).collect() }
}

#[test]
fn a_window_closes_when_all_shares_extend_past_its_end() {
    let mut aggregator = WindowAggregator::new(WINDOW_MS, limits());
    aggregator.take(share("a", 15_200, &[(2, 3)]));
    aggregator.take(share("b", 14_900, &[(2, 4)]));
    assert_eq!(aggregator.closable(15_400, Some(1)), []);
    aggregator.take(share("b", 15_300, &[(2, 5)]));
    assert_eq!(aggregator.closable(15_400, Some(1)), [closed(2, 8)]);
    // An older share that arrives late is ignored.
    aggregator.take(share("b", 14_000, &[(2, 1)]));
    assert_eq!(aggregator.closable(15_400, Some(1)), [closed(2, 8)]);
}

#[test]
fn a_window_closes_without_a_silent_process_after_the_latest_close() {
    let mut aggregator = WindowAggregator::new(WINDOW_MS, limits());
    aggregator.take(share("a", 15_200, &[(2, 3)]));
    aggregator.take(share("b", 14_900, &[(2, 4)]));
    let latest = 15_000 + limits().latest_close.as_millis() as u64;
    assert_eq!(aggregator.closable(latest - 1, Some(1)), []);
    assert_eq!(aggregator.closable(latest, Some(1)), [closed(2, 7)]);
}

#[test]
fn shares_of_both_incarnations_of_a_process_count() {
    let mut aggregator = WindowAggregator::new(WINDOW_MS, limits());
    aggregator.take(share("a", 12_000, &[(2, 3)]));
    let mut second = share("a", 15_200, &[(2, 4)]);
    second.process.incarnation = 2;
    aggregator.take(second);
    assert_eq!(aggregator.closable(15_400, Some(1)), [closed(2, 7)]);
}

#[test]
fn the_usage_counter_matches_a_naive_count() {
    for seed in 0..50 {
        let mut generator = Gen::from_size_and_seed(30, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let mut counter = UsageCounter::new(process("a"), WINDOW_MS);
        let mut naive: BTreeMap<(u64, Box<str>), u64> = BTreeMap::new();
        let mut wall_ms = 1_000_000;
        for _ in 0..200 {
            wall_ms += below(300);
            let account: Box<str> = format!("team/{}", below(4)).into();
            counter.note_start(wall_ms, &account);
            *naive.entry((wall_ms / WINDOW_MS, account)).or_default() += 1;
        }
        let share = counter.share(wall_ms);
        for ((window, account), count) in naive {
            if window + 3 >= wall_ms / WINDOW_MS {
                assert_eq!(share.counts[&window][&account], count, "seed {seed}");
            }
        }
    }
}

#[test]
fn limits_follow_the_required_lease_and_due_time() {
    // Lease and due time in seconds; takeover span, released span and latest close in milliseconds.
    let cases = [
        (3, 10, 7_500, 3_500, 8_000),
        (1, 10, 7_500, 3_500, 8_000),
        (8, 20, 12_500, 8_500, 18_000),
        (3, 4, 7_500, 3_500, 2_000),
    ];
    for (lease, due, takeover, released, close) in cases {
        let limits = DutyLimits::new(Duration::from_secs(lease), Duration::from_secs(due));
        assert_eq!(limits.takeover_span, Duration::from_millis(takeover));
        assert_eq!(limits.released_span, Duration::from_millis(released));
        assert_eq!(limits.latest_close, Duration::from_millis(close));
        // A look every half second and a report of 0.9 s fit before the report is due.
        let needed = Duration::from_millis(500 + 900);
        assert!(due < 4 || limits.latest_close + needed < Duration::from_secs(due));
    }
}
