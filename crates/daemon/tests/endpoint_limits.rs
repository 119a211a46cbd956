//! Fleets of entries in front of endpoints that name a limit on the requests that they take.
//!
//! What counts is what endpoints and callers see: the requests of all entries together, whatever
//! their number, and what becomes of those that the limit does not allow.

// These modules are shared with other tests, which use more of their functions.
#[allow(dead_code, unused_imports)]
#[path = "../../../platform/tests/crash/mod.rs"]
mod crash;
#[allow(dead_code)]
#[path = "../../../platform/tests/soak/entry_process.rs"]
mod entry_process;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/fake_platform.rs"]
mod fake_platform;
#[allow(dead_code)]
#[path = "../../../platform/tests/soak/fault_proxy.rs"]
mod fault_proxy;
#[path = "../../../platform/tests/limits/mod.rs"]
mod limits;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/scripted_server.rs"]
mod scripted_server;

use std::time::{Duration, Instant};

use limits::{CallerLoad, LimitFleet};
use rustix::process::Signal;

const DAEMON: &str = env!("CARGO_BIN_EXE_pimentorockd");

const ENTRIES: u8 = 16;

/// Limit that endpoints name, in requests a second.
const LIMIT: f64 = 1.0;

/// Time after the first answer with a limit by which the fleet must keep it.
const KNOWLEDGE_TIME: Duration = Duration::from_secs(3);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which the limit is watched.
const WATCHED: Duration = Duration::from_secs(10);

/// Requests that an endpoint may get in a window: one and a half times its limit, and 5 more.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends most requests to the first entry, and some to each other one.
fn start_uneven_callers(fleet: &LimitFleet, route: &'static str) {
    for entry in 0..fleet.entries.len() {
        let pause = Duration::from_millis(if entry == 0 { 40 } else { 400 });
        fleet.start_callers(CallerLoad { entry, route, pause });
    }
}

/// Lets the endpoints `limited` name `limit`, and returns the time from which it must be kept.
async fn name_limit(fleet: &LimitFleet, limited: &[usize], limit: f64) -> Instant {
    for &index in limited {
        fleet.endpoints[index].name_limit(Some(&limit.to_string()));
    }
    tokio::time::sleep(KNOWLEDGE_TIME).await;
    Instant::now()
}

fn check_limit(fleet: &LimitFleet, limited: &[usize], limit: f64, from: Instant) {
    let most: Vec<usize> =
        limited.iter().map(|index| fleet.endpoints[*index].most_in(WINDOW, from)).collect();
    assert!(
        most.iter().all(|most| *most <= allowed(limit)),
        "endpoints that named a limit of {limit} a second got {most:?} requests in {WINDOW:?}; \
         allowed {}",
        allowed(limit)
    );
}

#[tokio::test]
async fn endpoints_get_their_limit_from_sixteen_entries_and_the_rest_is_refused_with_a_time() {
    let fleet = LimitFleet::start(DAEMON, ENTRIES, 2).await;
    start_uneven_callers(&fleet, "/later/");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = name_limit(&fleet, &[0, 1], LIMIT).await;
    tokio::time::sleep(WATCHED).await;
    let until = Instant::now();
    check_limit(&fleet, &[0, 1], LIMIT, from);
    for endpoint in &fleet.endpoints {
        let arrived = endpoint.arrived(from, until, "") as f64;
        let taken = LIMIT * WATCHED.as_secs_f64();
        assert!(arrived >= 0.5 * taken, "{arrived} requests arrived where {taken} are taken");
    }
    let outcomes = fleet.outcomes(from, until - Duration::from_millis(500));
    let refused: Vec<_> = outcomes.iter().filter(|outcome| outcome.status != Some(200)).collect();
    assert!(refused.len() > outcomes.len() / 2, "{} of {}", refused.len(), outcomes.len());
    for outcome in &refused {
        assert_eq!(outcome.status, Some(503), "{outcome:?}");
        assert!(outcome.retry_after.is_some_and(|seconds| seconds >= 0.5), "{outcome:?}");
        assert!(outcome.took < Duration::from_millis(500), "{outcome:?}");
    }
    // Each entry says what it knows of the limit and by whom, also those that got no answer themselves.
    let told = fleet.log_lines("endpoint limit changed");
    let told = |process: usize| {
        let process = format!("\"process\":\"entry-{process}\"");
        told.iter().filter(|line| line.contains(&process)).count()
    };
    assert!((0..usize::from(ENTRIES)).all(|process| told(process) >= 2));
    // The limit ends for all entries once the endpoints no longer name it.
    fleet.endpoints.iter().for_each(|endpoint| endpoint.name_limit(None));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let from = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let outcomes = fleet.outcomes(from, Instant::now() - Duration::from_millis(500));
    let refused = outcomes.iter().filter(|outcome| outcome.status != Some(200)).count();
    assert!(refused == 0 && !outcomes.is_empty(), "{refused} of {} refused", outcomes.len());
}

