//! State that a member table keeps for each member and each peer.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use crate::{control::MemberEntry, time::TimePoint};

/// Intervals and timeouts of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberLimits {
    /// Time between two rounds of exchanges.
    pub round: Duration,
    /// Time since a member or failure domain was last heard after which it is suspected.
    pub suspect_after: Duration,
    /// Time since a member was last heard after which it is removed.
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

/// A member and the local bookkeeping for it.
#[derive(Clone, Debug)]
pub(crate) struct KnownMember {
    pub(crate) entry: MemberEntry,
    /// Version of the table at which the entry last changed.
    pub(crate) version: u64,
    /// When the entry last changed in this table.
    pub(crate) changed: TimePoint,
    /// Process that sent the last change, `None` if this process made it.
    pub(crate) source: Option<Box<str>>,
    /// When the member was last heard, by this process or another relay of its domain.
    pub(crate) last_heard: TimePoint,
    /// When the member last sent a message to this process.
    pub(crate) last_contact: TimePoint,
    /// Offset of the `config` stream that the member reads next, 0 if not known.
    pub(crate) config_next: u64,
    /// Checksum of the entry, see [`entry_checksum`].
    pub(crate) checksum: u64,
    /// Rendezvous hash that ranks the members of a domain as relays; the lowest ranks first.
    pub(crate) relay_rank: u64,
}

/// How far this process and a peer know each other's tables.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerCursor {
    /// Incarnation of the peer's run, 0 before its first message.
    pub(crate) incarnation: u64,
    /// Version of the peer's table that this process has.
    pub(crate) received: u64,
    /// Version of this process's table that the peer has.
    pub(crate) acked: u64,
    /// When this process last sent a message to the peer.
    pub(crate) last_sent: TimePoint,
    /// Exchanges in which the checksums differed although no changes were left to send.
    pub(crate) mismatches: u32,
    /// Whether the peer's last message allowed the response to omit changes.
    pub(crate) brief: bool,
}

/// Selects the changes that a message contains.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ChangeFilter {
    /// All changes that the receiver lacks.
    All,
    /// Changes that are recent at this time.
    Recent(TimePoint),
    /// Changes of the sender's own entry.
    Own,
}

/// Returns a checksum of the member's name and the values that decide which entry is newer.
///
/// Builds of different compilers may compute different checksums; their processes then send more
/// changes than needed.
pub(crate) fn entry_checksum(entry: &MemberEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&entry.digest.process.name, entry.precedence()).hash(&mut hasher);
    hasher.finish()
}
