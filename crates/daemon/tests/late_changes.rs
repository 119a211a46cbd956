//! Changes of the store that entries must know in time while the store refuses most of them.

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

use changes::ChangeWorld;

/// Guards against an older configuration, a withdrawn key or an endpoint that leaves in use after their bounds.
#[test]
fn changes_take_effect_in_time_while_the_store_refuses_most_entries() {
    let world = ChangeWorld { link_rates: &[None], filler_routes: &[0], zones: &["a"] };
    changes::run(env!("CARGO_BIN_EXE_pimentorockd"), world);
}
