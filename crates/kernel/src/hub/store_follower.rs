//! Which entries read the platform's store, and whom a hub asks for data that it does not have.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{hub::HubChoice, time::TimePoint};

/// Time by which another entry's copy must be newer to be asked for. It covers the time that a report
/// takes. While the hubs reach the store, their copies are the newest.
const SOURCE_GAIN: Duration = Duration::from_millis(200);

/// Time for which an entry is not asked after it had an older copy than it reported.
const DISTRUST_TIME: Duration = Duration::from_secs(3);

/// Why an entry reads the store, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRole {
    /// The entry is the root hub.
    Root,
    /// The entry reads the store in place of a hub that cannot.
    Reader,
    /// The entry has no current data, and tries now and then whether it can reach the store.
    Substitute,
    /// The entry gets its data from its hub.
    Served,
}

impl ReadRole {
    /// Returns the name of the role in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ReadRole::Root => "root",
            ReadRole::Reader => "reader",
            ReadRole::Substitute => "substitute",
            ReadRole::Served => "served",
        }
    }
}

/// What an entry knows of another one's copy of the store.
#[derive(Clone, Copy, Debug)]
struct PeerCopy {
    /// Time at which the copy matched the store.
    current_at: TimePoint,
    distrusted_until: TimePoint,
}

/// Tracks how current this entry's copy of the store is, and which entry read it.
///
/// An entry whose hub has old data may reach the store although the hub does not. It then reads on
/// as a *reader*, reports how current its copy is, and the hub fetches the data from it. The name of
/// the reader travels with the data, so that other readers stop.
#[derive(Clone, Debug)]
pub struct StoreFollower {
    own: SocketAddr,
    /// Time at which this entry's copy matched the store.
    current_at: TimePoint,
    /// The entry that read the copy from the store.
    reader: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, PeerCopy>,
}

impl StoreFollower {
    /// Returns the follower of the entry at the address `own`, which has no copy of the store.
    pub fn new(own: SocketAddr) -> StoreFollower {
        let current_at = TimePoint::ZERO;
        StoreFollower { own, current_at, reader: None, peers: BTreeMap::new() }
    }

    /// Returns the time at which this entry's copy matched the store.
    pub fn current_at(&self) -> TimePoint {
        self.current_at
    }

    /// Returns the entry that read this entry's copy from the store, if any did.
    pub fn reader(&self) -> Option<SocketAddr> {
        self.reader
    }

    /// Returns why this entry reads the store now, or why not; `max_age` is the age from which on
    /// data are too old.
    pub fn role(&self, now: TimePoint, hub: HubChoice, max_age: Duration) -> ReadRole {
        match hub {
            HubChoice::Own => ReadRole::Root,
            HubChoice::Peer(_) if self.reader == Some(self.own) => ReadRole::Reader,
            HubChoice::Peer(_) if now.since(self.current_at) > max_age => ReadRole::Substitute,
            HubChoice::Peer(_) => ReadRole::Served,
        }
    }

    /// Notes that this entry, which has this role now, read the store, and that its copy has matched
    /// the store at `at`.
    pub fn note_read(&mut self, at: TimePoint, role: ReadRole) {
        self.current_at = self.current_at.max(at);
        // A read that was under way when the hub had current data again is the last one.
        if role != ReadRole::Served || self.reader.is_none() {
            self.reader = Some(self.own);
        }
    }

    /// Notes that the store did not answer this entry.
    pub fn note_failed_read(&mut self) {
        if self.reader == Some(self.own) {
            self.reader = None;
        }
    }

    /// Notes what the entry at `from` says of its copy in a report.
    pub fn note_report(&mut self, now: TimePoint, from: SocketAddr, current_at: TimePoint) {
        self.peers.retain(|_, peer| {
            now.since(peer.current_at) < DISTRUST_TIME || now < peer.distrusted_until
        });
        let fresh = PeerCopy { current_at, distrusted_until: TimePoint::ZERO };
        self.peers.entry(from).or_insert(fresh).current_at = current_at;
    }

    /// Notes data from the entry at `from`, which matched the store at `current_at` and were read by
    /// `reader`; `max_age` is the age from which on data are too old.
    pub fn note_update(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        current_at: TimePoint,
        reader: Option<SocketAddr>,
        max_age: Duration,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            if current_at + SOURCE_GAIN < peer.current_at {
                peer.distrusted_until = now + DISTRUST_TIME;
            }
            peer.current_at = current_at;
        }
        let is_other = reader.is_some_and(|reader| reader != self.own);
        // A reader that has stopped may still be named as the one of old data.
        let is_recent = self.current_at.since(current_at) <= max_age;
        if current_at > self.current_at || (is_other && is_recent) {
            self.reader = reader;
        }
        self.current_at = self.current_at.max(current_at);
    }

    /// Returns the entry to ask for newer data than this entry has, if there is one.
    pub fn source(&self, now: TimePoint) -> Option<SocketAddr> {
        let newer = self.peers.iter().filter(|(_, peer)| {
            now >= peer.distrusted_until && peer.current_at >= self.current_at + SOURCE_GAIN
        });
        newer.max_by_key(|(_, peer)| peer.current_at).map(|(address, _)| *address)
    }
}
