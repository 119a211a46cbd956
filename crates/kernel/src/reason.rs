//! Reasons for decisions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The reason for a decision, as `pimentorock explain` prints it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "why")]
#[non_exhaustive]
pub enum DecisionReason {
    /// A slot was free and no request was ahead in the queue.
    SlotFree,
    /// The request was first in the order of tiers and accounts.
    FirstInOrder,
    /// The class received less than its target share of the tokens of the endpoint, which is its
    /// floor plus a margin.
    BelowFloor,
    /// A running request gave up its slot for a waiting request of a higher tier.
    HigherTierWaits {
        /// Tier of the waiting request.
        tier: u8,
    },
    /// The deadline can no longer be met.
    DeadlineUnreachable {
        /// Expected time that the request needs, in milliseconds.
        needed_ms: u64,
        /// Time left until the deadline, in milliseconds.
        left_ms: u64,
    },
    /// There is no room for the request, and displacing waiting requests cannot make enough room.
    QueueFull,
    /// The queue was full, and a request of a higher tier displaced this request.
    DisplacedByHigherTier {
        /// Tier of the request that displaced this one.
        tier: u8,
    },
    /// The process is draining.
    Draining,
    /// The account exceeded a limit.
    OverLimit {
        /// Name of the limit.
        limit: Box<str>,
    },
    /// The routing policy chose the endpoint. With the default policy, the endpoint has the
    /// shortest expected completion time of the compared endpoints.
    ShortestExpected {
        /// Expected time until the request completes at the chosen endpoint, in milliseconds.
        expected_ms: u64,
    },
    /// The endpoint was chosen and caches a longer prefix of the prompt than a compared endpoint.
    CachedPrefix {
        /// Number of blocks of the prefix that the endpoint caches.
        blocks: u32,
    },
    /// No endpoint in service offers the model.
    NoEndpoint,
    /// All endpoints that could run the request are in failure domains that operators ordered to be
    /// evacuated.
    DomainsEvacuated,
    /// No endpoint of the software version that began the stream accepts requests.
    VersionGone,
    /// It is not known which software version began the stream, and several may have.
    VersionUnknown,
    /// The entry does not know by which shares of the software versions streams begin.
    SharesUnknown,
    /// All endpoints that may run the request asked to get no requests for a time.
    EndpointsExcluded {
        /// Time until the first of them returns, in milliseconds.
        millis: u64,
    },
    /// All endpoints that may run the request name a limit that leaves no send for it.
    EndpointsLimited {
        /// Time after which another attempt is worthwhile, in milliseconds.
        millis: u64,
    },
    /// The retry budget is used up.
    RetryBudgetSpent,
    /// The request was running during two crashes of endpoints; both may be crashes of the same
    /// endpoint.
    SuspectedOfCrashes,
    /// The request was running at an endpoint when the endpoint crashed, and is isolated from
    /// other suspects.
    IsolatedAfterCrash,
    /// An endpoint that may run the request failed recently, and the crash report of its agent may
    /// still arrive.
    #[serde(rename = "awaiting-crash-news")]
    AwaitingCrashReport,
    /// The request certainly did not run, so it is sent again.
    ProvedNotRun,
    /// The request is idempotent, so it is sent again.
    Idempotent,
    /// The request may have run and is not idempotent.
    OutcomeUnknown,
    /// The endpoint itself returned an answer.
    EndpointAnswered,
    /// A part of the answer has already been sent to the caller.
    AnswerBegun,
    /// The request reached the maximum number of attempts.
    AttemptsUsed {
        /// Number of attempts, including those that reached no endpoint.
        attempts: u32,
    },
    /// More endpoints are needed. Either the current demand, or the demand that is expected by the
    /// time at which a newly started endpoint would be ready, needs more than the capacity at the
    /// target utilization, or fewer than the minimum number of endpoints are in use.
    ForecastOverCapacity {
        /// Higher value of the current and the forecast demand, in output tokens per second.
        tokens_per_second: u64,
        /// Capacity of the live and starting endpoints in output tokens per second.
        capacity: u64,
    },
    /// Capacity exceeded demand during the whole idle span.
    SurplusCapacity {
        /// Highest demand or forecast in the idle span, in output tokens per second.
        peak: u64,
        /// Capacity of the live and starting endpoints in output tokens per second.
        capacity: u64,
    },
    /// Demand is outside the thresholds of utilization.
    UseOutsideThresholds {
        /// Demand in output tokens per second.
        tokens_per_second: u64,
        /// Capacity of the live and starting endpoints in output tokens per second.
        capacity: u64,
    },
    /// The endpoint has drained and runs no request.
    Drained,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The agent restarted, and the entry did not know the new incarnation yet.
    AgentRestarted,
    /// The caller disconnected.
    CallerGone,
    /// The endpoint is down.
    EndpointDown,
    /// The request needs more KV cache than the endpoint has.
    TooLarge {
        /// Minimum number of KV cache tokens that the request needs.
        needed: u64,
        /// Capacity of the KV cache of the endpoint, in tokens.
        capacity: u64,
    },
    /// The queue is full and the account has more than its fair share of the queued requests.
    OverFairShare,
    /// The deadline passed while the request ran.
    DeadlinePassed,
}

