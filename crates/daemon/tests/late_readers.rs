//! Entries that begin to read the store for others.

// These modules are shared with the tests of `platform/`, which use more of their functions.
#[allow(dead_code)]
#[path = "../../../platform/tests/changes/mod.rs"]
mod changes;
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

use std::sync::{Mutex, PoisonError};

/// Held while a fleet runs, as all fleets of a process have the same addresses.
static FLEET_ADDRESSES: Mutex<()> = Mutex::new(());

/// Guards against changes that wait until a reader has read versions again that it got from others.
#[test]
fn changes_take_effect_in_time_when_an_entry_on_a_slow_link_becomes_the_only_reader() {
    let _addresses = FLEET_ADDRESSES.lock().unwrap_or_else(PoisonError::into_inner);
    changes::late_reader::run(env!("CARGO_BIN_EXE_pimentorockd"));
}

/// Guards against changes that wait for the processor of a reader that has a small share of one.
// Shares of a processor are those of an optimized program.
#[cfg(not(debug_assertions))]
#[test]
fn changes_take_effect_in_time_when_an_entry_on_a_small_host_becomes_the_only_reader() {
    let _addresses = FLEET_ADDRESSES.lock().unwrap_or_else(PoisonError::into_inner);
    changes::small_hosts::run(env!("CARGO_BIN_EXE_pimentorockd"));
}
