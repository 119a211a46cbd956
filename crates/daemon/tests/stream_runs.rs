//! Streams at endpoints that are started again under their names and addresses with other software.

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

use versions::{CallerEnd, StreamCaller, VersionFleet};

const DAEMON: &str = env!("CARGO_BIN_EXE_pimentorockd");

/// Streams of one test.
const STREAMS: usize = 48;

/// Time after which the entries of a fleet know each other, and no span of its start is open.
const SETTLED: Duration = Duration::from_secs(2);

/// Events after which a caller closes its connection.
const FEW_EVENTS: usize = 3;

/// Time for which an endpoint is down.
const DOWNTIME: Duration = Duration::from_millis(600);

/// Time between two tries of a caller, and the number of these.
const TRY_PERIOD: Duration = Duration::from_millis(100);
const TRIES: usize = 30;

/// How an endpoint ends and comes back.
#[derive(Clone, Copy, Debug)]
struct Return {
    /// Whether its connections stay open and silent when it ends.
    is_dark: bool,
    /// Time after which the store lists the new run; `None` if it does before the endpoint accepts connections.
    unlisted: Option<Duration>,
    /// Whether the endpoint's report states its start.
    states_born: bool,
}

impl Return {
    /// Ends an endpoint, takes one of its streams up at each entry meanwhile, and starts it again.
    async fn play(
        self,
        fleet: &mut VersionFleet,
        index: usize,
        version: &'static str,
        callers: &[StreamCaller],
    ) {
        match self.is_dark {
            true => fleet.endpoints[index].server.halt_silently(),
            false => fleet.endpoints[index].server.halt(),
        }
        for (caller, entry) in callers.iter().zip(&fleet.entries) {
            let (mut caller, address) = (caller.clone(), entry.callers());
            assert!(matches!(caller.call(address).await, CallerEnd::Refused(..)));
        }
        tokio::time::sleep(DOWNTIME).await;
        self.start_again(fleet, index, version);
    }

    /// Starts an endpoint that has ended again; the store lists it later if it has to.
    fn start_again(self, fleet: &mut VersionFleet, index: usize, version: &'static str) {
        match self.unlisted {
            None => fleet.list_and_start_again(index, version),
            Some(unlisted) => {
                fleet.endpoints[index].start_again(version);
                let listing = fleet.listing(index);
                tokio::spawn(async move {
                    tokio::time::sleep(unlisted).await;
                    listing();
                });
            }
        }
    }
}

/// Takes streams up at all entries until they go on or are refused too often; callers leave after some more
/// events.
async fn take_up(fleet: &VersionFleet, callers: Vec<StreamCaller>) -> Vec<StreamCaller> {
    let mut taken_up = Vec::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let address = fleet.entries[number % fleet.entries.len()].callers();
        let mut caller = caller.with_events(2 * FEW_EVENTS);
        taken_up.push(tokio::spawn(async move {
            for _ in 0..TRIES {
                if !matches!(caller.call(address).await, CallerEnd::Refused(..)) {
                    break;
                }
                tokio::time::sleep(TRY_PERIOD).await;
            }
            caller
        }));
    }
    let mut callers = Vec::new();
    for caller in taken_up {
        callers.push(caller.await.unwrap());
    }
    callers
}

/// Checks that no caller holds events of two versions.
fn check_versions(callers: &[StreamCaller]) {
    let mixed: Vec<_> = callers.iter().filter(|caller| caller.is_mixed()).collect();
    assert!(
        mixed.is_empty(),
        "{} of {} streams hold events of two versions, such as {:?}",
        mixed.len(),
        callers.len(),
        mixed[0].versions
    );
}

/// Begins streams, of which those at the version `a` are returned.
async fn begin_at_a(fleet: &VersionFleet) -> Vec<StreamCaller> {
    let mut callers = fleet.begin_short_streams(&[0, 1, 2], STREAMS, FEW_EVENTS).await;
    callers.retain(|caller| caller.versions[0] == "a");
    assert!(callers.len() >= STREAMS / 8, "only {} streams began at a", callers.len());
    callers
}

