//! Streams that callers take up where an entry may know less than it believes: after it stood still, after
//! the version of the stream has left, and while a release begins.

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
#[allow(dead_code)]
#[path = "../../../platform/tests/versions/mod.rs"]
mod versions;

use std::time::Duration;

use rustix::process::Signal;
use versions::{CallerEnd, StreamCaller, VersionFleet};

const DAEMON: &str = env!("CARGO_BIN_EXE_pimentorockd");

/// Streams of one test.
const STREAMS: usize = 48;

/// Time after which the entries of a fleet know each other, and no span of its start is open.
const SETTLED: Duration = Duration::from_secs(2);

/// Topic of the versions that began streams.
const ORIGINS: &str = "keyed.stream-origins";

/// Time after which an entry that lacks the shares by which streams begin is ready without them.
const READY_WITHOUT_SHARES: Duration = Duration::from_millis(2_500);

/// Time for which streams run before their entries are killed.
const UNDER_WAY: Duration = Duration::from_millis(1_200);

/// Events after which a caller closes its connection.
const FEW_EVENTS: usize = 3;

/// Checks that no caller holds events of two versions.
fn check_versions<'a>(callers: impl Iterator<Item = &'a StreamCaller>) {
    let mixed: Vec<_> = callers.filter(|caller| caller.is_mixed()).collect();
    assert!(
        mixed.is_empty(),
        "{} streams hold events of two versions, such as {:?}",
        mixed.len(),
        mixed[0].versions
    );
}

/// Plays a version that joins while entry `frozen` stands still for `frozen_for`, and takes the streams that
/// began meanwhile up there.
async fn play_frozen_entry(frozen: usize, frozen_for: Duration) {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    let others: Vec<usize> = (0..3).filter(|entry| *entry != frozen).collect();
    let stopped = tokio::time::Instant::now();
    fleet.entries[frozen].signal(Signal::STOP);
    fleet.add_endpoint("b").await;
    fleet.add_endpoint("b").await;
    fleet.drain("a");
    // Streams that callers left just before the entry goes on.
    let last_start = frozen_for.saturating_sub(Duration::from_millis(500));
    tokio::time::sleep_until(stopped + last_start).await;
    let callers = fleet.begin_short_streams(&others, STREAMS, FEW_EVENTS).await;
    let begun = callers.iter().filter(|caller| caller.versions[0] == "b").count();
    tokio::time::sleep_until(stopped + frozen_for).await;
    fleet.entries[frozen].signal(Signal::CONT);
    let ends = fleet.take_up_once(callers, frozen).await;
    check_versions(ends.iter().map(|(caller, _)| caller));
    let went_on = ends.iter().filter(|(_, end)| *end == CallerEnd::Complete).count();
    assert!(begun >= STREAMS / 2, "only {begun} streams began at the new version");
    assert!(2 * went_on >= ends.len(), "{went_on} of {} streams went on", ends.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_root_hub_that_stood_still_while_a_version_joined_joins_no_streams() {
    play_frozen_entry(0, Duration::from_millis(2_500)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stood_still_while_a_version_joined_joins_no_streams() {
    play_frozen_entry(2, Duration::from_millis(2_500)).await;
}

/// The callers of these fleets state their whole patience at each try.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_version_that_left_while_all_entries_were_killed_are_not_joined() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a", "b", "b"]).await;
    tokio::time::sleep(SETTLED).await;
    let streams = fleet.begin_streams(&[0, 1, 2], STREAMS);
    tokio::time::sleep(Duration::from_millis(120)).await;
    (0..3).for_each(|entry| fleet.entries[entry].kill());
    fleet.drain("b");
    tokio::time::sleep(Duration::from_millis(300)).await;
    (0..3).for_each(|entry| fleet.entries[entry].restart());
    fleet.wait_serving().await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let callers = fleet.take_up(streams, &[2, 1, 0], 3).await;
    assert!(callers.len() >= STREAMS / 2, "only {} streams were taken up", callers.len());
    check_versions(callers.iter());
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_old_version_go_on_as_a_release_begins() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    let callers = fleet.begin_short_streams(&[0, 1, 2], STREAMS, FEW_EVENTS).await;
    let mut refused = 0;
    let mut taken_up = Vec::new();
    fleet.add_endpoint("b").await;
    for part in callers.chunks(STREAMS / 8) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let address = fleet.entries[1].callers();
        for mut caller in part.iter().cloned().map(|caller| caller.with_events(2 * FEW_EVENTS)) {
            taken_up.push(tokio::spawn(async move {
                let end = caller.call(address).await;
                (caller, end)
            }));
        }
    }
    let count = taken_up.len();
    for caller in taken_up {
        let (caller, end) = caller.await.unwrap();
        assert!(!caller.is_mixed(), "{:?}", caller.versions);
        refused += usize::from(matches!(end, CallerEnd::Refused(..)));
    }
    assert!(count >= STREAMS / 2, "only {count} streams were taken up");
    assert_eq!(refused, 0, "{refused} of {count} streams were refused");
    // A root hub that stood still must not replace the marker of another one.
    assert_eq!(fleet.platform.unconditional_markers(), 0);
}

/// Guards against starts that are refused until the shares of the new version are followed.
#[tokio::test(flavor = "multi_thread")]
async fn streams_begin_while_all_old_endpoints_leave_at_once() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    fleet.add_endpoint("b").await;
    fleet.add_endpoint("b").await;
    fleet.drain("a");
    let (mut begun, mut starts) = (0, Vec::new());
    for round in 0..30 {
        let address = fleet.entries[round % 3].callers();
        starts.push(tokio::spawn(async move {
            let mut caller = StreamCaller::new().with_events(FEW_EVENTS);
            caller.call(address).await;
            caller
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let count = starts.len();
    for start in starts {
        begun += usize::from(!start.await.unwrap().versions.is_empty());
    }
    assert_eq!(begun, count, "{begun} of {count} streams began");
}

/// Guards against a record that expires although its caller keeps asking.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_take_ups_are_refused_keeps_its_version() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let address = fleet.entries[number % 3].callers();
        callers.push(tokio::spawn(async move {
            let mut caller = StreamCaller::new().with_patience(1_000).with_events(FEW_EVENTS);
            caller.call(address).await;
            caller.with_events(usize::MAX)
        }));
    }
    let mut begun = Vec::new();
    for caller in callers {
        begun.push(caller.await.unwrap());
    }
    assert!(begun.iter().all(|caller| !caller.versions.is_empty()));
    fleet.add_endpoint("b").await;
    fleet.add_endpoint("b").await;
    fleet.drain("a");
    for _ in 0..28 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let ends = fleet.take_up_once(begun, 1).await;
        begun = ends.into_iter().map(|(caller, _)| caller).collect();
    }
    check_versions(begun.iter());
}

/// Guards against streams of the only version that are refused after the store came back from an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_after_an_older_copy_while_an_entry_is_away() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    let copy = fleet.platform.copy();
    let callers = fleet.begin_short_streams(&[1], STREAMS, FEW_EVENTS).await;
    fleet.entries[1].kill();
    fleet.platform.restore(&copy);
    tokio::time::sleep(2 * SETTLED).await;
    let (mut went_on, mut count) = (0, 0);
    for part in callers.chunks(STREAMS / 8) {
        tokio::time::sleep(Duration::from_millis(70)).await;
        let ends = fleet.take_up_once(part.to_vec(), 2).await;
        check_versions(ends.iter().map(|(caller, _)| caller));
        count += ends.len();
        went_on += ends.iter().filter(|(_, end)| *end == CallerEnd::Complete).count();
    }
    assert!(2 * went_on >= count, "{went_on} of {count} streams went on");
}

/// Guards against two root hubs for seconds, each of which counts the entries of the other as missing.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_start_before_their_hub_follow_it_within_a_second() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    (0..3).for_each(|entry| fleet.entries[entry].kill());
    fleet.entries[1].restart();
    fleet.entries[2].restart();
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.entries[0].restart();
    fleet.wait_serving().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for entry in &fleet.entries[1..] {
        let log = std::fs::read_to_string(entry.log()).unwrap();
        let hub = log.lines().rfind(|line| line.contains("hub changed")).unwrap();
        assert!(!hub.contains("\"hub\":\"none\""), "{hub}");
    }
}

