//! Events that a queue receives and actions that it returns.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::RequestId,
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
};

/// Event that a queue processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueEvent {
    /// A request arrived from an entry.
    Arrive(RequestSpec),
    /// The endpoint produced output tokens for a running request.
    Progress {
        /// The running request.
        request: RequestId,
        /// Output tokens since the previous report for the request.
        tokens: u32,
    },
    /// A running request ended at the endpoint.
    Finish {
        /// The running request.
        request: RequestId,
        /// How the run ended.
        outcome: RunOutcome,
    },
    /// The caller disconnected, or its key was withdrawn while the request was queued.
    Cancel {
        /// The request, queued or running.
        request: RequestId,
    },
    /// The capacity of the endpoint changed; `slots` is 0 while the endpoint is down.
    Resize {
        /// Number of requests that the endpoint runs concurrently.
        slots: u32,
        /// Size of the KV cache in tokens.
        kv_tokens: u64,
    },
    /// The queue must refuse new requests and finish those that it already holds.
    Drain,
    /// Time has passed without another event.
    Tick,
}

/// Action that the caller of the queue must perform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueAction {
    /// Send the request to the endpoint, or resume it there.
    Start {
        /// The request that the action applies to.
        request: RequestId,
        /// Whether a preempted request continues from the tokens that it already produced.
        resume: bool,
        /// Reason for the start.
        reason: DecisionReason,
    },
    /// Answer the caller immediately that the request did not run.
    Refuse {
        /// The request that the action applies to.
        request: RequestId,
        /// Reason for the action.
        reason: DecisionReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Stop the running request at the endpoint; it waits in the queue again.
    Preempt {
        /// The request that the action applies to.
        request: RequestId,
        /// Reason for the action.
        reason: DecisionReason,
    },
    /// Stop the request, which has run in part, and send its final answer to the caller.
    Abort {
        /// The request that the action applies to.
        request: RequestId,
        /// Reason for the action.
        reason: DecisionReason,
    },
}
