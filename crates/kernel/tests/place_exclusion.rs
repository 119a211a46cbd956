//! Tests of the endpoints that asked in an answer to get no requests.

use std::time::Duration;

use pimentorock_kernel::{
    place::{
        EndpointNotice, ExclusionTable, MAX_REST, PlacedEndpoint, PlacedRequest, PlacementTable,
        UNREADABLE_REST,
    },
    reason::DecisionReason,
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const NAMES: [&str; 2] = ["i-1", "i-2"];

/// A notice as the naive version keeps it: all of them, for ever.
struct NaiveNotice {
    at: TimePoint,
    name: &'static str,
    /// Start of the run that was known.
    known_ms: Option<u64>,
    notice: EndpointNotice,
}

/// Reports whether any notice holds that the run may have given: the run was the known one, or had
/// started before the notice.
fn naive_excluded(
    notices: &[NaiveNotice],
    now: TimePoint,
    name: &str,
    started_ms: Option<u64>,
) -> bool {
    let given = |known: &&NaiveNotice| {
        let may_be_newer = known.known_ms.is_some() && started_ms.is_some();
        let is_earlier = started_ms <= Some(wall_ms(known.at));
        known.name == name && (known.known_ms == started_ms || (may_be_newer && is_earlier))
    };
    notices.iter().filter(given).any(|known| match known.notice {
        EndpointNotice::Leaving => true,
        EndpointNotice::Rest(span) => now < known.at + span.min(MAX_REST),
        EndpointNotice::RestUnreadable => now < known.at + UNREADABLE_REST,
    })
}

/// The wall clock of these tests.
fn wall_ms(at: TimePoint) -> u64 {
    10_000 + at.as_micros() / 1_000
}

/// Guards against notices that are forgotten, shortened by a later one, or applied to another run,
/// also when the store tells of a run later than its answers.
#[test]
fn exclusions_match_a_naive_list_of_all_notices() {
    for seed in 0..400 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let (mut table, mut notices) = (ExclusionTable::new(), Vec::new());
        let mut now = TimePoint::ZERO;
        // The runs that give the answers, and those that the store lists.
        let (mut runs, mut known) = ([None, None], [None, None]);
        for _ in 0..60 {
            now = now + Duration::from_millis(1 + below(900));
            let index = below(2) as usize;
            if below(8) == 0 {
                runs[index] = Some(wall_ms(now));
                now = now + Duration::from_millis(1);
            }
            if below(3) == 0 {
                known[index] = runs[index];
            }
            let notice = match below(10) {
                0 => Some(EndpointNotice::Leaving),
                1 => Some(EndpointNotice::RestUnreadable),
                2..5 => Some(EndpointNotice::Rest(Duration::from_millis(below(4_000)))),
                5 => Some(EndpointNotice::Rest(Duration::MAX)),
                _ => None,
            };
            // Endless notices would leave nothing to compare in most sessions.
            let is_endless = matches!(
                notice,
                Some(EndpointNotice::Leaving | EndpointNotice::Rest(Duration::MAX))
            );
            // A run that is not listed yet gets no request while the listed one is excluded.
            let is_reached =
                runs[index] == known[index] || table.until(NAMES[index], known[index]) <= now;
            if let Some(notice) = notice.filter(|_| is_reached && (!is_endless || below(4) == 0)) {
                table.note(now, wall_ms(now), NAMES[index], known[index], notice);
                if notice != EndpointNotice::Rest(Duration::ZERO) {
                    let known_ms = known[index];
                    notices.push(NaiveNotice { at: now, name: NAMES[index], known_ms, notice });
                }
            }
            for (name, run) in NAMES.iter().zip(runs) {
                let excluded = now < table.until(name, run);
                let expected = naive_excluded(&notices, now, name, run);
                assert_eq!(excluded, expected, "seed {seed}, {name} run {run:?} at {now:?}");
            }
        }
    }
}

/// Guards against a run that says that it leaves before the store has told of it, and is then taken
/// for one that was started since.
#[test]
fn a_run_that_says_it_leaves_before_the_store_lists_it_stays_out() {
    let request = PlacedRequest { service: "chat".into(), ..PlacedRequest::default() };
    let now = TimePoint::from_millis(1_000);
    let mut table = PlacementTable::new("a");
    table.put(endpoint("i-1", 7_000));
    table.note_notice(now, 9_500, "i-1", Some(7_000), EndpointNotice::Leaving);
    table.put(endpoint("i-1", 9_000));
    assert!(table.choose(now, &request, &[]).is_err());
    table.put(endpoint("i-1", 9_501));
    assert!(table.choose(now, &request, &[]).is_ok());
}

