//! Records of the requests that the engine stand-in received.

use serde::{Deserialize, Serialize};

/// State or outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordedOutcome {
    /// The run waits, generates tokens or is paused.
    Open,
    /// The answer is complete.
    Completed,
    /// The run was cancelled, or its connection was closed.
    Cancelled,
    /// The answer was cut off halfway because the prompt contained `cut-stream`.
    Cut,
}

/// A run as tests see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Value of the header `x-request-id`, empty if the request had none.
    pub request_id: Box<str>,
    /// Name of the model.
    pub model: Box<str>,
    /// Hash of the prompt text as [`answer::hash`](crate::answer::hash) computes it.
    pub prompt_hash: u64,
    /// Value of the header `x-priority`, 0 if the request had none or the value is not a
    /// number from 0 to 255.
    pub priority: u8,
    /// Path with the query string.
    pub path: Box<str>,
    /// Names and values of all headers of the request.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// State or outcome of the run.
    pub outcome: RecordedOutcome,
    /// Number of output tokens that were sent so far.
    pub tokens: u32,
}
