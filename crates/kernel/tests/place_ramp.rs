//! Tests of the requests that an endpoint gets after a start, by how it answers.

use std::time::Duration;

use pimentorock_kernel::{
    ids::EndpointKey,
    place::{LoadRow, PlacedEndpoint, PlacedRequest, PlacementTable, WarmupAllowance, WarmupLimit},
    time::TimePoint,
};

const START: TimePoint = TimePoint::from_millis(10_000);

/// Latency target of the requests.
const TARGET: Duration = Duration::from_millis(300);

const SLOTS: u32 = 64;

fn endpoint(name: &str) -> PlacedEndpoint {
    PlacedEndpoint {
        name: name.into(),
        service: "app".into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: SLOTS,
        leaving: false,
        started_ms: None,
    }
}

fn request() -> PlacedRequest {
    PlacedRequest {
        service: "app".into(),
        latency_target: Some(TARGET),
        ..PlacedRequest::default()
    }
}

/// Returns a table with one endpoint, which has warmed up, of a service whose endpoints warm up if
/// `warms_up`. The rate that they tolerate is far above the requests of the tests.
fn table(warms_up: bool) -> (PlacementTable, EndpointKey) {
    let mut table = PlacementTable::new("a");
    let key = table.put(endpoint("i-0"));
    if warms_up {
        let allowance = WarmupAllowance { ratio: 1.5, slack: 5.0 };
        let limit = WarmupLimit::new(Duration::from_millis(1), 1e6, allowance).unwrap();
        table.set_warmups([("app".into(), limit)].into());
    }
    (table, key)
}

/// Offers `count` requests every 20 ms for `steps` steps to the only endpoint, which answers each
/// after `answer_ms`, and returns the most that it ran at once in each step.
fn play(table: &mut PlacementTable, count: u32, steps: u64, answer_ms: u64) -> Vec<u32> {
    let mut running = Vec::new();
    let mut most = Vec::new();
    for step in 0..steps {
        let now = START + Duration::from_millis(20 * step);
        running.retain_mut(|(until, ticket)| {
            let is_running = now < *until;
            if !is_running {
                table.first_token(now, ticket);
                table.ended(ticket);
            }
            is_running
        });
        for _ in 0..count {
            if let Ok(choice) = table.choose(now, &request(), &[]) {
                let ticket = table.sent(now, choice.endpoint, &request());
                running.push((now + Duration::from_millis(answer_ms), ticket));
            }
        }
        most.push(running.len() as u32);
    }
    most
}

/// Guards against an endpoint that is flooded right after its start, or left idle although it answers
/// in time: a burst that offers far more than one endpoint takes.
#[test]
fn an_endpoint_that_answers_in_time_gets_its_share_within_a_second() {
    let (mut table, key) = table(true);
    table.note_started(START, key);
    let running = play(&mut table, 40, 50, 100);
    assert!(running[0] <= 4, "{} requests at once", running[0]);
    assert!(running[10] < SLOTS / 2, "{} requests after two answers' time", running[10]);
    assert!(running[49] >= SLOTS - 4, "{} requests after a second", running[49]);
    assert_eq!(table.ramp_window(key), None);
}

/// Guards against more and more requests at an endpoint that answers none in time.
#[test]
fn an_endpoint_that_answers_late_gets_few_requests() {
    let (mut table, key) = table(true);
    table.note_started(START, key);
    let running = play(&mut table, 40, 140, 600);
    assert!(running.iter().all(|running| *running <= 4), "{running:?}");
    assert!(running[139] >= 1, "an endpoint without requests cannot show that it recovered");
    // An endpoint whose answers never tell gets requests like any other in the end.
    let later = START + Duration::from_secs(4);
    (0..20).for_each(|_| {
        let choice = table.choose(later, &request(), &[]).unwrap();
        table.sent(later, choice.endpoint, &request());
    });
}

/// Guards against a rush to an endpoint that lost all its requests, or could not be reached, and is
/// back; and against one that is left idle because it lost a single answer.
#[test]
fn an_endpoint_that_recovers_begins_a_ramp() {
    for is_down in [false, true] {
        let (mut table, key) = table(true);
        assert_eq!(table.ramp_window(key), None);
        if is_down {
            table.note_unreached(START, key, Duration::from_millis(1));
            table.note_reached(START, key);
            // The warm-up limit is the matter of other tests.
            table.note_warmup(START, key, Duration::ZERO);
        } else {
            table.note_failure(START, key);
            assert_eq!(table.ramp_window(key), None, "one answer was lost");
            table.note_failure(START, key);
        }
        let running = play(&mut table, 40, 1, 100);
        assert!(running[0] <= 4, "{} requests at once", running[0]);
    }
}

/// Guards against an endpoint that is left idle by a large fleet, in which each entry gets few of its
/// answers.
#[test]
fn an_answer_stands_for_those_that_other_entries_get() {
    let (mut table, key) = table(true);
    table.note_started(START, key);
    let choice = table.choose(START, &request(), &[]).unwrap();
    let mut ticket = table.sent(START, choice.endpoint, &request());
    let others =
        LoadRow { endpoint: LoadRow::endpoint_hash("i-0"), in_flight: 9, prefill: 0, memory: 0 };
    table.note_others(START, &[others]);
    table.first_token(START + Duration::from_millis(50), &mut ticket);
    assert_eq!(table.ramp_window(key), Some(14));
}

/// Guards against a ramp at deployments whose configuration does not call for one.
#[test]
fn endpoints_that_do_not_warm_up_have_no_ramp() {
    let (mut table, key) = table(false);
    table.note_started(START, key);
    (0..3).for_each(|_| table.note_failure(START, key));
    assert_eq!(table.ramp_window(key), None);
    assert_eq!(play(&mut table, 40, 1, 100), [40]);
}
