//! A time in which the streams of a service began by the same shares.

use serde::{Deserialize, Serialize};

use crate::stream_origin::{StreamKey, VersionKey, VersionShare, version_share::pick};

/// Difference of the clocks of two processes at most, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 600;

/// The shares by which the streams of a service begin, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareSpan {
    /// The service.
    pub service: Box<str>,
    /// Wall-clock time in milliseconds since 1970 at which the span was first written; spans of one
    /// service have different ones.
    pub since_ms: u64,
    /// Wall-clock time in milliseconds at which all entries were known to begin streams by later shares;
    /// `None` if an entry may still begin streams by these.
    pub until_ms: Option<u64>,
    /// The shares, in the order of versions; empty if streams may have begun at any version.
    pub shares: Vec<VersionShare>,
}

impl ShareSpan {
    /// Returns a span that begins at `since_ms`.
    pub(super) fn new(service: &str, since_ms: u64, shares: &[VersionShare]) -> ShareSpan {
        ShareSpan { service: service.into(), since_ms, until_ms: None, shares: shares.to_vec() }
    }

    /// Returns the version at which `stream` begins by these shares; `None` if at any.
    pub(super) fn version(&self, stream: StreamKey) -> Option<VersionKey> {
        pick(&self.service, &self.shares, stream)
    }

    /// Reports whether a stream whose caller first asked at the wall-clock time `asked_ms` may have begun by
    /// these shares.
    pub(super) fn may_have_begun(&self, asked_ms: u64) -> bool {
        self.until_ms.is_none_or(|until_ms| until_ms + CLOCK_MARGIN_MS >= asked_ms)
    }
}