/// The only endpoint of the version `a` is back with the version `b` when streams of `a` are taken up.
async fn play_take_ups(how: Return) {
    let mut fleet = VersionFleet::start_with(DAEMON, 3, &["a", "b", "b"], how.states_born).await;
    tokio::time::sleep(SETTLED).await;
    let callers = begin_at_a(&fleet).await;
    how.play(&mut fleet, 0, "b", &callers).await;
    check_versions(&take_up(&fleet, callers).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn take_ups_do_not_join_an_endpoint_that_is_back_with_another_version() {
    play_take_ups(Return { is_dark: false, unlisted: None, states_born: true }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn take_ups_do_not_join_an_endpoint_that_is_back_and_listed_later() {
    let unlisted = Some(Duration::from_millis(500));
    play_take_ups(Return { is_dark: false, unlisted, states_born: true }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn take_ups_do_not_join_an_endpoint_that_is_back_and_states_no_start() {
    play_take_ups(Return { is_dark: false, unlisted: None, states_born: false }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn take_ups_do_not_join_an_endpoint_that_is_back_listed_later_and_states_no_start() {
    let unlisted = Some(Duration::from_millis(500));
    play_take_ups(Return { is_dark: false, unlisted, states_born: false }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn take_ups_do_not_join_an_endpoint_that_is_back_after_a_silent_end() {
    let unlisted = Some(Duration::from_millis(500));
    play_take_ups(Return { is_dark: true, unlisted, states_born: true }).await;
}

/// An endpoint of the version `a` is back with the version `b`, unlisted, when streams break at the other one.
async fn play_resumes(how: Return) {
    let mut fleet = VersionFleet::start_with(DAEMON, 3, &["a", "a", "b"], how.states_born).await;
    tokio::time::sleep(SETTLED).await;
    fleet.endpoints[1].server.halt();
    tokio::time::sleep(DOWNTIME / 2).await;
    let streams = fleet.begin_streams(&[0, 1, 2], STREAMS);
    tokio::time::sleep(DOWNTIME / 2).await;
    how.start_again(&mut fleet, 1, "b");
    tokio::time::sleep(DOWNTIME / 8).await;
    fleet.endpoints[0].server.halt();
    let mut callers = Vec::new();
    for stream in streams {
        callers.push(stream.await.unwrap().0);
    }
    check_versions(&callers);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_goes_on_at_an_endpoint_that_is_back_with_another_version() {
    let unlisted = Some(Duration::from_millis(1_500));
    play_resumes(Return { is_dark: false, unlisted, states_born: true }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_goes_on_at_an_endpoint_that_is_back_and_states_no_start() {
    let unlisted = Some(Duration::from_millis(1_500));
    play_resumes(Return { is_dark: false, unlisted, states_born: false }).await;
}

/// Streams begin at an endpoint that is back with the version `b` and not listed yet, and are taken up once it is.
async fn play_starts(how: Return) {
    let mut fleet = VersionFleet::start_with(DAEMON, 3, &["a", "a"], how.states_born).await;
    tokio::time::sleep(SETTLED).await;
    fleet.endpoints[0].server.halt();
    tokio::time::sleep(DOWNTIME).await;
    how.start_again(&mut fleet, 0, "b");
    let callers = fleet.begin_short_streams(&[0, 1, 2], STREAMS, FEW_EVENTS).await;
    let at_b = callers.iter().filter(|caller| caller.versions[0] == "b").count();
    tokio::time::sleep(SETTLED).await;
    let callers = take_up(&fleet, callers).await;
    check_versions(&callers);
    let went_on = callers.iter().filter(|caller| caller.went_on > 0).count();
    assert!(went_on + at_b >= STREAMS / 2, "{went_on} streams went on, {at_b} began at b");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_begin_at_an_endpoint_that_is_back_go_on_at_its_version() {
    let unlisted = Some(Duration::from_millis(800));
    play_starts(Return { is_dark: false, unlisted, states_born: true }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_begin_at_an_endpoint_that_is_back_and_states_no_start_are_not_joined() {
    let unlisted = Some(Duration::from_millis(800));
    play_starts(Return { is_dark: false, unlisted, states_born: false }).await;
}

/// The only endpoint of the version `a` is back with the same version.
async fn play_same_version(states_born: bool) {
    let mut fleet = VersionFleet::start_with(DAEMON, 3, &["a", "b", "b"], states_born).await;
    tokio::time::sleep(SETTLED).await;
    let callers = begin_at_a(&fleet).await;
    let how = Return { is_dark: false, unlisted: Some(DOWNTIME / 2), states_born };
    how.play(&mut fleet, 0, "a", &callers).await;
    let callers = take_up(&fleet, callers).await;
    check_versions(&callers);
    let went_on = callers.iter().filter(|caller| caller.went_on > 0).count();
    assert!(2 * went_on >= callers.len(), "{went_on} of {} streams went on", callers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_an_endpoint_that_is_back_with_the_same_version() {
    play_same_version(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_an_endpoint_that_is_back_with_the_same_version_and_states_no_start() {
    play_same_version(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_are_asked_for_their_runs_once_a_connection() {
    let fleet = VersionFleet::start(DAEMON, 1, &["a"]).await;
    let streams = fleet.begin_streams(&[0], STREAMS / 4);
    for stream in streams {
        assert_eq!(stream.await.unwrap().1, CallerEnd::Complete);
    }
    let again = fleet.begin_streams(&[0], STREAMS / 4);
    for stream in again {
        assert_eq!(stream.await.unwrap().1, CallerEnd::Complete);
    }
    let server = &fleet.endpoints[0].server;
    assert!(server.reports() <= server.connections(), "{} reports", server.reports());
    assert!(server.reports() <= STREAMS / 4, "{} reports", server.reports());
}
