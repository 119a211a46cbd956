//! Streams whose endpoints run several software versions side by side.
//!
//! What two versions write does not fit together, and nothing in an answer shows it. What counts is
//! what callers hold in the end: events of one version, and most streams gone on.

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
const STREAMS: usize = 24;

/// Time after which streams have events and other processes know of them.
const UNDER_WAY: Duration = Duration::from_millis(1_200);

/// Time within which a take-up that cannot go on is answered.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Checks that no caller holds events of two versions, and that at least half of the streams that
/// were taken up went on.
fn check(callers: &[StreamCaller], least: usize) {
    let mixed: Vec<_> = callers.iter().filter(|caller| caller.is_mixed()).collect();
    assert!(
        mixed.is_empty(),
        "{} of {} streams hold events of two versions, such as {:?}",
        mixed.len(),
        callers.len(),
        mixed[0].versions
    );
    assert!(callers.len() >= least, "only {} streams were taken up", callers.len());
    let went_on = callers.iter().filter(|caller| caller.went_on > 0).count();
    assert!(2 * went_on >= callers.len(), "{went_on} of {} streams went on", callers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_after_a_kill_of_all_entries_go_on_at_the_version_that_began_them() {
    let mut fleet = VersionFleet::start(DAEMON, 4, &["a", "a", "b", "b"]).await;
    let streams = fleet.begin_streams(&[0, 1, 2, 3], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.kill(&[0, 1, 2, 3]).await;
    fleet.wait_serving().await;
    check(&fleet.take_up(streams, &[3, 2, 1, 0], 3).await, STREAMS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_after_a_kill_of_a_part_go_on_at_the_version_that_began_them() {
    let mut fleet = VersionFleet::start(DAEMON, 4, &["a", "a", "b", "b", "c", "c"]).await;
    let streams = fleet.begin_streams(&[0, 2], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    // Entry 0 is the hub of the others.
    fleet.kill(&[0, 2]).await;
    check(&fleet.take_up(streams, &[1, 3], 4).await, STREAMS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_begun_while_the_store_is_away_go_on_at_the_version_that_began_them() {
    let mut fleet = VersionFleet::start(DAEMON, 4, &["a", "a", "b", "b"]).await;
    fleet.platform.set_refusing(true);
    tokio::time::sleep(UNDER_WAY).await;
    let streams = fleet.begin_streams(&[2, 3], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.entries[2].kill();
    fleet.entries[3].kill();
    check(&fleet.take_up(streams, &[0, 1], 3).await, STREAMS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_begun_as_the_store_went_away_go_on_after_a_kill_of_all_entries() {
    let mut fleet = VersionFleet::start(DAEMON, 4, &["a", "a", "b", "b"]).await;
    tokio::time::sleep(UNDER_WAY).await;
    fleet.platform.set_refusing(true);
    let streams = fleet.begin_streams(&[0, 1, 2, 3], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.kill(&[0, 1, 2, 3]).await;
    fleet.platform.set_refusing(false);
    fleet.wait_serving().await;
    check(&fleet.take_up(streams, &[3, 2, 1, 0], 3).await, STREAMS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_begun_before_the_second_version_came_go_on_at_the_first() {
    let mut fleet = VersionFleet::start(DAEMON, 4, &["a", "a"]).await;
    let streams = fleet.begin_streams(&[0, 1, 2, 3], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.add_endpoint("b").await;
    fleet.add_endpoint("b").await;
    tokio::time::sleep(UNDER_WAY).await;
    fleet.kill(&[0, 1, 2, 3]).await;
    fleet.wait_serving().await;
    check(&fleet.take_up(streams, &[3, 2, 1, 0], 3).await, STREAMS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_a_kill_of_all_entries_while_one_version_serves() {
    let mut fleet = VersionFleet::start(DAEMON, 3, &["a", "a", "a"]).await;
    let streams = fleet.begin_streams(&[0, 1, 2], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.kill(&[0, 1, 2]).await;
    fleet.wait_serving().await;
    let callers = fleet.take_up(streams, &[1, 2, 0], 3).await;
    check(&callers, STREAMS / 2);
    assert!(callers.iter().all(|caller| caller.went_on > 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_changes_no_version_within_an_answer() {
    let fleet = VersionFleet::start(DAEMON, 2, &["a", "a", "b", "b"]).await;
    let streams = fleet.begin_streams(&[0, 1], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.endpoints[0].server.halt();
    fleet.endpoints[2].server.halt();
    let mut complete = 0;
    for stream in streams {
        let (caller, end) = stream.await.unwrap();
        assert!(!caller.is_mixed(), "{:?}", caller.versions);
        complete += usize::from(end == CallerEnd::Complete);
    }
    assert!(2 * complete >= STREAMS, "{complete} of {STREAMS} streams were complete");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_refused_at_once_if_the_version_that_began_it_has_left() {
    let fleet = VersionFleet::start(DAEMON, 2, &["a"]).await;
    let stream = fleet.begin_streams(&[0], 1).remove(0);
    tokio::time::sleep(UNDER_WAY).await;
    let mut fleet = fleet;
    fleet.add_endpoint("b").await;
    fleet.drain("a");
    tokio::time::sleep(UNDER_WAY).await;
    fleet.endpoints[0].server.halt();
    let (mut caller, _) = stream.await.unwrap();
    for entry in [0, 1] {
        let end = caller.call(fleet.entries[entry].callers()).await;
        let CallerEnd::Refused(503, took, Some(_)) = end else { panic!("{end:?}") };
        assert!(took < AT_ONCE, "{took:?}");
    }
    assert!(!caller.is_mixed(), "{:?}", caller.versions);
    // A new stream is served by what is there.
    assert_eq!(StreamCaller::new().call(fleet.entries[1].callers()).await, CallerEnd::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_take_up_of_a_take_up_goes_on_at_the_version_that_began_the_stream() {
    let mut fleet = VersionFleet::start(DAEMON, 4, &["a", "a", "b", "b"]).await;
    let streams = fleet.begin_streams(&[3], STREAMS);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.entries[3].kill();
    let mut callers = Vec::new();
    for stream in streams {
        callers.push(stream.await.unwrap().0);
    }
    let again = callers.into_iter().map(|mut caller| {
        let address = fleet.entries[2].callers();
        tokio::spawn(async move {
            let end = caller.call(address).await;
            (caller, end)
        })
    });
    let again: Vec<_> = again.collect();
    tokio::time::sleep(UNDER_WAY).await;
    fleet.entries[2].kill();
    check(&fleet.take_up(again, &[0, 1], 3).await, STREAMS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_not_named_or_unknown_is_refused_at_once_while_two_versions_serve() {
    let fleet = VersionFleet::start(DAEMON, 3, &["a", "a", "b", "b"]).await;
    let stream = fleet.begin_streams(&[2], 1).remove(0);
    tokio::time::sleep(UNDER_WAY).await;
    fleet.entries[2].signal(Signal::KILL);
    let (caller, _) = stream.await.unwrap();
    let began = caller.began.clone().unwrap();
    let refused = [
        (1, String::new()),
        (1, "Resumes: id-none\r\n".to_owned()),
        (1, format!("Resumes: {}\r\n", "x".repeat(6_000))),
        (1, format!("Resumes: {began}\r\nResumes: id-none\r\n")),
        (2, format!("Resumes: {began}\r\n")),
    ];
    for (key, resumes) in refused {
        let mut caller = caller.clone().with_key(key);
        let end = caller.call_with(fleet.entries[1].callers(), &resumes).await;
        let CallerEnd::Refused(503, took, Some(_)) = end else { panic!("{resumes:.40}: {end:?}") };
        assert!(took < AT_ONCE, "{resumes:.40}: {took:?}");
    }
    let mut caller = caller;
    let repeated = format!("Resumes: {began}\r\nResumes: {began}\r\n");
    let end = caller.call_with(fleet.entries[1].callers(), &repeated).await;
    assert_eq!(end, CallerEnd::Complete);
    assert!(!caller.is_mixed(), "{:?}", caller.versions);
    let told = fleet.log_lines("stream origin");
    assert!(told.iter().any(|line| line.contains(&began) && line.contains("\"evidence\"")));
}
