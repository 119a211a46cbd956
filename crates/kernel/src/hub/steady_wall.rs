//! A time of day that does not jump.

use std::time::Duration;

use crate::time::TimePoint;

/// Difference in milliseconds up to which the wall clock is followed at once.
const FOLLOWED_MS: i64 = 250;

/// Time after which a jump of the wall clock is taken for right.
const JUMP_SPAN: Duration = Duration::from_secs(60);

/// Follows the wall clock through small corrections and past short jumps.
#[derive(Clone, Debug, Default)]
pub struct SteadyWall {
    /// Milliseconds to add to the monotonic clock; `None` before the first reading.
    offset: Option<i64>,
    /// When the wall clock was first seen to have jumped.
    jumped: Option<TimePoint>,
}

impl SteadyWall {
    /// Returns a clock that has read nothing.
    pub fn new() -> SteadyWall {
        SteadyWall::default()
    }

    /// Takes a reading of both clocks and returns the time of day in milliseconds since 1970.
    ///
    /// `now` must count while the host is suspended.
    pub fn observe(&mut self, now: TimePoint, wall_ms: u64) -> u64 {
        let read = wall_ms as i64 - now.as_millis() as i64;
        let offset = self.offset.unwrap_or(read);
        let follows = (read - offset).abs() <= FOLLOWED_MS;
        let lasts = !follows && now.since(*self.jumped.get_or_insert(now)) >= JUMP_SPAN;
        if follows || lasts {
            self.jumped = None;
            self.offset = Some(read);
        }
        now.as_millis().saturating_add_signed(self.offset.unwrap_or(offset))
    }
}
