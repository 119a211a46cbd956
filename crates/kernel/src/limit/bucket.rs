//! A token bucket whose level can become negative.

use std::time::Duration;

use crate::time::TimePoint;

/// Capacity of a bucket, as time at the full rate.
pub const BURST_SPAN: Duration = Duration::from_secs(1);

/// Largest debt of a bucket, as time at the full rate.
const MAX_DEBT_SPAN: Duration = Duration::from_secs(30);

/// Longest retry delay that a refused caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// A token bucket whose level becomes negative if other entries, or requests whose estimate was too
/// low, have spent more than the bucket held.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpendBucket {
    /// Tokens that are added per second.
    rate: f64,
    /// Available tokens; negative if the bucket is in debt.
    level: f64,
    /// Time until which accrued tokens have been added; `None` for a new bucket.
    filled_at: Option<TimePoint>,
}

impl SpendBucket {
    /// Sets the rate per second, after adding the tokens that accrued at the old rate until `now`;
    /// a new bucket starts full.
    pub(crate) fn set_rate(&mut self, now: TimePoint, rate: f64) {
        self.advance(now);
        self.rate = rate;
        match self.filled_at {
            Some(_) => self.level = self.level.min(self.burst()),
            None => self.level = self.burst(),
        }
        self.filled_at = Some(self.filled_at.map_or(now, |at| at.max(now)));
    }

    /// Takes `amount` out of the bucket at `now`; a negative amount is added to the bucket.
    ///
    /// Tokens that accrued until `now` are added first. Otherwise a full bucket would later receive
    /// tokens for time that passed before the debit.
    pub(crate) fn debit(&mut self, now: TimePoint, amount: f64) {
        self.advance(now);
        let lowest = -self.rate * MAX_DEBT_SPAN.as_secs_f64();
        self.level = (self.level - amount).min(self.burst()).max(lowest);
    }

    /// Checks whether the bucket allows `cost`.
    ///
    /// `unreported_by_peers` is the amount that other entries have probably spent since their last
    /// reports. A cost above the bucket's capacity needs a full bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket will allow the cost.
    pub(crate) fn check(&self, cost: f64, unreported_by_peers: f64) -> Result<(), Duration> {
        if self.rate <= 0.0 {
            return Err(MAX_RETRY_AFTER);
        }
        let missing = cost.min(self.burst()) - (self.level - unreported_by_peers);
        if missing <= 0.0 {
            return Ok(());
        }
        let seconds = (missing / self.rate).min(MAX_RETRY_AFTER.as_secs_f64());
        Err(Duration::from_secs_f64(seconds))
    }

    /// Adds the tokens that accrued until `now`; a new bucket stays unchanged.
    fn advance(&mut self, now: TimePoint) {
        let Some(filled_at) = self.filled_at else { return };
        let gained = self.rate * now.since(filled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst());
        self.filled_at = Some(filled_at.max(now));
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_SPAN.as_secs_f64()).max(1.0)
    }
}
