//! The maximum of a count over a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::time::TimePoint;

/// Default length of the window. An entry that is cut off from the others sees a low count, but it
/// must not take over their parts of a shared limit. The window of such a limit is shorter than this
/// one.
const WINDOW_SPAN: Duration = Duration::from_secs(30);

/// Tracks the highest count over a sliding window, by default of 30 s.
#[derive(Clone, Debug)]
pub struct SlidingMaximum {
    /// Counts that are higher than all later ones, with their times, in descending order.
    candidates: VecDeque<(TimePoint, u32)>,
    span: Duration,
}

impl Default for SlidingMaximum {
    fn default() -> SlidingMaximum {
        SlidingMaximum::new()
    }
}

impl SlidingMaximum {
    /// Returns a maximum without counts.
    pub fn new() -> SlidingMaximum {
        SlidingMaximum::with_span(WINDOW_SPAN)
    }

    /// Returns a maximum without counts over a window of this length.
    pub fn with_span(span: Duration) -> SlidingMaximum {
        SlidingMaximum { candidates: VecDeque::new(), span }
    }

    /// Records a count and returns the highest count of the window.
    pub fn note(&mut self, now: TimePoint, count: u32) -> u32 {
        while self.candidates.back().is_some_and(|(_, known)| *known <= count) {
            self.candidates.pop_back();
        }
        self.candidates.push_back((now, count));
        while self.candidates.front().is_some_and(|(at, _)| now.since(*at) >= self.span) {
            self.candidates.pop_front();
        }
        self.candidates.front().map_or(count, |(_, count)| *count)
    }
}
