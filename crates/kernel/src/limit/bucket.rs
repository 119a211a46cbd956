//! A token bucket whose level can become negative.

use std::time::Duration;

use crate::time::TimePoint;

/// Capacity of a bucket, as time at the full rate.
pub const BURST_SPAN: Duration = Duration::from_secs(1);

/// Largest debt of a bucket, as time at the full rate.
const MAX_DEBT_SPAN: Duration = Duration::from_secs(30);

/// Longest time to the next attempt that is reported to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// A token bucket whose level becomes negative if other entries have spent more than it held.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpendBucket {
    /// Tokens that are added per second.
    rate: f64,
    /// Available tokens; negative if the bucket is in debt.
    level: f64,
    /// Time up to which the bucket is filled; `None` for a new bucket.
    filled_at: Option<TimePoint>,
}

impl SpendBucket {
    /// Fills the bucket up to `now` and sets its rate per second; a new bucket starts full.
    pub(crate) fn fill(&mut self, now: TimePoint, rate: f64) {
        self.refill(now);
        self.rate = rate;
        match self.filled_at {
            Some(_) => self.level = self.level.min(self.burst()),
            None => self.level = self.burst(),
        }
        self.filled_at = Some(self.filled_at.map_or(now, |at| at.max(now)));
    }

    /// Takes `amount` out of the bucket at `now`; a negative amount is added.
    ///
    /// The bucket is filled up to `now` first. Otherwise the time before the debit would refill
    /// what the debit takes from a full bucket.
    pub(crate) fn debit(&mut self, now: TimePoint, amount: f64) {
        self.refill(now);
        let lowest = -self.rate * MAX_DEBT_SPAN.as_secs_f64();
        self.level = (self.level - amount).min(self.burst()).max(lowest);
    }

    /// Checks whether the bucket allows `cost`.
    ///
    /// `unreported` is the amount that other entries have probably spent since their last reports.
    /// A cost above the bucket's capacity needs a full bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket will allow the cost.
    pub(crate) fn check(&self, cost: f64, unreported: f64) -> Result<(), Duration> {
        if self.rate <= 0.0 {
            return Err(MAX_RETRY_AFTER);
        }
        let missing = cost.min(self.burst()) - (self.level - unreported);
        if missing <= 0.0 {
            return Ok(());
        }
        let seconds = (missing / self.rate).min(MAX_RETRY_AFTER.as_secs_f64());
        Err(Duration::from_secs_f64(seconds))
    }

    fn refill(&mut self, now: TimePoint) {
        let Some(filled_at) = self.filled_at else { return };
        let gained = self.rate * now.since(filled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst());
        self.filled_at = Some(filled_at.max(now));
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_SPAN.as_secs_f64()).max(1.0)
    }
}