impl fmt::Display for DecisionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecisionReason::SlotFree => write!(f, "a slot was free"),
            DecisionReason::FirstInOrder => write!(f, "first in the order of tiers and accounts"),
            DecisionReason::BelowFloor => write!(f, "the class was below its floor"),
            DecisionReason::HigherTierWaits { tier } => {
                write!(f, "a request of the higher tier {tier} waits")
            }
            DecisionReason::DeadlineUnreachable { needed_ms, left_ms } => {
                write!(f, "needs {needed_ms} ms, deadline in {left_ms} ms")
            }
            DecisionReason::QueueFull => write!(f, "the queue is full"),
            DecisionReason::DisplacedByHigherTier { tier } => {
                write!(f, "displaced by a request of the higher tier {tier}")
            }
            DecisionReason::Draining => write!(f, "the process is draining"),
            DecisionReason::OverLimit { limit } => {
                write!(f, "the account is over its limit \"{limit}\"")
            }
            DecisionReason::ShortestExpected { expected_ms } => {
                write!(f, "shortest expected completion, {expected_ms} ms")
            }
            DecisionReason::CachedPrefix { blocks } => {
                write!(f, "holds {blocks} blocks of the prompt's prefix")
            }
            DecisionReason::NoEndpoint => write!(f, "no endpoint in service offers the model"),
            DecisionReason::DomainsEvacuated => {
                write!(f, "all endpoints are in failure domains that are evacuated")
            }
            DecisionReason::VersionGone => {
                write!(f, "no endpoint of the version that began the stream accepts requests")
            }
            DecisionReason::VersionUnknown => {
                write!(f, "it is not known which version began the stream")
            }
            DecisionReason::SharesUnknown => {
                write!(f, "it is not known by which shares of the versions streams begin")
            }
            DecisionReason::EndpointsExcluded { millis } => {
                write!(f, "all endpoints asked to be left alone, the first one for {millis} ms")
            }
            DecisionReason::EndpointsLimited { millis } => {
                write!(f, "the limits of all endpoints are used up, try again in {millis} ms")
            }
            DecisionReason::RetryBudgetSpent => write!(f, "the retry budget is used up"),
            DecisionReason::SuspectedOfCrashes => {
                write!(f, "the request was running at two endpoints when they crashed")
            }
            DecisionReason::IsolatedAfterCrash => {
                write!(
                    f,
                    "the request was running at an endpoint when it crashed and is kept apart"
                )
            }
            DecisionReason::AwaitingCrashReport => {
                write!(f, "the endpoints that may try it failed and it is not known yet why")
            }
            DecisionReason::ProvedNotRun => write!(f, "it did not run, so it is sent again"),
            DecisionReason::Idempotent => write!(f, "it is idempotent, so it is sent again"),
            DecisionReason::OutcomeUnknown => {
                write!(f, "it may have run and is not idempotent")
            }
            DecisionReason::EndpointAnswered => write!(f, "the endpoint gave an answer of its own"),
            DecisionReason::AnswerBegun => write!(f, "part of an answer went to the caller"),
            DecisionReason::AttemptsUsed { attempts } => write!(f, "it was sent {attempts} times"),
            DecisionReason::ForecastOverCapacity { tokens_per_second, capacity } => {
                write!(f, "forecast {tokens_per_second} tokens/s, capacity {capacity} tokens/s")
            }
            DecisionReason::SurplusCapacity { peak, capacity } => {
                write!(f, "peak {peak} tokens/s of late, capacity {capacity} tokens/s")
            }
            DecisionReason::UseOutsideThresholds { tokens_per_second, capacity } => {
                write!(f, "demand {tokens_per_second} tokens/s, capacity {capacity} tokens/s")
            }
            DecisionReason::Drained => write!(f, "the endpoint has drained"),
            DecisionReason::KeyWithdrawn => write!(f, "the key was withdrawn"),
            DecisionReason::AgentRestarted => write!(f, "the agent was started again"),
            DecisionReason::CallerGone => write!(f, "the caller went away"),
            DecisionReason::EndpointDown => write!(f, "the endpoint is down"),
            DecisionReason::TooLarge { needed, capacity } => {
                write!(f, "needs {needed} KV tokens, the endpoint has {capacity}")
            }
            DecisionReason::OverFairShare => {
                write!(f, "the queue is full and the account holds more than its share")
            }
            DecisionReason::DeadlinePassed => write!(f, "the deadline passed while it ran"),
        }
    }
}
