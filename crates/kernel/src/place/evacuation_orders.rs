//! The failure domains that operators have ordered to be evacuated.

use std::{collections::BTreeSet, mem, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    log_position::{LogPosition, MAX_ERA, MAX_OFFSET},
    time::TimePoint,
};

/// Time after a store came back from an older copy in which operators write again what it lost.
/// An order that the store lacks until then stays in force.
const REWRITE_TIME: Duration = Duration::from_secs(4);

/// Maximum number of evacuated failure domains; further orders are ignored.
const MAX_DOMAINS: usize = 1_024;

/// The orders in force at a position of the store, for another entry.
///
/// Position and orders come from one entry and replace the receiver's as a whole, so that an order
/// that was taken back does not come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    position: LogPosition,
    domains: BTreeSet<Box<str>>,
}

impl EvacuationUpdate {
    /// Returns the orders in force at `position`.
    pub fn new(position: LogPosition, domains: BTreeSet<Box<str>>) -> EvacuationUpdate {
        EvacuationUpdate { position, domains }
    }

    /// Reports whether an entry can have sent the update.
    pub fn is_readable(&self) -> bool {
        self.position.era <= MAX_ERA
            && self.position.offset <= MAX_OFFSET
            && self.domains.len() <= MAX_DOMAINS
    }
}

/// What an entry knows of the orders to evacuate failure domains.
///
/// The orders are records of the operators in the store. The entry that reads the store passes the
/// orders on with the position up to which it knows them. Of two sets of orders the one of the
/// later position counts.
#[derive(Clone, Debug, Default)]
pub struct EvacuationOrders {
    /// Position up to which all orders are known; `None` if none were read.
    position: Option<LogPosition>,
    domains: BTreeSet<Box<str>>,
    /// Orders that a store which came back from an older copy lacks, and the end of the time in
    /// which they may be written again.
    unconfirmed: BTreeSet<Box<str>>,
    confirm_by: TimePoint,
}

impl EvacuationOrders {
    /// Returns the orders of an entry that has read nothing.
    pub fn new() -> EvacuationOrders {
        EvacuationOrders::default()
    }

    /// Returns the failure domains that are to get no requests.
    pub fn domains(&self) -> &BTreeSet<Box<str>> {
        &self.domains
    }

    /// Returns the position up to which all orders are known; `None` if none were read.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Reports whether orders are in force that the store may have lost.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Applies the list of all orders in the records before `end`, and reports whether the
    /// evacuated domains changed.
    pub fn apply_list(
        &mut self,
        now: TimePoint,
        end: LogPosition,
        listed: BTreeSet<Box<str>>,
    ) -> bool {
        if self.position.is_some_and(|known| known >= end) {
            return false;
        }
        let is_new_era = self.position.is_some_and(|known| known.era < end.era);
        let mut domains: BTreeSet<Box<str>> = listed.into_iter().take(MAX_DOMAINS).collect();
        self.unconfirmed.clear();
        if is_new_era {
            self.unconfirmed = self.domains.difference(&domains).cloned().collect();
            self.confirm_by = now + REWRITE_TIME;
            domains.extend(self.unconfirmed.iter().cloned());
        }
        // The position before the end leaves room for the one at which the unconfirmed orders end.
        let has_unconfirmed = !self.unconfirmed.is_empty();
        let offset = end.offset.saturating_sub(u64::from(has_unconfirmed));
        self.position = Some(LogPosition { offset, ..end });
        mem::replace(&mut self.domains, domains) != self.domains
    }

    /// Applies a record at `position` that orders the evacuation of `domain` or takes it back, and
    /// reports whether the evacuated domains changed.
    pub fn apply_record(&mut self, position: LogPosition, domain: &str, is_ordered: bool) -> bool {
        if self.position.is_some_and(|known| known > position) {
            return false;
        }
        self.unconfirmed.remove(domain);
        self.position = Some(position.next());
        if is_ordered {
            self.domains.len() < MAX_DOMAINS && self.domains.insert(domain.into())
        } else {
            self.domains.remove(domain)
        }
    }

    /// Ends the orders that a store which came back from an older copy still lacks, and reports
    /// whether the evacuated domains changed.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        if self.unconfirmed.is_empty() || now < self.confirm_by {
            return false;
        }
        let ended = mem::take(&mut self.unconfirmed);
        self.domains.retain(|domain| !ended.contains(domain));
        self.position = self.position.map(LogPosition::next);
        true
    }

    /// Returns what an entry lacks that knows the orders up to `known`; `None` if it lacks nothing.
    pub fn update_for(&self, known: Option<LogPosition>) -> Option<EvacuationUpdate> {
        let position = self.position.filter(|own| known.is_none_or(|known| known < *own))?;
        Some(EvacuationUpdate { position, domains: self.domains.clone() })
    }

    /// Takes over the orders of another entry if they are of a later position, and reports whether
    /// the evacuated domains changed.
    pub fn adopt(&mut self, update: EvacuationUpdate) -> bool {
        if !update.is_readable() || self.position.is_some_and(|own| own >= update.position) {
            return false;
        }
        self.unconfirmed.clear();
        self.position = Some(update.position);
        mem::replace(&mut self.domains, update.domains) != self.domains
    }
}
