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

#[test]
fn promises_hold_under_random_faults() {
    soak::run(env!("CARGO_BIN_EXE_pimentorockd"));
}
