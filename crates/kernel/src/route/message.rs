//! Input and output types of the router.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointKey, ProcessId, RequestId},
    reason::DecisionReason,
    request::RunOutcome,
};

/// The state of one endpoint as its agent reports it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointDigest {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Sequence number of the digest, incremented with each digest of one run of the agent.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests by tier; index 0 is the highest tier.
    pub waiting: Vec<u32>,
    /// Expected output tokens of all running and waiting requests.
    pub pending_tokens: u64,
    /// Mean output tokens per second over the last seven complete seconds, measured by the agent.
    pub tokens_per_second: f64,
    /// Mean time between tokens, measured by the agent.
    pub step_time: Duration,
    /// Whether the endpoint is draining and accepts no new requests.
    pub draining: bool,
    /// Whether the endpoint is draining because the platform is going to stop it.
    #[serde(default)]
    pub retiring: bool,
    /// Whether the endpoint responds.
    pub up: bool,
    /// Names of the models that are currently loaded.
    pub models: Vec<Box<str>>,
    /// Incarnation of the agent, which increases with each restart of the agent.
    #[serde(default)]
    pub incarnation: u64,
    /// Identifier of the run of the endpoint, for example the wall-clock time of its start in
    /// milliseconds.
    ///
    /// The value increases with each start of the endpoint, including starts between two runs of
    /// the agent.
    #[serde(default)]
    pub engine_run: u64,
    /// For each entry, the requests that are included in the counts of this digest.
    #[serde(default)]
    pub seen: Vec<EntryProgress>,
    /// Crashes within the last minutes, newest last.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
}

/// The highest ordinal that an agent has received from one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryProgress {
    /// Process identifier of the entry.
    pub entry: ProcessId,
    /// Highest ordinal received from the entry; see
    /// [`EntryRouter::ordinal`](super::EntryRouter::ordinal).
    pub ordinal: u64,
}

/// A crash of an endpoint and the requests that were running there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identifier of the run that ended with the crash, see [`EndpointDigest::engine_run`].
    pub crash_id: u64,
    /// Fingerprints of the running requests, at most [`MAX_CRASH_FINGERPRINTS`].
    pub fingerprints: Vec<u64>,
}

/// Maximum number of fingerprints in one [`CrashReport`].
pub const MAX_CRASH_FINGERPRINTS: usize = 1024;

/// A change of the prefix cache of an endpoint, as published by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Identifier of the run of the endpoint; a restart clears the cache.
    pub engine_run: u64,
    /// Sequence number of the event within the run, starting at 1.
    pub sequence: u64,
    /// Change of the cache.
    pub change: CacheChange,
}

/// A change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// Blocks with these hashes were added; the hashes are those of
    /// [`RequestSpec::prefix`](crate::request::RequestSpec::prefix).
    Stored(Vec<u64>),
    /// Blocks with these hashes were evicted.
    Removed(Vec<u64>),
    /// The cache was cleared.
    Cleared,
}

/// An event that the router of an entry processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteEvent {
    /// A digest was received.
    Digest(EndpointDigest),
    /// A request was sent to an endpoint.
    Sent {
        /// Identifier of the request.
        request: RequestId,
        /// Endpoint to which the request was sent.
        endpoint: EndpointKey,
        /// Expected number of output tokens.
        expected_tokens: u32,
    },
    /// The first token of a request arrived.
    FirstToken {
        /// Identifier of the request.
        request: RequestId,
    },
    /// Output tokens of a request arrived.
    Progress {
        /// Identifier of the request.
        request: RequestId,
        /// Number of output tokens since the previous event of the request.
        tokens: u32,
    },
    /// The prefix cache of an endpoint changed.
    Cache(CacheEvent),
    /// A request ended.
    Ended {
        /// Identifier of the request.
        request: RequestId,
        /// Outcome of the request.
        outcome: RunOutcome,
        /// Total number of output tokens that arrived.
        tokens: u32,
    },
    /// An agent or its endpoint cannot be reached.
    Unreachable {
        /// Key of the endpoint.
        endpoint: EndpointKey,
    },
    /// Triggers the periodic sweep if it is due.
    Tick,
}

/// The routing decision for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteChoice {
    /// Send the request to an endpoint.
    Endpoint {
        /// Chosen endpoint.
        endpoint: EndpointKey,
        /// Reason for the choice.
        reason: DecisionReason,
    },
    /// Refuse the request immediately; the request has not run.
    Refuse {
        /// Reason for the refusal.
        reason: DecisionReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}
