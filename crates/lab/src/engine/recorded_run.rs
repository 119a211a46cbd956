//! What the engine stand-in saw of each run.

use serde::{Deserialize, Serialize};

/// How far a run came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordedOutcome {
    /// It waits, runs or is paused.
    Open,
    /// It gave its whole answer.
    Completed,
    /// It was cancelled, or its connection closed.
    Cancelled,
    /// It was cut halfway because its prompt said so.
    Cut,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// Value of `x-request-id`, empty if there was none.
    pub request_id: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// Hash of the prompt text.
    pub prompt_hash: u64,
    /// Value of `x-priority`, 0 if there was none.
    pub priority: u8,
    /// Path with its query.
    pub path: Box<str>,
    /// Names and values of all headers.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// How far it came.
    pub outcome: RecordedOutcome,
    /// Output tokens given.
    pub tokens: u32,
}
