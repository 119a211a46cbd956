//! The entries that one entry knows, and which of them is its hub.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{hub::EntrySighting, time::TimePoint};

/// Time for which an entry that did not answer is passed over.
const PASS_OVER: Duration = Duration::from_secs(3);

/// Time after which an entry that nobody heard of is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(6);

/// Shortest time between two exchanges with the hub.
const LEAST_PERIOD: Duration = Duration::from_millis(150);

/// Time between two exchanges for each entry that asks the same hub, so that the hub's work grows
/// only with their number and not with their square.
const PERIOD_FOR_EACH: Duration = Duration::from_millis(15);

/// Age of what an entry knows of the store, beside two exchanges on the way, from which it reads
/// the store itself.
const STORE_AGE_BASE: Duration = Duration::from_millis(800);

/// Entries of each failure domain that are listed to all others: its hub and its successors.
const LISTED_OF_DOMAIN: usize = 3;

/// Returns the time between two exchanges of an entry whose hub is asked by `askers`.
pub fn exchange_period(askers: usize) -> Duration {
    LEAST_PERIOD.max(PERIOD_FOR_EACH * askers as u32)
}

/// Where an entry learns what is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubChoice {
    /// It reads the store itself, for others too.
    Own,
    /// It asks this entry.
    Peer(SocketAddr),
}

#[derive(Clone, Debug)]
struct RosterRow {
    domain: Option<Box<str>>,
    heard: TimePoint,
    passed_over_until: TimePoint,
}

impl RosterRow {
    fn is_fresh(&self, now: TimePoint) -> bool {
        now.since(self.heard) < FORGET_AFTER
    }

    fn is_reachable(&self, now: TimePoint) -> bool {
        now >= self.passed_over_until && self.is_fresh(now)
    }
}

/// The entries that one entry knows.
#[derive(Clone, Debug)]
pub struct HubRoster {
    own: SocketAddr,
    domain: Box<str>,
    rows: BTreeMap<SocketAddr, RosterRow>,
}

impl HubRoster {
    /// Returns the roster of the entry of `domain` that others reach at `own`.
    pub fn new(own: SocketAddr, domain: &str) -> HubRoster {
        HubRoster { own, domain: domain.into(), rows: BTreeMap::new() }
    }

    /// Notes that the entry at `address` is there; what is known of its domain stays.
    pub fn note_heard(&mut self, now: TimePoint, address: SocketAddr) {
        self.note_sighting(now, &EntrySighting { address, domain: None, age_ms: 0 });
    }

    /// Notes what another entry, or the entry itself, told of an entry.
    pub fn note_sighting(&mut self, now: TimePoint, sighting: &EntrySighting) {
        if sighting.address == self.own {
            return;
        }
        let heard = now - Duration::from_millis(sighting.age_ms.into());
        let fresh = RosterRow { domain: None, heard, passed_over_until: TimePoint::ZERO };
        let row = self.rows.entry(sighting.address).or_insert(fresh);
        row.heard = row.heard.max(heard);
        if let Some(domain) = &sighting.domain {
            row.domain = Some(domain.clone());
        }
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

    /// Returns the hub: the first entry of the own failure domain that answers, and for that one
    /// the first of all.
    ///
    /// A hub's address comes before those of the entries that ask it, so no two ask each other.
    pub fn hub(&self, now: TimePoint) -> HubChoice {
        let mut before = self.reachable(now).take_while(|(address, _)| **address < self.own);
        let near = before.clone().find(|(_, row)| self.is_near(row));
        match near.or_else(|| before.next()) {
            Some((address, _)) => HubChoice::Peer(*address),
            None => HubChoice::Own,
        }
    }

    /// Returns the time between two exchanges with the hub.
    pub fn period(&self, now: TimePoint) -> Duration {
        let asks_near = match self.hub(now) {
            HubChoice::Peer(address) => self.rows.get(&address).is_some_and(|r| self.is_near(r)),
            HubChoice::Own => false,
        };
        let fresh = self.rows.values().filter(|row| row.is_fresh(now));
        if asks_near {
            return exchange_period(1 + fresh.filter(|row| self.is_near(row)).count());
        }
        let domains: BTreeSet<&str> = fresh.filter_map(|row| row.domain.as_deref()).collect();
        exchange_period(domains.len())
    }

    /// Returns the age of what this entry knows of the store from which it reads the store itself.
    pub fn max_store_age(&self, now: TimePoint) -> Duration {
        STORE_AGE_BASE + 2 * self.period(now)
    }

    /// Returns whether this entry is the first one behind the hub of all.
    pub fn is_standby(&self, now: TimePoint) -> bool {
        let mut before = self.reachable(now).filter(|(address, _)| **address < self.own);
        before.next().is_some() && before.next().is_none()
    }

    /// Returns an entry to ask or to tell beside the hub, another one each `turn`.
    pub fn other(&self, now: TimePoint, turn: usize) -> Option<SocketAddr> {
        let others: Vec<SocketAddr> = self.reachable(now).map(|(address, _)| *address).collect();
        others.get(turn % others.len().max(1)).copied()
    }

    /// Returns the entries to list to one of `domain`: all of that failure domain, and the first few
    /// of each other one.
    pub fn listed_to(&self, now: TimePoint, domain: &str) -> Vec<EntrySighting> {
        let mut told: BTreeMap<Option<&str>, usize> = BTreeMap::new();
        let own = (self.own, Some(&*self.domain), 0);
        let others = self.rows.iter().filter(|(_, row)| row.is_fresh(now)).map(|(address, row)| {
            (*address, row.domain.as_deref(), now.since(row.heard).as_millis() as u32)
        });
        let mut known: Vec<(SocketAddr, Option<&str>, u32)> = others.chain([own]).collect();
        known.sort_unstable();
        known.retain(|(_, of, _)| {
            let count = told.entry(*of).or_default();
            *count += 1;
            *of == Some(domain) || *count <= LISTED_OF_DOMAIN
        });
        let sightings = known.into_iter().map(|(address, domain, age_ms)| EntrySighting {
            address,
            domain: domain.map(Into::into),
            age_ms,
        });
        sightings.collect()
    }

    fn is_near(&self, row: &RosterRow) -> bool {
        row.domain.as_ref() == Some(&self.domain)
    }

    fn reachable(&self, now: TimePoint) -> impl Iterator<Item = (&SocketAddr, &RosterRow)> + Clone {
        self.rows.iter().filter(move |(_, row)| row.is_reachable(now))
    }
}
