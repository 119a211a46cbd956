//! The entries that one entry knows, and the choice of its hub among them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    hub::{AgeBudget, KnownEntry},
    route::hash_text,
    time::TimePoint,
};

/// Time for which an entry that did not answer is not chosen as a hub.
const FAILURE_QUARANTINE: Duration = Duration::from_secs(3);

/// Time without any contact after which an entry is treated as gone.
const ENTRY_LIFE: Duration = Duration::from_secs(6);

/// Shortest time between two exchanges with a hub.
const MIN_PERIOD: Duration = Duration::from_millis(150);

/// Time by which the period between two exchanges grows with each asker, which is an entry that
/// uses the same hub. The number of exchanges per second at the hub is therefore bounded, and the
/// hub's work grows linearly instead of quadratically with the number of askers.
const PERIOD_PER_ASKER: Duration = Duration::from_millis(15);

/// Time without any contact after which an entry is no longer asked for its copy of the store.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Number of entries of each failure domain that are reported to entries of other domains. These
/// are the entries with the lowest addresses, so they include the domain's hub and the entries that
/// would replace it.
const MAX_LISTED_PER_FOREIGN_DOMAIN: usize = 3;

/// Number of further entries of each failure domain that are reported in turn to entries of other domains,
/// so that after some reports each entry knows all others, whichever are lost.
const LISTED_IN_TURN_PER_DOMAIN: usize = 2;

/// Returns the time between two exchanges with a hub that has this number of askers.
pub fn exchange_period(askers: usize) -> Duration {
    let askers = u32::try_from(askers).unwrap_or(u32::MAX);
    MIN_PERIOD.max(PERIOD_PER_ASKER.saturating_mul(askers))
}

/// The source from which an entry gets its copy of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubChoice {
    /// The entry reads the store itself and serves as a hub for others.
    Own,
    /// The entry asks the hub at this address.
    Peer(SocketAddr),
}

/// Whether an entry is known to have started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryStart {
    /// No call was made to it.
    Unknown,
    /// It refused a connection, and has not answered before.
    Awaited,
    /// It has answered.
    Seen,
}

#[derive(Clone, Debug)]
struct RosterRow {
    /// Failure domain, if known.
    domain: Option<Box<str>>,
    /// Time of the last contact, direct or reported by another entry.
    last_heard: TimePoint,
    quarantined_until: TimePoint,
    start: EntryStart,
}

impl RosterRow {
    fn is_fresh(&self, now: TimePoint) -> bool {
        now.since(self.last_heard) < ENTRY_LIFE
    }

    fn is_reachable(&self, now: TimePoint) -> bool {
        now >= self.quarantined_until && self.is_fresh(now)
    }
}

/// Tracks the entries that one entry knows and chooses the hub among them.
#[derive(Clone, Debug)]
pub struct HubRoster {
    /// Address of the entry that owns this roster.
    own: SocketAddr,
    /// Failure domain of the entry that owns this roster.
    domain: Box<str>,
    rows: BTreeMap<SocketAddr, RosterRow>,
    budget: AgeBudget,
}

impl HubRoster {
    /// Returns an empty roster for the entry at the address `own` in the failure domain `domain`.
    pub fn new(own: SocketAddr, domain: &str) -> HubRoster {
        let budget = AgeBudget::default();
        HubRoster { own, domain: domain.into(), rows: BTreeMap::new(), budget }
    }

    /// Returns this roster with a budget for the age of the entry's copy of the store.
    pub fn with_budget(self, budget: AgeBudget) -> HubRoster {
        HubRoster { budget, ..self }
    }

    /// Returns the budget for the age of the entry's copy of the store.
    pub fn budget(&self) -> AgeBudget {
        self.budget
    }

    /// Sets the budget for the age of the entry's copy of the store.
    pub fn set_budget(&mut self, budget: AgeBudget) {
        self.budget = budget;
    }

    /// Returns the address of the entry that owns this roster.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Notes contact with the entry at `address`. The call does not change the known failure domain
    /// of that entry.
    pub fn note_heard(&mut self, now: TimePoint, address: SocketAddr) {
        self.note_entry(now, &KnownEntry { address, domain: None, age_ms: 0 });
    }

