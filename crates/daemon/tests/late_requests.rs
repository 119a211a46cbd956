//! Requests that reach an entry late in its planned stop, or whose answers take longer than what is left of it.

// These modules are shared with the tests of `platform/`, which use more of their functions.
#[allow(dead_code)]
#[path = "../../../platform/tests/soak/entry_process.rs"]
mod entry_process;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/fake_platform.rs"]
mod fake_platform;
#[path = "../../../platform/tests/stops/late_requests.rs"]
mod late_requests;
#[allow(dead_code)]
#[path = "../../../platform/tests/hosted/scripted_server.rs"]
mod scripted_server;

const DAEMON: &str = env!("CARGO_BIN_EXE_pimentorockd");
