//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt;

/// Exponential backoff with jitter.
///
/// The pause before retry *n*, counted from 0, is drawn uniformly from the upper half of
/// `min(first * 2^n, max)`. The jitter keeps processes that failed together from retrying at the
/// same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    first: Duration,
    max: Duration,
    attempt: u32,
}

impl Default for RetryBackoff {
    fn default() -> RetryBackoff {
        RetryBackoff::new(Duration::from_millis(100), Duration::from_secs(5))
    }
}

impl RetryBackoff {
    /// Returns a backoff whose pauses grow from `first` to at most `max`.
    pub fn new(first: Duration, max: Duration) -> RetryBackoff {
        RetryBackoff { first, max, attempt: 0 }
    }

    /// Restarts the backoff at the shortest pause, after a successful call.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }

    /// Returns the next pause and doubles the range of the following one, up to the maximum.
    pub fn next_pause(&mut self) -> Duration {
        let full = self.first.saturating_mul(1 << self.attempt.min(16)).min(self.max);
        self.attempt = self.attempt.saturating_add(1);
        full.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
