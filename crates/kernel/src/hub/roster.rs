//! The entries that one entry knows, and which of them is its hub.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::time::TimePoint;

/// Age of a hub's last answer of the store from which an entry reads the store itself.
pub const MAX_STORE_AGE: Duration = Duration::from_millis(1_100);

/// Time for which an entry that did not answer is passed over.
const PASS_OVER: Duration = Duration::from_secs(3);

/// Time after which an entry that nobody heard of is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(6);

/// Shortest time between two exchanges with the hub.
const LEAST_PERIOD: Duration = Duration::from_millis(150);

/// Time between two exchanges for each known entry, so that the hub's work grows only with
/// their number and not with their square.
const PERIOD_FOR_EACH: Duration = Duration::from_millis(15);

/// Returns the time between two exchanges of an entry that knows `entries` others.
pub fn exchange_period(entries: usize) -> Duration {
    LEAST_PERIOD.max(PERIOD_FOR_EACH * entries as u32)
}

/// Where an entry learns what is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubChoice {
    /// It reads the store itself, for others too.
    Own,
    /// It asks this entry.
    Peer(SocketAddr),
}

#[derive(Clone, Copy, Debug)]
struct RosterRow {
    heard: TimePoint,
    passed_over_until: TimePoint,
}

/// The entries that one entry knows.
#[derive(Clone, Debug)]
pub struct HubRoster {
    own: SocketAddr,
    rows: BTreeMap<SocketAddr, RosterRow>,
}

impl HubRoster {
    /// Returns the roster of the entry that peers reach at `own`.
    pub fn new(own: SocketAddr) -> HubRoster {
        HubRoster { own, rows: BTreeMap::new() }
    }

    /// Notes that the entry at `address` is there.
    pub fn note_heard(&mut self, now: TimePoint, address: SocketAddr) {
        if address == self.own {
            return;
        }
        let fresh = RosterRow { heard: now, passed_over_until: TimePoint::ZERO };
        self.rows.entry(address).or_insert(fresh).heard = now;
    }

    /// Notes that the entry at `address` answered.
    pub fn note_answer(&mut self, now: TimePoint, address: SocketAddr) {
        self.note_heard(now, address);
        if let Some(row) = self.rows.get_mut(&address) {
            row.passed_over_until = TimePoint::ZERO;
        }
    }

    /// Notes that the entry at `address` did not answer.
    pub fn note_failure(&mut self, now: TimePoint, address: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.passed_over_until = now + PASS_OVER;
        }
    }

    /// Returns the hub: the first entry in the order of addresses that answers.
    pub fn hub(&self, now: TimePoint) -> HubChoice {
        match self.reachable(now).next() {
            Some(address) if address < self.own => HubChoice::Peer(address),
            _ => HubChoice::Own,
        }
    }

    /// Returns whether this entry is the first one behind the hub.
    pub fn is_standby(&self, now: TimePoint) -> bool {
        let mut before = self.reachable(now).filter(|address| *address < self.own);
        before.next().is_some() && before.next().is_none()
    }

    /// Returns an entry to ask or to tell beside the hub, another one each `turn`.
    pub fn other(&self, now: TimePoint, turn: usize) -> Option<SocketAddr> {
        let others: Vec<SocketAddr> = self.reachable(now).collect();
        others.get(turn % others.len().max(1)).copied()
    }

    /// Returns the entries that were heard of lately, this one among them.
    pub fn entries(&self, now: TimePoint) -> Vec<SocketAddr> {
        let heard = self.rows.iter().filter(|(_, row)| now.since(row.heard) < FORGET_AFTER);
        let mut entries: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        entries.push(self.own);
        entries.sort_unstable();
        entries
    }

    fn reachable(&self, now: TimePoint) -> impl Iterator<Item = SocketAddr> {
        let reachable = move |row: &RosterRow| {
            now >= row.passed_over_until && now.since(row.heard) < FORGET_AFTER
        };
        self.rows.iter().filter(move |(_, row)| reachable(row)).map(|(address, _)| *address)
    }
}
