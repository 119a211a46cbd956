//! Tests of the choice among endpoints that name limits, at a single entry.

use std::time::Duration;

use pimentorock_kernel::{
    hub::HubChoice,
    ids::EndpointKey,
    place::{PlaceChoice, PlacedEndpoint, PlacedRequest, PlacementTable},
    reason::DecisionReason,
    send_limit::{EndpointAnswer, LimitScope, LimitWord},
    time::TimePoint,
};

const START: TimePoint = TimePoint::from_millis(10_000);

/// Start of the endpoints' runs, and the wall-clock time at which they name limits, in milliseconds.
const STARTED_MS: u64 = 1_000;
const NAMED_MS: u64 = 5_000;

fn endpoint(number: u32, started_ms: u64) -> PlacedEndpoint {
    PlacedEndpoint {
        name: format!("i-{number}").into(),
        service: "app".into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 8,
        leaving: false,
        started_ms: Some(started_ms),
    }
}

/// Returns the table of an entry that is alone, with `endpoints` endpoints.
fn table(endpoints: u32) -> PlacementTable {
    let mut table = PlacementTable::new("a");
    (0..endpoints).for_each(|number| {
        table.put(endpoint(number, STARTED_MS));
    });
    step(&mut table, START);
    step(&mut table, START + Duration::from_millis(900));
    table
}

fn step(table: &mut PlacementTable, now: TimePoint) {
    table.limits().step(now, HubChoice::Own, Duration::from_millis(150));
}

/// Lets an endpoint answer a request that was sent just before, and states `word` in the answer.
fn answer(table: &mut PlacementTable, now: TimePoint, number: u32, word: Option<LimitWord>) {
    let answer = EndpointAnswer {
        scope: LimitScope::endpoint(&format!("i-{number}")),
        started_ms: Some(STARTED_MS),
        sent_at: now - Duration::from_millis(5),
        word,
    };
    table.limits().note_answer(now, NAMED_MS, answer);
}

fn rate(per_second: f64) -> Option<LimitWord> {
    Some(LimitWord::new(Some(per_second)))
}

fn request(urgency: u8) -> PlacedRequest {
    PlacedRequest { service: "app".into(), urgency: Some(urgency), ..PlacedRequest::default() }
}

fn choose(table: &mut PlacementTable, now: TimePoint) -> Result<PlaceChoice, DecisionReason> {
    table.choose(now, &request(5), &[])
}

/// Places requests every 20 ms for some seconds, and returns how many went to each endpoint.
fn place_for(table: &mut PlacementTable, from: TimePoint, seconds: u32) -> (TimePoint, [usize; 2]) {
    let keys: Vec<Option<EndpointKey>> = ["i-0", "i-1"].map(|name| table.key(name)).into();
    let (mut now, mut counts) = (from, [0, 0]);
    for number in 0..seconds * 50 {
        now = now + Duration::from_millis(20);
        if number % 8 == 0 {
            step(table, now);
        }
        if let Ok(choice) = choose(table, now) {
            let index = keys.iter().position(|key| *key == Some(choice.endpoint)).unwrap();
            counts[index] += 1;
        }
    }
    (now, counts)
}

#[test]
fn an_endpoint_that_names_a_limit_gets_it_and_the_rest_goes_elsewhere() {
    let mut table = table(2);
    let now = START + Duration::from_secs(1);
    answer(&mut table, now, 0, rate(2.0));
    let (_, [limited, free]) = place_for(&mut table, now, 10);
    assert!((15..=25).contains(&limited), "{limited}");
    assert_eq!(limited + free, 500);
}

/// A refused caller must not be told a time at which nothing can have changed.
#[test]
fn a_request_beyond_all_limits_is_refused_with_the_time_of_the_next_send() {
    let mut table = table(2);
    let now = START + Duration::from_secs(1);
    (0..2).for_each(|number| answer(&mut table, now, number, rate(0.2)));
    let Err(DecisionReason::EndpointsLimited { millis }) = choose(&mut table, now) else {
        panic!("the request has to be refused")
    };
    // Two endpoints with 0.2 requests a second give one in 2.5 s.
    assert!((2_000..=10_000).contains(&millis), "{millis}");
    let (_, counts) = place_for(&mut table, now, 30);
    assert!(counts.iter().sum::<usize>() >= 6, "{counts:?}");
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing() {
    for word in [None, Some(-1.0), Some(f64::NAN)] {
        let mut table = table(1);
        let now = START + Duration::from_secs(1);
        answer(&mut table, now, 0, Some(LimitWord::new(word)));
        assert!(choose(&mut table, now).unwrap().send_by.is_none());
        answer(&mut table, now, 0, rate(1.0));
        answer(&mut table, now + Duration::from_secs(9), 0, Some(LimitWord::new(word)));
        let later = now + Duration::from_secs(9);
        let scope = LimitScope::endpoint("i-0");
        assert!(table.limits().is_limited(scope, Some(STARTED_MS)));
        assert!(choose(&mut table, later).is_err());
    }
}

/// An answer to a request that was sent before the limit was named says nothing of its end.
#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_only() {
    let mut table = table(1);
    let (now, scope) = (START + Duration::from_secs(1), LimitScope::endpoint("i-0"));
    answer(&mut table, now, 0, rate(1.0));
    let late = now + Duration::from_secs(5);
    let before = EndpointAnswer {
        scope,
        started_ms: Some(STARTED_MS),
        sent_at: now + Duration::from_millis(300),
        word: None,
    };
    table.limits().note_answer(late, NAMED_MS, before);
    assert!(table.limits().is_limited(scope, Some(STARTED_MS)));
    answer(&mut table, late, 0, None);
    assert!(!table.limits().is_limited(scope, Some(STARTED_MS)));
    assert!(choose(&mut table, late).unwrap().send_by.is_none());
}

#[test]
fn a_new_run_under_the_same_name_has_no_limit_until_it_names_one() {
    let mut table = table(1);
    let now = START + Duration::from_secs(1);
    answer(&mut table, now, 0, rate(0.0));
    assert!(choose(&mut table, now).is_err());
    // The store listed an earlier run than the one that had named the limit.
    table.put(endpoint(0, NAMED_MS - 1));
    assert!(choose(&mut table, now).is_err());
    table.put(endpoint(0, NAMED_MS + 1));
    assert!(choose(&mut table, now).unwrap().send_by.is_none());
}

/// A request that waited for its connection must not be sent after the limit was named, nor with a
/// ticket that has expired.
#[test]
fn a_request_is_checked_again_before_it_is_sent() {
    let mut table = table(1);
    let now = START + Duration::from_secs(1);
    let placed = choose(&mut table, now).unwrap();
    assert!(table.may_send(now, &placed, Some(5)));
    answer(&mut table, now, 0, rate(1.0));
    assert!(!table.may_send(now, &placed, Some(5)));
    let (now, _) = place_for(&mut table, now, 3);
    let later = now + Duration::from_secs(1);
    step(&mut table, later);
    let placed = choose(&mut table, later).unwrap();
    let send_by = placed.send_by.unwrap();
    assert!(table.may_send(later, &placed, Some(5)));
    // Nothing is left for the request once its ticket has expired.
    while choose(&mut table, send_by).is_ok() {}
    assert!(!table.may_send(send_by, &placed, Some(5)));
}
