//! A time in which the streams of a service began by the same shares.

use serde::{Deserialize, Serialize};

use crate::stream_origin::{StreamKey, VersionKey, VersionShare, version_share::pick};

/// The shares by which the streams of a service begin, and when.
///
/// A span is announced first, and entries begin streams by it once it is followed. It ends when every entry
/// follows a later one, and the store has all streams that it began before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareSpan {
    /// The service.
    pub service: Box<str>,
    /// Wall-clock time in milliseconds since 1970 at which the span was first written; spans of one
    /// service have different ones.
    pub since_ms: u64,
    /// Whether no entry follows the span yet.
    #[serde(default)]
    pub is_announced: bool,
    /// Wall-clock time in milliseconds from which on entries follow the span, as it was written; 0 if it was
    /// never announced.
    #[serde(default)]
    pub followed_ms: u64,
    /// Wall-clock time in milliseconds at which the span ended; `None` if an entry may still begin streams
    /// by it.
    #[serde(rename = "ended_ms")]
    pub until_ms: Option<u64>,
    /// Whether streams that began in the span may have no record, as an entry was lost before it ended.
    #[serde(default)]
    pub lacks_records: bool,
    /// Whether the span stands for spans that the store has lost, and the entry that opened it knew all spans before.
    #[serde(default)]
    pub is_witnessed: bool,
    /// The shares, in the order of versions; empty if streams may have begun at any version, also at one of which
    /// nothing is known.
    pub shares: Vec<VersionShare>,
}

impl ShareSpan {
    /// Returns a span that begins at `since_ms`.
    pub(super) fn new(service: &str, since_ms: u64, shares: &[VersionShare]) -> ShareSpan {
        ShareSpan {
            service: service.into(),
            since_ms,
            is_announced: false,
            followed_ms: 0,
            until_ms: None,
            lacks_records: false,
            is_witnessed: false,
            shares: shares.to_vec(),
        }
    }

    /// Adds what another marker says of the same span.
    pub(super) fn join(&mut self, other: &ShareSpan) {
        self.is_announced &= other.is_announced;
        self.followed_ms = self.followed_ms.max(other.followed_ms);
        self.until_ms = self.until_ms.max(other.until_ms);
        self.lacks_records |= other.lacks_records;
        self.is_witnessed &= other.is_witnessed;
    }

    /// Returns the time that an entry which knows the span in its present state has reached.
    pub(super) fn known_ms(&self) -> u64 {
        self.since_ms.max(self.followed_ms)
    }

    /// Returns the version at which `stream` begins by these shares; `None` if at any.
    pub(super) fn version(&self, stream: StreamKey) -> Option<VersionKey> {
        pick(&self.service, &self.shares, stream)
    }

    /// Returns the versions at which streams may have begun by these shares; `None` stands for any.
    pub(super) fn versions(&self) -> Vec<Option<VersionKey>> {
        let version = |share: &VersionShare| Some(VersionKey::new(&self.service, &share.software));
        match self.shares.is_empty() {
            true => vec![None],
            false => self.shares.iter().map(version).collect(),
        }
    }

    /// Reports whether the span waits to be followed.
    pub(super) fn is_announced_only(&self) -> bool {
        self.is_announced && self.until_ms.is_none()
    }

    /// Reports whether a stream without a record may have begun in the span.
    pub(super) fn may_have_begun(&self) -> bool {
        !self.is_announced && (self.until_ms.is_none() || self.lacks_records)
    }
}
