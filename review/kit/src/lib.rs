//! Stand-ins and helpers for the cases of the review, with the standard library only.

pub mod entries;
pub mod http;
pub mod record;
pub mod server;
pub mod store;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Reports whether the disruption shall take place: the first argument, which `run.sh` takes from
/// `TROUBLE`; `0` turns it off.
pub fn trouble() -> bool {
    std::env::args().nth(1).is_none_or(|value| value != "0")
}

/// Waits until `done` holds, and returns whether it did within `seconds`.
pub fn wait_for(seconds: f64, mut done: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + std::time::Duration::from_secs_f64(seconds);
    while std::time::Instant::now() < end {
        if done() {
            return true;
        }
        pause(20);
    }
    false
}

/// Sleeps for `ms` milliseconds.
pub fn pause(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}
