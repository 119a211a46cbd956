//! A wall clock without short jumps.

use std::time::Duration;

use crate::time::{TimePoint, signed_span_ms};

/// Largest step of the wall clock, in milliseconds, that is followed at once.
const MAX_STEP_MS: u64 = 250;

/// Time for which a jump must last before it is accepted as a correction.
const MIN_JUMP_SPAN: Duration = Duration::from_secs(60);

/// Filters short jumps out of the wall clock and follows small corrections.
#[derive(Clone, Debug, Default)]
pub struct ClockFilter {
    /// Milliseconds to add to the monotonic clock to get the time of day; `None` before the first
    /// reading.
    offset: Option<i64>,
    /// Time at which the current jump was first observed; `None` if there is none.
    jumped_at: Option<TimePoint>,
}

impl ClockFilter {
    /// Returns a filter without readings.
    pub fn new() -> ClockFilter {
        ClockFilter::default()
    }

    /// Processes a reading of both clocks and returns the time of day in milliseconds since 1970.
    ///
    /// `now` must come from a monotonic clock that also advances while the host is suspended.
    pub fn observe(&mut self, now: TimePoint, wall_ms: u64) -> u64 {
        let measured = signed_span_ms(wall_ms, now.as_millis());
        let offset = self.offset.unwrap_or(measured);
        let follows = measured.abs_diff(offset) <= MAX_STEP_MS;
        let lasts = !follows && now.since(*self.jumped_at.get_or_insert(now)) >= MIN_JUMP_SPAN;
        if follows || lasts {
            self.jumped_at = None;
            self.offset = Some(measured);
        }
        now.as_millis().saturating_add_signed(self.offset.unwrap_or(offset))
    }
}
