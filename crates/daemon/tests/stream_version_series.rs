//! Streams of several versions while troubles overlap: entries that stand still or are killed, versions that
//! join, leave and come back, a store that is away or comes back from an older copy.
//!
//! Set `VERSION_SEEDS=FROM..TO` to run other seeds of the random series, `TO` excluded.

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
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/scripted_server.rs"]
mod scripted_server;
#[path = "../../../platform/tests/troubles/mod.rs"]
mod troubles;
#[allow(dead_code)]
#[path = "../../../platform/tests/versions/mod.rs"]
mod versions;

use std::{ops::Range, time::Duration};

use rustix::process::Signal;
use tokio::time::{Instant, sleep};
use versions::{CallerEnd, StreamCaller, VersionFleet};

const DAEMON: &str = env!("CARGO_BIN_EXE_pimentorockd");

/// Seeds of the random series that run in CI.
const CI_SEEDS: Range<u64> = 1..4;

/// Streams of one test.
const STREAMS: usize = 48;

/// Time after which the entries of a fleet know each other, and no span of its start is open.
const SETTLED: Duration = Duration::from_secs(2);

/// Longest time until a change of shares reaches a phase.
const PHASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Events after which a caller closes its connection.
const FEW_EVENTS: usize = 3;

/// Checks that no caller holds events of two versions.
fn check_versions<'a>(callers: impl Iterator<Item = &'a StreamCaller>) {
    let mixed: Vec<_> = callers.filter(|caller| caller.is_mixed()).collect();
    assert!(mixed.is_empty(), "{} streams are joined, such as {:?}", mixed.len(), mixed.first());
}

