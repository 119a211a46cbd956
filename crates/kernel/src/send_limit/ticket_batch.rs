//! Tickets that expire together.

use std::time::Duration;

use crate::time::TimePoint;

/// Time from the issue of a ticket until it expires.
pub(super) const TICKET_LIFE: Duration = Duration::from_secs(2);

/// Time before a ticket expires from which requests of any rank may use it.
const FREE_TIME: Duration = Duration::from_millis(500);

/// Tickets that expire together; each allows one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TicketBatch {
    /// Term of this entry in which it got or issued the tickets.
    pub(super) term: u32,
    /// Rank that the tickets are meant for.
    pub(super) rank: u8,
    pub(super) count: u32,
    pub(super) expires: TimePoint,
}

impl TicketBatch {
    /// Reports whether a request of `rank` may use a ticket: it is meant for requests of this rank
    /// or of a less urgent one, or waited for a more urgent one for most of its life.
    pub(super) fn allows(&self, now: TimePoint, rank: u8) -> bool {
        self.rank >= rank || now + FREE_TIME >= self.expires
    }

    pub(super) fn is_expired(&self, now: TimePoint) -> bool {
        now >= self.expires
    }
}

/// Returns the index of the batch that a request of `rank` uses: one for its rank or the next less
/// urgent one, or else one that a more urgent request did not need.
pub(super) fn usable_batch(batches: &[TicketBatch], now: TimePoint, rank: u8) -> Option<usize> {
    let usable = batches
        .iter()
        .enumerate()
        .filter(|(_, batch)| batch.count > 0 && !batch.is_expired(now) && batch.allows(now, rank));
    let order = |batch: &TicketBatch| (batch.rank < rank, batch.rank, batch.expires);
    usable.min_by_key(|(_, batch)| order(batch)).map(|(index, _)| index)
}
