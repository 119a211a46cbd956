//! When an entry tries to read a store that may not answer.

use std::time::Duration;

use crate::{hub::ReadRole, time::TimePoint};

/// Time between two attempts of the root hub, or of a reader, while the store does not answer.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// Mean time between two attempts of all substitutes together. Each of them waits for as many such
/// times as there are entries, so that the attempts do not grow with the fleet.
const ATTEMPT_SPACING: Duration = Duration::from_millis(250);

/// Number of entries above which the time between two attempts of a substitute no longer grows, so that
/// a wrong count does not keep an entry from the store.
const MAX_COUNTED_ENTRIES: usize = 4_096;

/// Determines when an entry reads one topic of the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadTurn {
    /// Time of the next attempt of a substitute; `None` if this entry is none.
    next: Option<TimePoint>,
    /// Whether nothing was tried since the start of the process.
    is_first: bool,
}

impl Default for ReadTurn {
    fn default() -> ReadTurn {
        ReadTurn::new()
    }
}

impl ReadTurn {
    /// Returns the turn of a process that has just started. Its first read is due at once.
    pub fn new() -> ReadTurn {
        ReadTurn { next: None, is_first: true }
    }

    /// Returns the turn of a process that reads only as its role demands.
    pub fn without_first_read() -> ReadTurn {
        ReadTurn { next: None, is_first: false }
    }

    /// Reports whether an entry with this role in a fleet of `entries` reads now; `place` is the entry's
    /// place in the order of the first attempts, from 0 to 1.
    pub fn is_due(&mut self, now: TimePoint, role: ReadRole, entries: usize, place: f64) -> bool {
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
                // The first turns are spread from the beginning, so that one of them comes soon.
                let first = || now + turn_period(entries).mul_f64(place);
                now >= *self.next.get_or_insert_with(first)
            }
        }
    }

    /// Notes an attempt that failed, and returns the time until the next step.
    pub fn note_failure(
        &mut self,
        now: TimePoint,
        role: ReadRole,
        entries: usize,
        random: f64,
    ) -> Duration {
        if role == ReadRole::Substitute {
            self.next = Some(now + turn_period(entries).mul_f64(0.5 + random));
        }
        RETRY_PERIOD
    }
}

/// Returns the mean time between two turns of a substitute.
fn turn_period(entries: usize) -> Duration {
    ATTEMPT_SPACING * entries.min(MAX_COUNTED_ENTRIES) as u32
}