/// Returns the number that a log line names in `field`.
fn field(line: &str, field: &str) -> u64 {
    let (_, rest) = line.split_once(&format!("\"{field}\":")).unwrap_or_default();
    let digits = rest.trim_start_matches('"').split(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Waits until the shares that were written last, with version "b", are in a phase that `is_due` tells by the
/// numbers of open and announced spans.
async fn wait_for_phase(fleet: &VersionFleet, is_due: fn(u64, u64) -> bool) {
    let waiting = async {
        loop {
            let lines = fleet.log_lines("stream shares written");
            let reached = |line: &String| {
                line.contains("b:128") && is_due(field(line, "open"), field(line, "announced"))
            };
            if lines.iter().any(reached) {
                return;
            }
            sleep(Duration::from_millis(2)).await;
        }
    };
    let reached = tokio::time::timeout(PHASE_TIMEOUT, waiting).await;
    assert!(reached.is_ok(), "the phase did not come: {:?}", fleet.log_lines("stream shares"));
}

/// Kills the root hub as the change of shares to a second version reaches a phase, and takes up all streams
/// that break off.
async fn play_killed_root_hub(is_due: fn(u64, u64) -> bool) {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    sleep(SETTLED).await;
    let mut streams = fleet.begin_streams(&[0, 1, 2], STREAMS);
    fleet.add_endpoint("b").await;
    fleet.add_endpoint("b").await;
    sleep(Duration::from_millis(100)).await;
    streams.extend(fleet.begin_streams(&[0, 1, 2], STREAMS));
    wait_for_phase(&fleet, is_due).await;
    fleet.entries[0].kill();
    streams.extend(fleet.begin_streams(&[1, 2], STREAMS / 2));
    sleep(Duration::from_millis(150)).await;
    // The substitute and the last entry die too, so that only the store knows.
    fleet.entries[1].kill();
    fleet.entries[2].kill();
    (0..3).for_each(|entry| fleet.entries[entry].restart());
    fleet.wait_serving().await;
    let callers = fleet.take_up(streams, &[2, 1, 0], 4).await;
    check_versions(callers.iter());
    let went_on = callers.iter().filter(|caller| caller.went_on > 0).count();
    assert!(callers.len() >= STREAMS / 2, "only {} streams were taken up", callers.len());
    assert!(2 * went_on >= callers.len(), "{went_on} of {} streams went on", callers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_root_hub_killed_as_new_shares_are_announced_joins_no_streams() {
    play_killed_root_hub(|_, announced| announced > 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_root_hub_killed_as_new_shares_are_followed_joins_no_streams() {
    play_killed_root_hub(|open, announced| open > 1 && announced == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_root_hub_killed_as_the_old_shares_end_joins_no_streams() {
    play_killed_root_hub(|open, announced| open == 1 && announced == 0).await;
}

/// The root hub and its substitute stand still in series that overlap. As each goes on, all streams are taken
/// up at all entries at once.
#[tokio::test(flavor = "multi_thread")]
async fn take_ups_at_all_entries_as_entries_go_on_join_no_streams() {
    for (first, second) in [(500, 900), (1_500, 2_600), (3_000, 5_500)] {
        let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
        sleep(SETTLED).await;
        let began = Instant::now();
        let old = fleet.begin_short_streams(&[0, 1, 2], STREAMS, FEW_EVENTS).await;
        fleet.entries[0].signal(Signal::STOP);
        fleet.add_endpoint("b").await;
        fleet.add_endpoint("b").await;
        sleep(Duration::from_millis(200)).await;
        fleet.entries[1].signal(Signal::STOP);
        fleet.drain("a");
        let mut callers = fleet.begin_short_streams(&[2], STREAMS, FEW_EVENTS).await;
        callers.extend(old);
        let mut taken_up = Vec::new();
        for (entry, after) in [(0, first), (1, second)] {
            tokio::time::sleep_until(began + Duration::from_millis(after)).await;
            fleet.entries[entry].signal(Signal::CONT);
            for caller in &callers {
                for entry in &fleet.entries {
                    let (mut caller, address) = (caller.clone(), entry.callers());
                    taken_up.push(tokio::spawn(async move {
                        let events = caller.versions.len() + FEW_EVENTS;
                        caller = caller.with_events(events);
                        caller.call(address).await;
                        caller
                    }));
                }
            }
        }
        let mut ends = Vec::new();
        for caller in taken_up {
            ends.push(caller.await.unwrap());
        }
        check_versions(ends.iter());
    }
}

/// All old endpoints leave as the new ones join, three times. Streams of the newest version are taken up at
/// other entries.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_through_releases_in_which_all_old_endpoints_leave_at_once() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    sleep(SETTLED).await;
    let (mut taken_up, mut went_on, mut refused) = (0, 0, 0);
    for (old, new) in [("a", "b"), ("b", "c"), ("c", "a2")] {
        fleet.add_endpoint(new).await;
        fleet.add_endpoint(new).await;
        fleet.drain(old);
        for _ in 0..8 {
            let callers = fleet.begin_short_streams(&[0, 1, 2], STREAMS / 4, FEW_EVENTS).await;
            for (index, mut caller) in callers.into_iter().enumerate() {
                let is_newest = caller.versions[0] == new;
                caller = caller.with_events(2 * FEW_EVENTS);
                if index % 2 == 0 {
                    caller = caller.with_remaining_patience();
                }
                let end = caller.call(fleet.entries[(index + 1) % 3].callers()).await;
                assert!(!caller.is_mixed(), "{caller:?}");
                if is_newest {
                    taken_up += 1;
                    went_on += usize::from(caller.went_on > 0);
                    refused += usize::from(matches!(end, CallerEnd::Refused(..)));
                }
            }
        }
    }
    assert!(taken_up >= STREAMS, "only {taken_up} streams were taken up");
    assert!(2 * went_on >= taken_up, "{went_on} of {taken_up} went on, {refused} were refused");
}

fn seeds() -> Range<u64> {
    let text = std::env::var("VERSION_SEEDS").ok();
    let parse = |text: String| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    };
    text.and_then(parse).unwrap_or(CI_SEEDS)
}

#[test]
fn no_stream_is_joined_while_troubles_overlap() {
    let (mut taken_up, mut went_on) = (0, 0);
    for seed in seeds() {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let report = runtime.block_on(troubles::play_series(DAEMON, seed));
        assert!(report.mixed.is_empty(), "seed {seed}:\n{}", report.mixed.join("\n"));
        println!("seed {seed}: {} taken up, {} tries went on", report.taken_up, report.went_on);
        taken_up += report.taken_up;
        went_on += report.went_on;
    }
    assert!(2 * went_on >= taken_up, "{went_on} tries went on for {taken_up} streams");
}