    /// Notes an entry that another entry reported or that introduced itself.
    pub fn note_entry(&mut self, now: TimePoint, entry: &KnownEntry) {
        if entry.address == self.own {
            return;
        }
        let last_heard = now - Duration::from_millis(entry.age_ms.into());
        let row = self.rows.entry(entry.address).or_insert(RosterRow {
            domain: None,
            last_heard,
            quarantined_until: TimePoint::ZERO,
            start: EntryStart::Unknown,
        });
        row.last_heard = row.last_heard.max(last_heard);
        if let Some(domain) = &entry.domain {
            row.domain = Some(domain.clone());
        }
    }

    /// Notes that the entry at `address` answered, which ends its quarantine.
    pub fn note_answer(&mut self, now: TimePoint, address: SocketAddr) {
        self.note_heard(now, address);
        if let Some(row) = self.rows.get_mut(&address) {
            row.quarantined_until = TimePoint::ZERO;
            row.start = EntryStart::Seen;
        }
    }

    /// Notes that the entry at `address` did not answer, and quarantines it.
    pub fn note_failure(&mut self, now: TimePoint, address: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.quarantined_until = now + FAILURE_QUARANTINE;
        }
    }

    /// Notes that the entry at `address` refused a connection, and quarantines it.
    pub fn note_refusal(&mut self, now: TimePoint, address: SocketAddr) {
        self.note_failure(now, address);
        if let Some(row) = self.rows.get_mut(&address).filter(|row| row.start != EntryStart::Seen) {
            row.start = EntryStart::Awaited;
        }
    }

    /// Returns the entry with the lowest address that may be starting, to ask it again before its quarantine
    /// ends: entries that start together do not start at the same moment.
    pub fn starting(&self, now: TimePoint) -> Option<SocketAddr> {
        let is_due = |row: &RosterRow| row.start == EntryStart::Awaited && row.is_fresh(now);
        self.rows.iter().find(|(_, row)| is_due(row)).map(|(address, _)| *address)
    }

    /// Returns the hub of this entry.
    ///
    /// The hub is the reachable entry of the own failure domain with the lowest address. If that is
    /// this entry, the hub is the reachable entry with the lowest address in any domain. An entry
    /// with the lowest address of all reads the store itself. A hub's address is always lower than
    /// those of its askers, so two entries never ask each other.
    pub fn hub(&self, now: TimePoint) -> HubChoice {
        let mut before = self.reachable(now).take_while(|(address, _)| **address < self.own);
        let local = before.clone().find(|(_, row)| self.is_in_own_domain(row));
        match local.or_else(|| before.next()) {
            Some((address, _)) => HubChoice::Peer(*address),
            None => HubChoice::Own,
        }
    }

    /// Returns the time between two exchanges with the hub.
    pub fn period(&self, now: TimePoint) -> Duration {
        let hub_is_local = match self.hub(now) {
            HubChoice::Peer(address) => {
                self.rows.get(&address).is_some_and(|r| self.is_in_own_domain(r))
            }
            HubChoice::Own => false,
        };
        let fresh = self.rows.values().filter(|row| row.is_fresh(now));
        let askers = if hub_is_local {
            1 + fresh.filter(|row| self.is_in_own_domain(row)).count()
        } else {
            // One entry of each failure domain asks the root hub.
            let domains: BTreeSet<&str> = fresh.filter_map(|row| row.domain.as_deref()).collect();
            domains.len()
        };
        exchange_period(askers).min(self.budget.max_exchange_period()).max(MIN_PERIOD)
    }

    /// Returns the age of this entry's copy of the store at which the entry reads the store itself.
    pub fn max_store_age(&self, now: TimePoint) -> Duration {
        self.budget.old_age(self.period(now))
    }

    /// Returns the entries to ask for a newer copy of the store, in an order that differs between entries
    /// and from one `round` to the next.
    ///
    /// Entries that did not answer lately are among them: they may have been cut off for a moment.
    pub fn search_order(&self, now: TimePoint, round: u64) -> Vec<SocketAddr> {
        let known = self.rows.iter().filter(|(_, row)| now.since(row.last_heard) < FORGET_TIME);
        let mut order: Vec<(u64, SocketAddr)> = known
            .map(|(address, _)| (hash_text(&format!("{} {address} {round}", self.own)), *address))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, address)| address).collect()
    }

    /// Reports whether exactly one reachable entry, the root hub, has a lower address than this
    /// entry, so that this entry replaces the root hub if the root hub fails.
    pub fn is_standby(&self, now: TimePoint) -> bool {
        let mut before = self.reachable(now).filter(|(address, _)| **address < self.own);
        before.next().is_some() && before.next().is_none()
    }

    /// Returns this entry's place among the reachable entries and itself as a fraction from 0 to 1, at
    /// the part `within` of its place; the same order at all entries that know the same ones.
    ///
    /// Entries that act at these places of a period act one after the other, so that one of them
    /// acts soon in every period. At random places all of them may act late.
    pub fn place(&self, now: TimePoint, within: f64) -> f64 {
        let mixed = |address: &SocketAddr| hash_text(&address.to_string());
        let own = mixed(&self.own);
        let others: Vec<u64> = self.reachable(now).map(|(address, _)| mixed(address)).collect();
        let before = others.iter().filter(|other| **other < own).count();
        (before as f64 + within) / (others.len() as f64 + 1.0)
    }

    /// Returns an entry to exchange data with in addition to the hub, rotating with `turn`.
    ///
    /// Returns `None` if no entry is reachable.
    pub fn other(&self, now: TimePoint, turn: usize) -> Option<SocketAddr> {
        let others: Vec<SocketAddr> = self.reachable(now).map(|(address, _)| *address).collect();
        others.get(turn % others.len().max(1)).copied()
    }

    /// Returns the entries to report to an entry of `domain`.
    ///
    /// The list has all entries of `domain` with recent contact and the first three such entries of
    /// each other failure domain.
    pub fn listed_to(&self, now: TimePoint, domain: &str) -> Vec<KnownEntry> {
        let mut counts: BTreeMap<Option<&str>, usize> = BTreeMap::new();
        let own = (self.own, Some(&*self.domain), 0);
        let others = self.rows.iter().filter(|(_, row)| row.is_fresh(now)).map(|(address, row)| {
            (*address, row.domain.as_deref(), now.since(row.last_heard).as_millis() as u32)
        });
        let mut known: Vec<(SocketAddr, Option<&str>, u32)> = others.chain([own]).collect();
        known.sort_unstable();
        known.retain(|(_, of, _)| {
            let count = counts.entry(*of).or_default();
            *count += 1;
            *of == Some(domain) || *count <= MAX_LISTED_PER_FOREIGN_DOMAIN
        });
        let entries = known.into_iter().map(|(address, domain, age_ms)| KnownEntry {
            address,
            domain: domain.map(Into::into),
            age_ms,
        });
        entries.collect()
    }

    /// Returns the entries to report, in addition to those of [`listed_to`](HubRoster::listed_to), to an
    /// entry of `domain` in the report number `turn`.
    pub fn listed_in_turn(&self, now: TimePoint, domain: &str, turn: usize) -> Vec<KnownEntry> {
        let mut others: BTreeMap<&str, Vec<(SocketAddr, u32)>> = BTreeMap::new();
        for (address, row) in self.rows.iter().filter(|(_, row)| row.is_fresh(now)) {
            if let Some(of) = row.domain.as_deref().filter(|of| *of != domain) {
                let age_ms = now.since(row.last_heard).as_millis() as u32;
                others.entry(of).or_default().push((*address, age_ms));
            }
        }
        let mut listed = Vec::new();
        for (of, rows) in others {
            let rest = rows.get(MAX_LISTED_PER_FOREIGN_DOMAIN..).unwrap_or(&[]);
            let begin = turn.wrapping_mul(LISTED_IN_TURN_PER_DOMAIN) % rest.len().max(1);
            let in_turn = rest.iter().cycle().skip(begin);
            let in_turn = in_turn.take(LISTED_IN_TURN_PER_DOMAIN.min(rest.len()));
            listed.extend(in_turn.map(|(address, age_ms)| KnownEntry {
                address: *address,
                domain: Some(of.into()),
                age_ms: *age_ms,
            }));
        }
        listed
    }

    fn is_in_own_domain(&self, row: &RosterRow) -> bool {
        row.domain.as_ref() == Some(&self.domain)
    }

    fn reachable(&self, now: TimePoint) -> impl Iterator<Item = (&SocketAddr, &RosterRow)> + Clone {
        self.rows.iter().filter(move |(_, row)| row.is_reachable(now))
    }
}
