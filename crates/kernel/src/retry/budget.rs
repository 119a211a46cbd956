//! A retry budget that is replenished by completed requests.

/// Retries that each completed request adds to the budget.
pub const RETRY_SHARE: f64 = 0.1;

/// Largest number of retries that the budget can hold.
pub const RETRY_RESERVE: f64 = 20.0;

/// Limits retries to a share of completed requests.
///
/// Over any span of time, the number of retries is at most [`RETRY_RESERVE`] plus [`RETRY_SHARE`]
/// times the number of requests that completed in this span.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// Returns a full budget with the limits [`RETRY_SHARE`] and [`RETRY_RESERVE`].
    pub fn new() -> RetryBudget {
        RetryBudget::with_limits(RETRY_SHARE, RETRY_RESERVE)
    }

    /// Returns a full budget in which each completed request adds `share` retries, up to `reserve`.
    pub fn with_limits(share: f64, reserve: f64) -> RetryBudget {
        RetryBudget { share, reserve, balance: reserve }
    }

    /// Changes the limits; the balance stays, but is capped at the new reserve.
    pub fn set_limits(&mut self, share: f64, reserve: f64) {
        self.share = share;
        self.reserve = reserve;
        self.balance = self.balance.min(reserve);
    }

    /// Adds the share of one completed request to the balance.
    pub fn completed(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Takes one retry out of the budget and reports whether the balance allowed it.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the number of retries that the budget holds.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
