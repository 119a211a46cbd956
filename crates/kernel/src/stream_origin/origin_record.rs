//! What entries tell each other of the version that began a stream.

use serde::{Deserialize, Serialize};

use crate::stream_origin::{StreamKey, VersionKey};

/// The version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamKey,
    /// The version; `None` if entries noted different ones.
    pub version: Option<VersionKey>,
    /// Wall-clock time in seconds since 1970 after which no caller waits for the stream.
    pub expires_s: u32,
}

impl OriginRecord {
    /// Returns what both records say; the order does not matter.
    pub(super) fn join(self, other: OriginRecord) -> OriginRecord {
        OriginRecord {
            stream: self.stream,
            version: self.version.filter(|version| other.version == Some(*version)),
            expires_s: self.expires_s.max(other.expires_s),
        }
    }
}
