//! Whom an entry asks for a newer copy of the store while its own is old.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use crate::{hub::AgeBudget, time::TimePoint};

/// Time by which a search begins before the copy is too old, so that an entry which another one can help
/// need not try the store.
const SEARCH_LEAD: Duration = Duration::from_millis(150);

/// Longest time between two checks whether a search is due.
const MAX_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// A search for a newer copy of the store at other entries.
///
/// The search does not depend on who is whose hub: it asks one entry, then two, then four at a time until it
/// has asked all, so that entries which are lost, stand still or have old copies themselves delay it by a
/// few steps only. A search that finds nothing is repeated after a pause.
#[derive(Clone, Debug, Default)]
pub struct CopySearch {
    asked: BTreeSet<SocketAddr>,
    /// Number of entries that are asked in the next step.
    width: usize,
    next_step: TimePoint,
}

impl CopySearch {
    /// Returns a search that has asked nobody.
    pub fn new() -> CopySearch {
        CopySearch::default()
    }

    /// Returns the entries to ask now for a copy that is newer than this entry's; none while the copy, which
    /// turns too old at `old_since`, need not be renewed yet. `known` are the other entries, in the order in
    /// which this entry asks them.
    pub fn step(
        &mut self,
        now: TimePoint,
        old_since: TimePoint,
        known: &[SocketAddr],
        budget: AgeBudget,
    ) -> Vec<SocketAddr> {
        if now + SEARCH_LEAD < old_since {
            *self = CopySearch::new();
            return Vec::new();
        }
        if now < self.next_step {
            return Vec::new();
        }
        self.width = (2 * self.width).max(1);
        let left = known.iter().filter(|address| !self.asked.contains(*address));
        let asked: Vec<SocketAddr> = left.take(self.width).copied().collect();
        self.asked.extend(asked.iter().copied());
        let is_over = known.iter().all(|address| self.asked.contains(address));
        self.next_step = now + budget.search_step();
        if is_over {
            *self = CopySearch { next_step: now + budget.search_period(), ..CopySearch::new() };
        }
        asked
    }

    /// Reports whether everyone was asked, or nobody yet.
    pub fn has_ended(&self) -> bool {
        self.asked.is_empty()
    }

    /// Returns the time until the next step may be due.
    pub fn until_step(&self, now: TimePoint, old_since: TimePoint) -> Duration {
        let begin = old_since - SEARCH_LEAD;
        now.until(self.next_step.max(begin)).min(MAX_CHECK_PERIOD)
    }
}
