//! The time that each step of renewing a copy of the store may take.

use std::time::Duration;

/// Longest time between two periodic reads of the root hub, with the time of the read itself.
const ROOT_READ_TIME: Duration = Duration::from_millis(800);

/// Shortest bound that is accepted.
const MIN_BOUND: Duration = Duration::from_millis(100);

/// Longest bound that is accepted.
const MAX_BOUND: Duration = Duration::from_secs(60);

/// Age from which on a copy is too old. This and the following constants are fractions of the bound.
///
/// The sum of `OLD_AGE`, `ATTEMPT_SPREAD` and twice the steps of a search is below 1, and so is that of
/// `ATTEMPT_PERIOD`, `SEARCH_PERIOD` and twice the steps of a search. A search takes one `SEARCH_STEP` each
/// time that the number of asked entries doubles; it counts twice as a copy may pass through one entry.
const OLD_AGE: f64 = 0.5;

/// Time within which all entries with old copies try the store.
const ATTEMPT_SPREAD: f64 = 0.1;

/// Time from one attempt of an entry to its next one.
const ATTEMPT_PERIOD: f64 = 0.4;

/// Time after which an attempt without an answer ends.
const ATTEMPT_TIME: f64 = 0.2;

/// Time between two steps of a search.
const SEARCH_STEP: f64 = 0.025;

/// Time from the end of a search to the next one.
const SEARCH_PERIOD: f64 = 0.25;

/// Longest wait of a periodic read.
const READ_WAIT: f64 = 0.25;

/// Longest time between two periodic reads that do not wait.
const LIST_PERIOD: f64 = 0.2;

/// Divides the bound on the age of an entry's copy of the store among the steps by which it is renewed.
///
/// A change takes effect everywhere within the bound if no copy ever grows older than it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeBudget {
    bound: Duration,
}

impl Default for AgeBudget {
    /// Returns a budget of 6 s, the time within which changes take effect unless a deployment states its
    /// own.
    fn default() -> AgeBudget {
        AgeBudget::new(Duration::from_secs(6))
    }
}

impl AgeBudget {
    /// Returns the budget for a bound, which is clamped to the range from 100 ms to 60 s.
    pub fn new(bound: Duration) -> AgeBudget {
        AgeBudget { bound: bound.clamp(MIN_BOUND, MAX_BOUND) }
    }

    /// Returns the age that no copy is to exceed.
    pub fn bound(self) -> Duration {
        self.bound
    }

    /// Returns the longest time between two exchanges with a hub.
    pub fn max_exchange_period(self) -> Duration {
        self.part(OLD_AGE).saturating_sub(ROOT_READ_TIME) / 2
    }

    /// Returns the age from which on a copy is too old, with this time between two exchanges.
    ///
    /// The copies of a fleet without faults stay younger.
    pub fn old_age(self, exchange_period: Duration) -> Duration {
        self.part(OLD_AGE).min(ROOT_READ_TIME + 2 * exchange_period)
    }

    /// Returns the time within which all entries with old copies have tried to read the store.
    pub fn attempt_spread(self) -> Duration {
        self.part(ATTEMPT_SPREAD)
    }

    /// Returns the time from one attempt of an entry to its next one.
    pub fn attempt_period(self) -> Duration {
        self.part(ATTEMPT_PERIOD)
    }

    /// Returns the time after which an attempt without an answer ends.
    pub fn attempt_time(self) -> Duration {
        self.part(ATTEMPT_TIME)
    }

    /// Returns the time between two steps of a search for a newer copy at other entries.
    pub fn search_step(self) -> Duration {
        self.part(SEARCH_STEP)
    }

    /// Returns the time from the end of a search to the next one.
    pub fn search_period(self) -> Duration {
        self.part(SEARCH_PERIOD)
    }

    /// Returns the longest time for which a periodic read waits for new records.
    pub fn max_read_wait(self) -> Duration {
        self.part(READ_WAIT)
    }

    /// Returns the longest time between two periodic reads that do not wait.
    pub fn max_list_period(self) -> Duration {
        self.part(LIST_PERIOD)
    }

    fn part(self, fraction: f64) -> Duration {
        self.bound.mul_f64(fraction)
    }
}
