//! The name of a stream among entries.

use serde::{Deserialize, Serialize};

use crate::suspect::fingerprint;

/// Identifies a stream of a client account by the attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that the attempt `attempt` of `account` began.
    ///
    /// An account cannot name the stream of another one.
    pub fn new(account: Option<&str>, attempt: &str) -> StreamKey {
        StreamKey(fingerprint(&["stream", account.unwrap_or_default(), attempt], &[]))
    }
}
