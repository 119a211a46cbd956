//! Points in time on a monotonic clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

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
        TimePoint(millis * 1000)
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
        TimePoint(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = TimePoint;

    fn sub(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_sub(span.as_micros() as u64))
    }
}
