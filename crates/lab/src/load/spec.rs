//! Description of a load, as read from a file.

use serde::Deserialize;

/// Text that all prompts of a stream begin with, so that engines can cache the common prefix.
const FILLER: &str = "Answer briefly and in the words of the workshop manual. ";

/// A load: streams of requests and the entries that receive them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// URLs of the entries, which are used in turn.
    #[serde(default)]
    pub entries: Vec<Box<str>>,
    /// Time during which requests are sent, in seconds.
    pub seconds: f64,
    /// Maximum number of requests of all streams together.
    pub max_requests: u64,
    /// Seed of the sending times and answer lengths.
    #[serde(default)]
    pub seed: u64,
    /// Streams of requests.
    pub streams: Vec<StreamSpec>,
}

/// A stream of requests of one account in one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamSpec {
    /// Name of the stream in the table of results.
    pub name: Box<str>,
    /// Caller key, or `None` to send no authorization header.
    pub key: Option<Box<str>>,
    /// Value of the header `x-request-class`, or `None` to send no such header.
    pub class: Option<Box<str>>,
    /// Name of the model, or of the plain service if `service` is set.
    pub model: Box<str>,
    /// Whether the requests are calls of a plain service.
    #[serde(default)]
    pub service: bool,
    /// Mean number of requests per second.
    pub per_second: f64,
    /// Mean length of an answer in tokens; lengths are uniformly distributed from half the mean to
    /// one and a half times the mean.
    #[serde(default)]
    pub tokens: u32,
    /// Minimum length of the filler at the beginning of a prompt, in bytes.
    #[serde(default)]
    pub prompt_bytes: usize,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Target for the time to the first token, or to the complete answer if answers are not
    /// streamed, in milliseconds.
    pub target_ms: u64,
}

impl StreamSpec {
    /// Returns the prompt of request `number`, which is unique within the load.
    pub fn prompt(&self, seed: u64, number: u64, tokens: u32) -> String {
        let filler = FILLER.repeat(self.prompt_bytes.div_ceil(FILLER.len()));
        format!("{filler}{} {seed}/{number} tokens={tokens}", self.name)
    }
}
