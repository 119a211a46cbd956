//! Whether a request that failed is sent again.
//!
//! A request is sent again only if it was proved not to have run or is idempotent, within its
//! deadline, and under a budget that completions alone fill: when the whole fleet fails,
//! retries end with the reserve.

mod budget;
mod decision;

pub use self::{
    budget::{RETRY_RESERVE, RETRY_SHARE, RetryBudget},
    decision::{MAX_ATTEMPTS, MAX_UNREACHED, RetryCase, RetryDecision, decide},
};
