//! The decision whether a request is sent again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{reason::DecisionReason, request::RunOutcome, retry::RetryBudget, route::mix};

/// Most times one request reaches an endpoint.
pub const MAX_ATTEMPTS: u32 = 4;

/// Most attempts that reach no endpoint: each costs a connection that is refused or not answered.
pub const MAX_UNREACHED: u32 = 8;

/// Mean delay before the second attempt; each further one doubles it.
const BASE_DELAY: Duration = Duration::from_millis(20);

/// What is known of an attempt that did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryCase {
    /// How the attempt ended.
    pub outcome: RunOutcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a failure that an endpoint answered is worth another endpoint.
    pub retry_failures: bool,
    /// Whether bytes of an answer went to the caller.
    pub answer_begun: bool,
    /// Whether anything of the attempt may have reached an endpoint.
    pub reached: bool,
    /// Attempts so far that may have reached an endpoint.
    pub attempts: u32,
    /// Attempts so far that reached none.
    pub unreached: u32,
    /// Time left to the deadline.
    pub time_left: Duration,
    /// Time that a further attempt is expected to need.
    pub needed: Duration,
}

/// Whether a request is sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryDecision {
    /// Send it again.
    Retry {
        /// Time to wait first.
        delay: Duration,
        /// Why it may be sent again.
        reason: DecisionReason,
    },
    /// Give the caller its final answer.
    Stop {
        /// Why it is not sent again.
        reason: DecisionReason,
    },
}

/// Decides whether a request is sent again and pays for it from `budget`.
///
/// An attempt that reached no endpoint added no load: what was paid for it pays for the next one,
/// which need not wait either.
///
/// `seed` spreads the delays of requests that failed at the same moment; use a part of the
/// request's identifier.
pub fn decide(budget: &mut RetryBudget, case: &RetryCase, seed: u64) -> RetryDecision {
    let reason = match permission(case) {
        Ok(reason) => reason,
        Err(reason) => return RetryDecision::Stop { reason },
    };
    let delay = if case.reached { delay(case.attempts, seed) } else { Duration::ZERO };
    let needed = delay + case.needed;
    if needed > case.time_left {
        let needed_ms = needed.as_millis() as u64;
        let left_ms = case.time_left.as_millis() as u64;
        let reason = DecisionReason::DeadlineUnreachable { needed_ms, left_ms };
        return RetryDecision::Stop { reason };
    }
    if case.reached && !budget.pay() {
        return RetryDecision::Stop { reason: DecisionReason::RetryBudgetSpent };
    }
    RetryDecision::Retry { delay, reason }
}

/// Returns why the request may be sent again, or why not, budget and deadline aside.
fn permission(case: &RetryCase) -> Result<DecisionReason, DecisionReason> {
    if case.answer_begun {
        return Err(DecisionReason::AnswerBegun);
    }
    if case.attempts >= MAX_ATTEMPTS || case.unreached >= MAX_UNREACHED {
        return Err(DecisionReason::AttemptsUsed { attempts: case.attempts + case.unreached });
    }
    match case.outcome {
        RunOutcome::NotRun => Ok(DecisionReason::ProvedNotRun),
        RunOutcome::Lost if case.idempotent => Ok(DecisionReason::Idempotent),
        RunOutcome::Lost => Err(DecisionReason::OutcomeUnknown),
        RunOutcome::Cancelled => Err(DecisionReason::CallerGone),
        RunOutcome::Failed if case.idempotent && case.retry_failures => {
            Ok(DecisionReason::Idempotent)
        }
        RunOutcome::Completed | RunOutcome::Failed => Err(DecisionReason::EndpointAnswered),
    }
}

/// Returns a delay from half to one and a half times the mean of the attempt.
fn delay(attempts: u32, seed: u64) -> Duration {
    let mean = BASE_DELAY * (1 << (attempts.clamp(1, MAX_ATTEMPTS) - 1));
    let draw = mix(seed, u64::from(attempts)) as f64 / u64::MAX as f64;
    mean.mul_f64(0.5 + draw)
}
