//! Tests of the messages on limits between a few entries.

use std::{net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::HubChoice,
    ids::ProcessId,
    send_limit::{EndpointAnswer, LimitEvidence, LimitScope, LimitTable, LimitWord},
    time::TimePoint,
};

const START: TimePoint = TimePoint::from_millis(10_000);
const PERIOD: Duration = Duration::from_millis(150);
const WALL_MS: u64 = 1_000_000;
const STARTED_MS: Option<u64> = Some(1_000);

fn at(millis: u64) -> TimePoint {
    START + Duration::from_millis(millis)
}

fn scope() -> LimitScope {
    LimitScope::endpoint("i-0")
}

fn address(entry: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry], 7340))
}

/// An entry with its number.
struct TestEntry {
    number: u8,
    table: LimitTable,
}

impl TestEntry {
    fn new(number: u8) -> TestEntry {
        let mut table = LimitTable::new(u64::from(number) + 1);
        table.set_named_entries(3);
        TestEntry { number, table }
    }

    fn process(&self) -> ProcessId {
        ProcessId { name: format!("entry-{}", self.number).into(), incarnation: 1 }
    }

    /// Lets the endpoint answer a request that was sent 5 ms before.
    fn answer(&mut self, now: TimePoint, limit: Option<f64>) {
        let answer = EndpointAnswer {
            scope: scope(),
            started_ms: STARTED_MS,
            sent_at: now - Duration::from_millis(5),
            word: limit.map(|limit| LimitWord::new(Some(limit))),
        };
        self.table.note_answer(now, WALL_MS, answer);
    }

    fn is_limited(&self) -> bool {
        self.table.is_limited(scope(), STARTED_MS)
    }

    /// Steps as the root hub.
    fn lead(&mut self, now: TimePoint) {
        self.table.step(now, HubChoice::Own, PERIOD);
    }

    /// Exchanges messages with `hub`.
    fn report_to(&mut self, now: TimePoint, hub: &mut TestEntry) {
        let choice = HubChoice::Peer(address(hub.number));
        self.table.step(now, choice, PERIOD);
        let (report, knows) = (self.table.report(now), self.table.knows());
        let entries = self.table.group_entries(now);
        hub.table.note_group(now, &self.process(), entries, Duration::ZERO);
        let process = self.process();
        let answer =
            hub.table.answer(now, WALL_MS, &process, report.as_ref(), knows, Duration::ZERO);
        let told = (hub.table.fleet(now), hub.table.knows());
        self.table.apply_answer(now, WALL_MS, choice, now, answer.as_ref(), told);
    }
}

/// Lets two entries report to the first one for some time.
fn run(entries: &mut [TestEntry; 3], from: u64, until: u64) {
    for millis in (from..until).step_by(PERIOD.as_millis() as usize) {
        let [root, members @ ..] = entries;
        root.lead(at(millis));
        members.iter_mut().for_each(|member| member.report_to(at(millis), root));
    }
}

/// A root hub that replaces another one would otherwise not know of the limit.
#[test]
fn an_entry_tells_its_next_hub_of_limits_that_it_learned_from_the_last_one() {
    let mut entries = [0, 1, 2].map(TestEntry::new);
    entries[1].answer(at(0), Some(1.0));
    run(&mut entries, 0, 1_000);
    assert!(entries[0].is_limited() && entries[2].is_limited());
    let [_, _, mut member] = entries;
    let mut next = TestEntry::new(3);
    next.lead(at(1_000));
    member.report_to(at(1_000), &mut next);
    assert!(next.is_limited());
    assert!(next.table.knows());
    let changes = next.table.take_changes();
    assert_eq!((changes[0].limit, changes[0].evidence), (Some(1.0), LimitEvidence::Peer));
}

/// One entry's answer may be late; entries that believed it each for itself would all send at once.
#[test]
fn the_root_hub_alone_ends_a_limit() {
    let mut entries = [0, 1, 2].map(TestEntry::new);
    entries[1].answer(at(0), Some(1.0));
    run(&mut entries, 0, 3_000);
    // The other member got an answer with the limit that the first one has not heard of.
    entries[2].answer(at(2_950), Some(1.0));
    entries[1].answer(at(3_000), None);
    assert!(entries[1].is_limited());
    run(&mut entries, 3_000, 3_600);
    assert!(entries.iter().all(TestEntry::is_limited));
    entries[1].answer(at(4_500), None);
    run(&mut entries, 4_500, 5_000);
    assert!(!entries.iter().any(TestEntry::is_limited));
}

/// Both members want more than there is; the one with urgent requests must get it, although the other
/// one asks first.
#[test]
fn an_urgent_want_of_another_entry_goes_first() {
    let mut entries = [0, 1, 2].map(TestEntry::new);
    entries[1].answer(at(0), Some(2.0));
    run(&mut entries, 0, 5_000);
    let (mut urgent, mut patient) = (0, 0);
    for millis in (5_000..25_000).step_by(50) {
        let now = at(millis);
        patient += u32::from(entries[1].table.take(now, scope(), 8).is_some());
        urgent += u32::from(entries[2].table.take(now, scope(), 0).is_some());
        if millis % 150 == 0 {
            run(&mut entries, millis, millis + 1);
        }
    }
    assert!((35..=50).contains(&(urgent + patient)), "{urgent} and {patient}");
    assert!(urgent > 4 * patient, "{urgent} and {patient}");
}

/// Another entry may have taken its place meanwhile.
#[test]
fn a_root_hub_that_was_suspended_mints_nothing_for_that_time() {
    let mut root = TestEntry::new(0);
    root.table.set_named_entries(1);
    root.answer(at(0), Some(10.0));
    (0..20).for_each(|step| root.lead(at(step * 150)));
    while root.table.take(at(2_850), scope(), 5).is_some() {}
    // The process runs again after 10 s, and sends before its next step.
    let sent = (0..40).filter(|_| root.table.take(at(12_850), scope(), 5).is_some()).count();
    assert_eq!(sent, 0);
    root.lead(at(12_851));
    let sent = (0..40).filter(|_| root.table.take(at(12_860), scope(), 5).is_some()).count();
    assert_eq!(sent, 0);
    (1..20).for_each(|step| root.lead(at(12_851 + step * 150)));
    assert!(root.table.take(at(15_800), scope(), 5).is_some());
}

/// A late copy of an answer must not give tickets again, nor take news back.
#[test]
fn an_answer_of_the_hub_that_comes_twice_changes_nothing() {
    let mut entries = [0, 1, 2].map(TestEntry::new);
    entries[1].answer(at(0), Some(20.0));
    run(&mut entries, 0, 4_000);
    let [mut root, mut member, _] = entries;
    let (now, choice) = (at(4_000), HubChoice::Peer(address(0)));
    (0..20).for_each(|_| {
        member.table.take(now, scope(), 5);
    });
    root.lead(now);
    member.table.step(now, choice, PERIOD);
    let report = member.table.report(now);
    let process = member.process();
    let answer =
        root.table.answer(now, WALL_MS, &process, report.as_ref(), true, Duration::ZERO).unwrap();
    assert!(!answer.grants.is_empty());
    let mut apply = || {
        member.table.apply_answer(now, WALL_MS, choice, now, Some(&answer), (3, true));
        member.table.held(now, scope())
    };
    assert_eq!(apply(), apply());
}
