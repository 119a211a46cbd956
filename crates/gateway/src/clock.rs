//! Monotonic and wall-clock time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pimentorock_kernel::time::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the host booted, which includes the time while the host was suspended.
pub(crate) fn now() -> TimePoint {
    let time = clock_gettime(ClockId::Boottime);
    TimePoint::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the clock is before
/// the epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}

/// Returns a pseudo-random number from 0 to 1, derived from the current time.
pub(crate) fn random_fraction() -> f64 {
    (now().as_micros().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64 / f64::from(u32::MAX)
}
