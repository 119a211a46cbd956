//! Limits on the requests that wait in a queue.

use serde::{Deserialize, Serialize};

/// Limits on the requests that wait at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLimits {
    /// Maximum number of waiting requests beyond the class reserves; preempted requests do not
    /// count.
    pub max_waiting: u32,
    /// Maximum number of waiting tokens, prompt and expected output tokens together; preempted
    /// requests do not count.
    pub max_tokens: u64,
    /// Number of waiting requests of each class that do not count against `max_waiting`, so that
    /// no class is displaced permanently. The tokens of a class do not count against `max_tokens`
    /// while at most this many of its requests wait; otherwise all of them count.
    pub class_reserve: u32,
}

impl Default for QueueLimits {
    fn default() -> QueueLimits {
        QueueLimits { max_waiting: 1024, max_tokens: 4_000_000, class_reserve: 2 }
    }
}
