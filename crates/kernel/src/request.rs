//! The description of a request, without its body, on which decisions are based.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AccountKey, ClassKey, ModelKey, RequestId},
    time::TimePoint,
};

/// Describes a request without its body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// Identifier of the request.
    pub id: RequestId,
    /// Account that owns the API key of the request.
    pub account: AccountKey,
    /// Class that matched the request.
    pub class: ClassKey,
    /// Requested model or service.
    pub model: ModelKey,
    /// Estimated number of prompt tokens; 0 for a service that is not a language model.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller allows; 0 if the caller set no limit.
    pub max_tokens: u32,
    /// Time at which this process received the request.
    pub arrived: TimePoint,
    /// Time by which the last byte of the answer must be sent.
    pub deadline: TimePoint,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the endpoint can pause and resume the request.
    pub resumable: bool,
    /// Hash of the account, the model and the body; a request that is sent again has the same
    /// fingerprint.
    pub fingerprint: u64,
    /// Hashes of the prompt's prefixes: the hash of the first block of the prompt, of the first two
    /// blocks, and so on. All blocks of prompts have the same length.
    pub prefix: Box<[u64]>,
}

impl RequestSpec {
    /// Returns the time left until the deadline, or zero if the deadline has passed.
    pub fn time_left(&self, now: TimePoint) -> Duration {
        now.until(self.deadline)
    }
}

/// The outcome of running a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The endpoint returned the whole answer.
    Completed,
    /// The caller disconnected or the deadline passed, and the endpoint was told to stop.
    Cancelled,
    /// The endpoint certainly never started the request.
    NotRun,
    /// The endpoint itself returned an error.
    Failed,
    /// The connection or the endpoint was lost after the endpoint may have started the request.
    Lost,
}