/// Guards against streams that begin by shares which no entry has read, and of which no later process knows.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_began_while_the_shares_could_not_be_read_are_not_joined() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    fleet.platform.refuse_topic(ORIGINS);
    fleet.add_endpoint("b").await;
    fleet.add_endpoint("b").await;
    fleet.kill(&[0, 1, 2]).await;
    fleet.wait_serving().await;
    tokio::time::sleep(READY_WITHOUT_SHARES).await;
    let streams = fleet.begin_streams(&[0, 1, 2], 2 * STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.kill(&[0, 1, 2]).await;
    fleet.wait_serving().await;
    let platform = fleet.platform.clone();
    let returning = tokio::spawn(async move {
        // The take-ups wait for the shares by then.
        tokio::time::sleep(Duration::from_millis(200)).await;
        platform.accept_topics();
    });
    check_versions(fleet.take_up(streams, &[2, 1, 0], 3).await.iter());
    returning.await.unwrap();
    tokio::time::sleep(SETTLED).await;
    let callers = fleet.begin_short_streams(&[0, 1, 2], STREAMS, FEW_EVENTS).await;
    assert_eq!(callers.len(), STREAMS, "streams begin once the shares are read");
}

/// Guards against a history that is taken for whole after the store lost a part of it.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_version_that_an_older_copy_lacks_are_not_joined() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a"]).await;
    tokio::time::sleep(SETTLED).await;
    let copy = fleet.platform.copy();
    fleet.add_endpoint("b").await;
    tokio::time::sleep(SETTLED).await;
    let streams = fleet.begin_streams(&[0, 1, 2], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.end_version("b");
    (0..3).for_each(|entry| fleet.entries[entry].kill());
    fleet.platform.restore(&copy);
    (0..3).for_each(|entry| fleet.entries[entry].restart());
    fleet.wait_serving().await;
    let callers = fleet.take_up(streams, &[2, 1, 0], 3).await;
    assert!(callers.len() >= STREAMS / 2, "only {} streams were taken up", callers.len());
    check_versions(callers.iter());
}
