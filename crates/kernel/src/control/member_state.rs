//! What a member table keeps of each member and each peer.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use crate::{control::MemberEntry, time::TimePoint};

/// Times of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberLimits {
    /// Time between rounds of exchanges.
    pub round: Duration,
    /// Time without news after which a member or domain is suspected.
    pub suspect_after: Duration,
    /// Time without news after which a member is removed.
    pub remove_after: Duration,
}

impl Default for MemberLimits {
    fn default() -> MemberLimits {
        MemberLimits {
            round: Duration::from_secs(1),
            suspect_after: Duration::from_secs(5),
            remove_after: Duration::from_secs(20),
        }
    }
}

/// A member as this process knows it.
#[derive(Clone, Debug)]
pub(crate) struct KnownMember {
    pub(crate) entry: MemberEntry,
    /// Version of the table at which the entry last changed, and when.
    pub(crate) version: u64,
    pub(crate) changed: TimePoint,
    /// Process that the last change came from.
    pub(crate) source: Option<Box<str>>,
    /// When the member was last heard, by this process or another relay of its domain.
    pub(crate) heard: TimePoint,
    /// When the member last spoke to this process itself.
    pub(crate) last_contact: TimePoint,
    pub(crate) config_next: u64,
    pub(crate) checksum: u64,
    /// Order of the members of a domain in which they become relays.
    pub(crate) relay_rank: u64,
}

/// What this process and a peer have of each other's tables.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerCursor {
    pub(crate) incarnation: u64,
    pub(crate) received: u64,
    pub(crate) acked: u64,
    pub(crate) last_sent: TimePoint,
    pub(crate) mismatches: u32,
    /// Whether the peer's last question asked for no changes.
    pub(crate) brief: bool,
}

/// Which changes a message holds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ChangeFilter {
    All,
    /// Those not older than a while at this point.
    Recent(TimePoint),
    /// The sender's own.
    Own,
}

/// Returns a checksum of what decides between two entries of a member.
///
/// Processes built with unlike compilers may disagree; they then send more than is needed.
pub(crate) fn entry_checksum(entry: &MemberEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&entry.digest.process.name, entry.precedence()).hash(&mut hasher);
    hasher.finish()
}