#[tokio::test]
async fn requests_go_elsewhere_while_one_endpoint_names_a_limit() {
    let fleet = LimitFleet::start(DAEMON, ENTRIES, 3).await;
    start_uneven_callers(&fleet, "/later/");
    let from = name_limit(&fleet, &[0], LIMIT).await;
    tokio::time::sleep(WATCHED).await;
    check_limit(&fleet, &[0], LIMIT, from);
    let outcomes = fleet.outcomes(from, Instant::now() - Duration::from_millis(500));
    let refused: Vec<_> = outcomes.iter().filter(|outcome| outcome.status != Some(200)).collect();
    assert!(refused.is_empty() && !outcomes.is_empty(), "{refused:?}");
}

#[tokio::test]
async fn urgent_requests_get_the_scarce_sends_first() {
    let fleet = LimitFleet::start(DAEMON, ENTRIES, 2).await;
    start_uneven_callers(&fleet, "/later/");
    for entry in [1, 2, 3, 4] {
        let pause = Duration::from_millis(400);
        fleet.start_callers(CallerLoad { entry, route: "/urgent/", pause });
    }
    let limit = 2.0;
    let from = name_limit(&fleet, &[0, 1], limit).await;
    tokio::time::sleep(WATCHED).await;
    let until = Instant::now();
    check_limit(&fleet, &[0, 1], limit, from);
    let arrived = |part| -> usize {
        fleet.endpoints.iter().map(|endpoint| endpoint.arrived(from, until, part)).sum()
    };
    let (urgent, all) = (arrived("/urgent/"), arrived(""));
    assert!(2 * urgent > all, "{urgent} of {all} sends went to urgent requests");
}

#[tokio::test]
async fn the_limit_is_kept_while_entries_are_killed_frozen_and_started_again() {
    let mut fleet = LimitFleet::start(DAEMON, ENTRIES, 2).await;
    start_uneven_callers(&fleet, "/later/");
    let from = name_limit(&fleet, &[0, 1], LIMIT).await;
    // Entry 0 is the hub of all others; entry 1 takes its place.
    for (killed, frozen) in [(0, 1), (1, 0), (5, 2)] {
        fleet.entries[killed].kill();
        fleet.entries[frozen].signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        fleet.entries[frozen].signal(Signal::CONT);
        fleet.entries[killed].restart();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }
    check_limit(&fleet, &[0, 1], LIMIT, from);
    let from = Instant::now();
    tokio::time::sleep(WATCHED).await;
    check_limit(&fleet, &[0, 1], LIMIT, from);
    for endpoint in &fleet.endpoints {
        let arrived = endpoint.arrived(from, Instant::now(), "") as f64;
        let taken = LIMIT * WATCHED.as_secs_f64();
        assert!(arrived >= 0.5 * taken, "{arrived} requests arrived where {taken} are taken");
    }
}
