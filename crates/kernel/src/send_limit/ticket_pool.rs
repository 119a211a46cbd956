//! The tickets for one limit that an entry holds, issues and uses.

use std::collections::BTreeMap;

use crate::{
    ids::ProcessId,
    send_limit::{
        holder_account::HolderAccount,
        limit_answer::TicketLot,
        limit_report::HoldingRow,
        ticket_batch::{TICKET_LIFE, TicketBatch, usable_batch},
        want_list::WantList,
    },
    time::TimePoint,
};

/// The tickets for one limit at one entry.
///
/// The root hub mints tickets; all other entries get theirs from their hub. An entry issues tickets
/// to its askers and reserves some for its own requests. It reports to its hub how many of the
/// tickets that it got in the current term were used and how many expired unused, by itself and by
/// its askers; the root hub mints the latter again.
#[derive(Clone, Debug, Default)]
pub(super) struct TicketPool {
    /// Current term; tickets of earlier terms are used up, but no longer accounted for.
    term: u32,
    /// Whether this entry mints tickets in this term.
    mints: bool,
    /// Tickets that were minted and neither issued nor reserved.
    minted: f64,
    /// Time up to which tickets were minted, and the rate at that time; `None` while none are.
    minted_until: Option<(TimePoint, f64)>,
    /// Tickets of the hub that were neither issued nor reserved.
    stock: Vec<TicketBatch>,
    /// Tickets for this entry's own requests.
    own: Vec<TicketBatch>,
    holders: BTreeMap<ProcessId, HolderAccount>,
    /// Tickets of this term that were used, or may have been.
    used: u64,
    /// Tickets of this term that expired unused.
    returned: u64,
}

