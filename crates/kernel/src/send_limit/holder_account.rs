//! The tickets that an entry issued to one of its askers.

use std::{collections::VecDeque, time::Duration};

use crate::{
    send_limit::{limit_report::HoldingRow, want_list::WantList},
    time::TimePoint,
};

/// Time after its last report for which an asker's wants count.
const WANT_LIFE: Duration = Duration::from_secs(2);

/// Time after their expiry for which the word on unused tickets is awaited.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Tickets that were issued together and whose use is not known yet.
#[derive(Clone, Copy, Debug)]
struct IssuedLot {
    /// Term of the issuing entry.
    term: u32,
    /// Term of the holder.
    holder_term: u32,
    count: u32,
    expires: TimePoint,
}

/// Tickets whose fate became known, by the term in which they were issued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SettledCount {
    pub(super) used: u32,
    pub(super) returned: u32,
}

/// The tickets that an entry issued to one asker.
#[derive(Clone, Debug, Default)]
pub(super) struct HolderAccount {
    /// Newest term that the holder reported.
    holder_term: u32,
    /// Tickets that the holder used and returned in its term, as it reported last.
    used: u64,
    returned: u64,
    lots: VecDeque<IssuedLot>,
    wants: WantList,
    heard_at: TimePoint,
}

impl HolderAccount {
    /// Returns the sends that the holder wants, if it reported lately.
    pub(super) fn wants(&self, now: TimePoint) -> WantList {
        if now.since(self.heard_at) < WANT_LIFE { self.wants } else { WantList::default() }
    }

    /// Returns the number of tickets issued in `term` whose use is not known.
    pub(super) fn outstanding(&self, term: u32) -> u32 {
        self.lots
            .iter()
            .filter(|lot| lot.term == term)
            .fold(0, |sum, lot| sum.saturating_add(lot.count))
    }

    /// Applies a report of the holder, and returns which tickets of `term` it settles.
    ///
    /// The counts of a report are totals, so reports that come twice or late change nothing.
    pub(super) fn settle(
        &mut self,
        now: TimePoint,
        term: u32,
        holder_term: u32,
        row: &HoldingRow,
    ) -> SettledCount {
        if holder_term < self.holder_term {
            return SettledCount::default();
        }
        if holder_term > self.holder_term {
            (self.holder_term, self.used, self.returned) = (holder_term, 0, 0);
        }
        if row.used < self.used || row.returned < self.returned {
            return SettledCount::default();
        }
        let (used, returned) = (row.used - self.used, row.returned - self.returned);
        (self.used, self.returned) = (row.used, row.returned);
        self.wants = WantList::new(&row.wants);
        self.heard_at = now;
        SettledCount {
            used: self.remove(term, holder_term, used),
            returned: self.remove(term, holder_term, returned),
        }
    }

    /// Removes the oldest tickets of the holder's term, and returns how many of them were issued in
    /// `term`.
    fn remove(&mut self, term: u32, holder_term: u32, count: u64) -> u32 {
        let (mut left, mut of_term) = (count, 0);
        for lot in self.lots.iter_mut().filter(|lot| lot.holder_term == holder_term) {
            let removed = u64::from(lot.count).min(left);
            lot.count -= removed as u32;
            left -= removed;
            if lot.term == term {
                of_term = u32::saturating_add(of_term, removed as u32);
            }
        }
        self.lots.retain(|lot| lot.count > 0);
        of_term
    }

    /// Notes tickets that were issued to the holder for `rank`.
    pub(super) fn issue(&mut self, term: u32, rank: u8, count: u32, expires: TimePoint) {
        self.wants.remove(rank, count);
        self.lots.push_back(IssuedLot { term, holder_term: self.holder_term, count, expires });
    }

    /// Drops tickets that expired without word of their use, and returns the number of those that
    /// were issued in `term`. They may have been used.
    pub(super) fn expire(&mut self, now: TimePoint, term: u32) -> u32 {
        let is_lost = |lot: &IssuedLot| now >= lot.expires + SETTLE_TIME;
        let lost = self.lots.iter().filter(|lot| is_lost(lot) && lot.term == term);
        let count = lost.fold(0, |sum: u32, lot| sum.saturating_add(lot.count));
        self.lots.retain(|lot| !is_lost(lot));
        count
    }

    /// Reports whether nothing is known of the holder any more.
    pub(super) fn is_idle(&self, now: TimePoint) -> bool {
        self.lots.is_empty() && now.since(self.heard_at) >= WANT_LIFE + SETTLE_TIME
    }
}
