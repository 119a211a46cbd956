//! The fault soak of the hosted mode, with the real daemon.

// These modules are shared with the tests of `platform/`, which use more of their functions.
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/endless_bytes.rs"]
mod endless_bytes;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/fake_platform.rs"]
mod fake_platform;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/scripted_server.rs"]
mod scripted_server;
#[path = "../../../platform/tests/soak/mod.rs"]
mod soak;

use std::{net::SocketAddr, thread::sleep, time::Duration};

use soak::{DeadlyCause, EndpointRun, SoakRecorder, StreamCaller};

const RUN: EndpointRun = EndpointRun { endpoint: 0, run: 0 };

/// Returns the identifier of a try of a stream caller at an entry.
fn stream_id(entry: usize) -> String {
    let mut caller = StreamCaller::new();
    caller.set_entry(entry);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    tokio::runtime::Runtime::new().unwrap().block_on(caller.call(nowhere));
    caller.attempts.remove(0)
}

/// Records requests of stream callers, which come from these entries, to an endpoint that asked an entry for
/// a rest, and returns the violations.
fn rest_violations(resting: usize, entries: [usize; 3]) -> Vec<String> {
    let recorder = SoakRecorder::default();
    recorder.record_rest(&stream_id(resting), RUN, Some(Duration::from_secs(30)));
    sleep(Duration::from_millis(600));
    entries.iter().for_each(|entry| recorder.record_arrival(&stream_id(*entry), RUN, None));
    recorder.violations(&[], &[])
}

#[test]
fn requests_of_stream_callers_at_other_entries_do_not_count_as_those_of_a_resting_one() {
    assert_eq!(rest_violations(0, [1, 1, 1]), Vec::<String>::new());
    assert_eq!(rest_violations(0, [0, 0, 0]).len(), 1);
}

#[test]
fn a_request_whose_identifier_names_no_entry_is_a_violation() {
    let recorder = SoakRecorder::default();
    recorder.record_arrival("id-7", RUN, None);
    assert_eq!(recorder.violations(&[], &[]).len(), 1);
}

/// Records three arrivals of the deadly request that end a run each, or are refused, and then four more after
/// the time within which the cause must be known.
fn deadly_violations(are_refused: bool) -> Vec<String> {
    let recorder = SoakRecorder::default();
    let arrive = |run: u32| {
        let run = EndpointRun { endpoint: 0, run };
        recorder.record_arrival("e0-deadly-0", run, Some(DeadlyCause::Request));
        if !are_refused {
            recorder.record_request_crash(run);
        }
    };
    (0..3).for_each(arrive);
    sleep(Duration::from_millis(3_100));
    (3..7).for_each(arrive);
    recorder.violations(&[], &[])
}

#[test]
fn refusals_of_a_deadly_request_are_no_crashes() {
    assert_eq!(deadly_violations(true), Vec::<String>::new());
    assert_eq!(deadly_violations(false).len(), 1);
}

#[test]
fn promises_hold_under_random_faults() {
    soak::run(env!("CARGO_BIN_EXE_pimentorockd"));
}