/// Returns the sum of `counts`, at most what the type holds.
fn total(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

impl TicketPool {
    /// Begins a term in which this entry has another hub, or becomes the root hub.
    pub(super) fn enter_term(&mut self, term: u32, mints: bool) {
        if (self.term, self.mints) == (term, mints) {
            return;
        }
        (self.term, self.mints) = (term, mints);
        (self.minted, self.minted_until) = (0.0, None);
        (self.used, self.returned) = (0, 0);
    }

    /// Mints tickets at `rate` a second; at most `burst` tickets are minted and not known to be
    /// used.
    pub(super) fn mint(&mut self, now: TimePoint, rate: f64, burst: f64) {
        self.expire(now);
        let (since, before) = self.minted_until.replace((now, rate)).unwrap_or((now, rate));
        let room = (burst - f64::from(self.outstanding())).max(0.0);
        // When a rate changed in the meantime is not known; the lower one is safe.
        let minted = rate.min(before) * now.since(since).as_secs_f64();
        self.minted = (self.minted + minted).min(room);
    }

    /// Mints nothing until the next call of [`mint`](TicketPool::mint), not even for the time until
    /// then.
    pub(super) fn pause(&mut self) {
        self.minted_until = None;
    }

    /// Returns the number of tickets of this term that were issued or reserved and may be used yet.
    fn outstanding(&self) -> u32 {
        let issued = self.holders.values().map(|holder| holder.outstanding(self.term));
        let own = self.own.iter().filter(|batch| batch.term == self.term);
        total(issued.chain(own.map(|batch| batch.count)))
    }

    /// Takes tickets that the hub issued.
    pub(super) fn receive(&mut self, rank: u8, count: u32, expires: TimePoint) {
        self.stock.push(TicketBatch { term: self.term, rank, count, expires });
    }

    /// Drops expired tickets.
    pub(super) fn expire(&mut self, now: TimePoint) {
        let term = self.term;
        let expired = self.stock.iter().chain(&self.own).filter(|batch| batch.is_expired(now));
        let unused = total(expired.filter(|batch| batch.term == term).map(|batch| batch.count));
        self.note_returned(unused);
        self.stock.retain(|batch| batch.count > 0 && !batch.is_expired(now));
        self.own.retain(|batch| batch.count > 0 && !batch.is_expired(now));
        let lost = total(self.holders.values_mut().map(|holder| holder.expire(now, term)));
        self.note_used(lost);
        self.holders.retain(|_, holder| !holder.is_idle(now));
    }

    /// Applies what an asker reported of its tickets.
    pub(super) fn settle(
        &mut self,
        now: TimePoint,
        holder: &ProcessId,
        holder_term: u32,
        row: &HoldingRow,
    ) {
        let account = self.holders.entry(holder.clone()).or_default();
        let settled = account.settle(now, self.term, holder_term, row);
        self.note_used(settled.used);
        self.note_returned(settled.returned);
    }

    fn note_used(&mut self, count: u32) {
        self.used = self.used.saturating_add(u64::from(count));
    }

    fn note_returned(&mut self, count: u32) {
        if self.mints {
            self.minted += f64::from(count);
        } else {
            self.returned = self.returned.saturating_add(u64::from(count));
        }
    }

    /// Issues tickets to an asker, as far as it wants them and more urgent wants of others allow.
    pub(super) fn issue(
        &mut self,
        now: TimePoint,
        holder: &ProcessId,
        own_wants: &WantList,
    ) -> Vec<TicketLot> {
        let Some(account) = self.holders.get(holder) else { return Vec::new() };
        let wants = account.wants(now);
        let mut others = self.holder_wants(now, Some(holder));
        others.add_all(own_wants);
        let mut lots = Vec::new();
        for (rank, batch) in self.allot(now, &wants, &others) {
            if let Some(account) = self.holders.get_mut(holder) {
                account.issue(batch.term, rank, batch.count, batch.expires);
            }
            let life_ms = now.until(batch.expires).as_millis() as u32;
            lots.push(TicketLot { rank, count: batch.count, life_ms });
        }
        lots
    }

    /// Reserves tickets for this entry's own requests by the same rules.
    pub(super) fn reserve(&mut self, now: TimePoint, own_wants: &WantList) {
        let others = self.holder_wants(now, None);
        for (rank, batch) in self.allot(now, own_wants, &others) {
            self.own.push(TicketBatch { rank, ..batch });
        }
    }

    /// Uses a ticket for an own request, and returns the time until which the request must be sent.
    ///
    /// While no asker wants any, the request takes a ticket that was not reserved.
    pub(super) fn take(&mut self, now: TimePoint, rank: u8) -> Option<TimePoint> {
        let reserved = usable_batch(&self.own, now, rank);
        let batch = match reserved {
            Some(index) => {
                self.own[index].count -= 1;
                TicketBatch { count: 1, ..self.own[index] }
            }
            None if self.holder_wants(now, None).total() == 0 => self.draw(now, rank, 1).pop()?,
            None => return None,
        };
        if batch.term == self.term {
            self.note_used(1);
        }
        Some(batch.expires)
    }

    /// Returns the tickets that this entry and its askers still want from the hub.
    pub(super) fn wants(&self, now: TimePoint, own_wants: &WantList) -> WantList {
        let mut wants = self.holder_wants(now, None);
        wants.add_all(own_wants);
        self.stock
            .iter()
            .filter(|batch| !batch.is_expired(now))
            .for_each(|batch| wants.remove(batch.rank, batch.count));
        wants
    }

    /// Returns the tickets that all entries want, as far as this entry knows.
    pub(super) fn wanted(&self, now: TimePoint, own_wants: &WantList) -> u32 {
        self.holder_wants(now, None).total().saturating_add(own_wants.total())
    }

    /// Returns the number of tickets that this entry's own requests may use now, by rank.
    pub(super) fn held(&self, now: TimePoint) -> WantList {
        let mut held = WantList::default();
        let has_askers = !self.holders.is_empty();
        let stock = self.stock.iter().filter(|_| !has_askers);
        for batch in self.own.iter().chain(stock).filter(|batch| !batch.is_expired(now)) {
            held.add(batch.rank, batch.count);
        }
        held
    }

    /// Returns the tickets of this term that were used and that expired unused.
    pub(super) fn totals(&self) -> (u64, u64) {
        (self.used, self.returned)
    }

    /// Gives up the tickets that were not issued, unused.
    pub(super) fn give_back(&mut self) {
        let held = self.stock.drain(..).chain(self.own.drain(..));
        let unused = total(held.filter(|batch| batch.term == self.term).map(|batch| batch.count));
        self.note_returned(unused);
    }

    fn holder_wants(&self, now: TimePoint, except: Option<&ProcessId>) -> WantList {
        let mut wants = WantList::default();
        let others = self.holders.iter().filter(|(holder, _)| Some(*holder) != except);
        others.for_each(|(_, account)| wants.add_all(&account.wants(now)));
        wants
    }

    /// Draws the tickets that `wants` get beside `others`: those that more urgent wants of others
    /// leave, in proportion to the wants of the same rank.
    fn allot(
        &mut self,
        now: TimePoint,
        wants: &WantList,
        others: &WantList,
    ) -> Vec<(u8, TicketBatch)> {
        let mut drawn = Vec::new();
        for (rank, wanted) in wants.ranks().filter(|(_, wanted)| *wanted > 0) {
            let free = self.available(now, rank).saturating_sub(others.before(rank));
            let all = f64::from(wanted) + f64::from(others.at(rank));
            let share = (f64::from(free) * f64::from(wanted) / all).ceil() as u32;
            let batches = self.draw(now, rank, wanted.min(share).min(free));
            drawn.extend(batches.into_iter().map(|batch| (rank, batch)));
        }
        drawn
    }

    fn available(&self, now: TimePoint, rank: u8) -> u32 {
        let usable = |batch: &&TicketBatch| !batch.is_expired(now) && batch.allows(now, rank);
        let stock = total(self.stock.iter().filter(usable).map(|batch| batch.count));
        stock.saturating_add(self.minted as u32)
    }

    /// Takes up to `count` tickets out of the stock, and then out of those that were minted.
    fn draw(&mut self, now: TimePoint, rank: u8, count: u32) -> Vec<TicketBatch> {
        let (mut left, mut drawn) = (count, Vec::new());
        while left > 0
            && let Some(index) = usable_batch(&self.stock, now, rank)
        {
            let count = self.stock[index].count.min(left);
            self.stock[index].count -= count;
            drawn.push(TicketBatch { count, ..self.stock[index] });
            left -= count;
        }
        let count = left.min(self.minted as u32);
        if count > 0 {
            self.minted -= f64::from(count);
            let expires = now + TICKET_LIFE;
            drawn.push(TicketBatch { term: self.term, rank, count, expires });
        }
        drawn
    }
}
