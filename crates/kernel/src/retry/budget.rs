//! The budget that retries are paid from.

/// Retries that each completion earns.
pub const RETRY_SHARE: f64 = 0.1;

/// Most retries that are saved up.
pub const RETRY_RESERVE: f64 = 20.0;

/// A budget for retries as a share of completions.
///
/// Over any span, retries are at most [`RETRY_RESERVE`] plus [`RETRY_SHARE`] times the
/// completions in it.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// Returns a budget with a full reserve.
    pub fn new() -> RetryBudget {
        RetryBudget::with_limits(RETRY_SHARE, RETRY_RESERVE)
    }

    /// Returns a budget with a full reserve, with limits of its own.
    pub fn with_limits(share: f64, reserve: f64) -> RetryBudget {
        RetryBudget { share, reserve, balance: reserve }
    }

    /// Changes the limits; what is saved up stays, as far as the new reserve goes.
    pub fn set_limits(&mut self, share: f64, reserve: f64) {
        self.share = share;
        self.reserve = reserve;
        self.balance = self.balance.min(reserve);
    }

    /// Notes the completion of a request.
    pub fn completed(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Pays for one retry; returns whether the balance allowed it.
    pub fn pay(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the retries that are saved up.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
