//! The monotonic and the wall clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pimentorock_kernel::time::TimePoint;

/// Converts the system's monotonic clock to the kernel's time points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    start: Instant,
    /// Wall clock at the start, in milliseconds since 1970.
    start_wall_ms: u64,
}

impl ProcessClock {
    /// Returns a clock whose time points count from the current time.
    pub(crate) fn new() -> ProcessClock {
        ProcessClock { start: Instant::now(), start_wall_ms: wall_ms() }
    }

    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> TimePoint {
        TimePoint::from_micros(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the incarnation of the process: the wall clock at its start, in milliseconds.
    pub(crate) fn incarnation(&self) -> u64 {
        self.start_wall_ms
    }
}

/// Returns the wall clock in milliseconds since 1970, or 0 if it is before 1970.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