/// Guards against requests to a run that refused one which was placed before the run was listed.
#[test]
fn a_notice_on_a_request_placed_before_its_run_was_listed_keeps_requests_away() {
    let request = PlacedRequest { service: "chat".into(), ..PlacedRequest::default() };
    let now = TimePoint::from_millis(1_000);
    let mut table = PlacementTable::new("a");
    table.put(endpoint("i-1", 7_000));
    table.put(endpoint("i-1", 9_000));
    let rest = EndpointNotice::Rest(Duration::from_secs(30));
    table.note_notice(now, 9_500, "i-1", Some(7_000), rest);
    table.note_notice(now, 9_501, "i-1", Some(9_000), rest);
    let refused = table.choose(now, &request, &[]);
    assert_eq!(refused, Err(DecisionReason::EndpointsExcluded { millis: 30_000 }));
}

fn endpoint(name: &str, started_ms: u64) -> PlacedEndpoint {
    PlacedEndpoint {
        name: name.into(),
        service: "chat".into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 4,
        leaving: false,
        started_ms: Some(started_ms),
    }
}

/// Guards against an endpoint that is used again because its record was removed and written again,
/// and against callers that are told to return before any endpoint does.
#[test]
fn the_earliest_return_is_told_and_a_run_that_left_stays_out() {
    let request = PlacedRequest { service: "chat".into(), ..PlacedRequest::default() };
    let now = TimePoint::from_millis(1_000);
    let mut table = PlacementTable::new("a");
    table.put(endpoint("i-1", 7));
    table.put(endpoint("i-2", 7));
    let rest = |seconds| EndpointNotice::Rest(Duration::from_secs(seconds));
    assert!(table.note_notice(now, 10, "i-1", Some(7), rest(9)).is_some());
    assert!(table.note_notice(now, 10, "i-1", Some(7), rest(3)).is_none(), "it ends sooner");
    assert!(table.choose(now, &request, &[]).is_ok_and(|choice| &*choice.name == "i-2"));
    assert!(table.note_notice(now, 10, "i-2", Some(7), rest(5)).is_some());
    let refused = table.choose(now, &request, &[]);
    assert_eq!(refused, Err(DecisionReason::EndpointsExcluded { millis: 5_000 }));
    let later = now + Duration::from_secs(6);
    assert!(table.choose(later, &request, &[]).is_ok_and(|choice| &*choice.name == "i-2"));
    table.note_notice(later, 10, "i-2", Some(7), EndpointNotice::Leaving);
    table.remove("i-2");
    table.put(endpoint("i-2", 7));
    let later = later + Duration::from_secs(1_000);
    assert!(table.choose(later, &request, &[]).is_ok_and(|choice| &*choice.name == "i-1"));
    table.remove("i-1");
    assert_eq!(table.choose(later, &request, &[]), Err(DecisionReason::NoEndpoint));
    table.put(endpoint("i-2", 11));
    assert!(table.choose(later, &request, &[]).is_ok_and(|choice| &*choice.name == "i-2"));
}

/// Guards against a hold that ends with the next record of the endpoint, or ends a notice.
#[test]
fn a_held_endpoint_gets_no_requests_until_it_is_let_go() {
    let now = TimePoint::from_millis(1_000);
    let until = now + Duration::from_secs(4);
    let mut table = PlacementTable::new("a");
    let request = PlacedRequest { service: "chat".into(), ..PlacedRequest::default() };
    table.put(endpoint("i-1", 7));
    table.hold("i-1", until);
    let mut next = endpoint("i-1", 8);
    next.slots = 5;
    table.put(next);
    assert!(table.choose(now, &request, &[]).is_ok(), "another run is not held");
    table.put(endpoint("i-1", 7));
    table.hold("i-1", until);
    table.put(endpoint("i-1", 7));
    assert!(table.choose(now, &request, &[]).is_err());
    assert!(table.choose(until, &request, &[]).is_ok());
    table.hold("i-1", TimePoint::ZERO);
    assert!(table.choose(now, &request, &[]).is_ok());
    table.hold("i-1", until);
    table.note_notice(now, wall_ms(now), "i-1", Some(7), EndpointNotice::Leaving);
    table.hold("i-1", TimePoint::ZERO);
    assert!(table.choose(until, &request, &[]).is_err());
}
