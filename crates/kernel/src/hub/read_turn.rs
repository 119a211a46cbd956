//! When an entry tries to read a store that may not answer.

use std::time::Duration;

use crate::{
    hub::{AgeBudget, ReadRole},
    time::TimePoint,
};

/// Time between two attempts of the root hub, or of a reader, while the store does not answer.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// Shortest time between two checks whether an attempt is due.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Longest time between two checks of an entry whose copy is current.
const MAX_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Determines when an entry reads one topic of the store.
///
/// The attempts of an entry alternate between two topics: each topic has its turn in every second period,
/// and an attempt that succeeds makes the entry a reader of both.
#[derive(Clone, Copy, Debug)]
pub struct ReadTurn {
    /// Time of the next attempt of a substitute; `None` if this entry is none.
    next: Option<TimePoint>,
    /// Whether nothing was tried since the start of the process.
    is_first: bool,
    /// Whether the topic is the second of those that take turns.
    is_second: bool,
}

impl Default for ReadTurn {
    fn default() -> ReadTurn {
        ReadTurn::new()
    }
}

impl ReadTurn {
    /// Returns the turn of a process that has just started. Its first read is due at once.
    pub fn new() -> ReadTurn {
        ReadTurn { next: None, is_first: true, is_second: false }
    }

    /// Returns the turn of the topic that is tried in the periods between those of the first topic.
    pub fn with_second_place(self) -> ReadTurn {
        ReadTurn { is_second: true, ..self }
    }

    /// Reports whether an entry with this role reads now.
    ///
    /// `old_since` is the time at which the entry's copy turned too old, and `place` the entry's place in
    /// the order of attempts, from 0 to 1.
    pub fn is_due(
        &mut self,
        now: TimePoint,
        role: ReadRole,
        old_since: TimePoint,
        place: f64,
        budget: AgeBudget,
    ) -> bool {
        if std::mem::take(&mut self.is_first) {
            return true;
        }
        match role {
            ReadRole::Root | ReadRole::Reader => {
                self.next = None;
                true
            }
            ReadRole::Served => {
                self.next = None;
                false
            }
            ReadRole::Substitute => {
                let first = || {
                    let wait =
                        if self.is_second { budget.attempt_period() } else { Duration::ZERO };
                    old_since + budget.attempt_spread().mul_f64(place) + wait
                };
                now >= *self.next.get_or_insert_with(first)
            }
        }
    }

    /// Notes that the attempt which began at `began` failed, and returns the time from then on until the
    /// next step.
    pub fn note_failure(
        &mut self,
        began: TimePoint,
        role: ReadRole,
        budget: AgeBudget,
    ) -> Duration {
        if role == ReadRole::Substitute {
            // After the first read of a process, which both topics begin together, the second takes its place.
            let periods = if self.is_second && self.next.is_none() { 1 } else { 2 };
            self.next = Some(began + periods * budget.attempt_period());
        }
        RETRY_PERIOD
    }

    /// Returns the time until the next check of an entry that does not read now and whose copy turns too
    /// old at `old_since`.
    pub fn until_check(&self, now: TimePoint, old_since: TimePoint) -> Duration {
        let next = self.next.unwrap_or(old_since);
        next.since(now).clamp(MIN_CHECK_PERIOD, MAX_CHECK_PERIOD)
    }
}
