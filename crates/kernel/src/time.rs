//! Points in time on a monotonic clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Latest wall-clock time that a record may state, in milliseconds since 1970: the end of the year 9999.
pub const MAX_WALL_MS: u64 = 253_402_300_799_999;

/// Returns the microseconds of `span`, or the largest number if there are more.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds of `span`, or the largest number if there are more.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds from `earlier_ms` to `later_ms`, negative if the order is the other one; a
/// time that the type cannot hold is cut.
pub fn signed_span_ms(later_ms: u64, earlier_ms: u64) -> i64 {
    let span = i128::from(later_ms) - i128::from(earlier_ms);
    i64::try_from(span).unwrap_or(if span < 0 { i64::MIN } else { i64::MAX })
}

/// A point in time on the monotonic clock of one process, in microseconds since an arbitrary
/// start.
///
/// The time points of different processes cannot be compared, so processes send each other a
/// remaining [`Duration`] instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The start of the clock.
    pub const ZERO: TimePoint = TimePoint(0);

    /// A point in time later than any that a process reaches.
    pub const FAR: TimePoint = TimePoint(u64::MAX / 2);

    /// Returns the point `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> TimePoint {
        TimePoint(micros)
    }

    /// Returns the point `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> TimePoint {
        TimePoint(millis.saturating_mul(1000))
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the start of the clock, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is after this point.
    pub fn since(self, earlier: TimePoint) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from this point until `later`, or zero if `later` is before this point.
    pub fn until(self, later: TimePoint) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for TimePoint {
    type Output = TimePoint;

    fn add(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = TimePoint;

    fn sub(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_sub(micros(span)))
    }
}
