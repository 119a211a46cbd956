//! Retries of failed requests.
//!
//! A request is retried only if it provably did not run or if it is idempotent, and only within its
//! deadline and a retry budget. Only completed requests replenish the budget, so retries stop once
//! the reserve is used up when the whole fleet fails.

mod budget;
mod decision;

pub use self::{
    budget::{RETRY_RESERVE, RETRY_SHARE, RetryBudget},
    decision::{MAX_ATTEMPTS, MAX_UNREACHED, RetryCase, RetryDecision, decide},
};
