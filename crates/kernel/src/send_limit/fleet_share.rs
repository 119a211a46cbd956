//! The part of a limit that a root hub may hand out.

use std::{collections::VecDeque, time::Duration};

use crate::{hub::SlidingMaximum, time::TimePoint};

/// Time for which an entry remembers how large the fleet was. A part of the fleet that is cut off
/// for less than this time does not take over the other parts' shares.
const FLEET_MEMORY: Duration = Duration::from_secs(900);

/// Time for which a number of entries must hold before it is remembered. An entry that changes its
/// hub is counted twice for a moment.
const STEADY_TIME: Duration = Duration::from_secs(3);

/// Relates the entries that a root hub hears of to all that there are.
#[derive(Clone, Debug)]
pub(super) struct FleetShare {
    /// Entries that the settings name, including this one.
    named: u32,
    known: SlidingMaximum,
    /// Numbers of entries that this entry counted lately, with their times.
    counts: VecDeque<(TimePoint, u32)>,
}

impl FleetShare {
    pub(super) fn new() -> FleetShare {
        FleetShare {
            named: 1,
            known: SlidingMaximum::with_span(FLEET_MEMORY),
            counts: VecDeque::new(),
        }
    }

    /// Sets the number of entries that the settings name, including this one.
    pub(super) fn set_named(&mut self, entries: u32) {
        self.named = entries.max(1);
    }

    /// Reports whether the settings name no entry but this one.
    pub(super) fn names_none(&self) -> bool {
        self.named == 1
    }

    /// Notes the number of entries that the root hub told.
    pub(super) fn note_told(&mut self, now: TimePoint, entries: u32) {
        self.counts.clear();
        self.known.note(now, entries);
    }

    /// Notes the number of entries that this entry counts as the root hub.
    pub(super) fn note_counted(&mut self, now: TimePoint, entries: u32) {
        self.counts.push_back((now, entries));
        while self.counts.get(1).is_some_and(|(at, _)| now.since(*at) >= STEADY_TIME) {
            self.counts.pop_front();
        }
        if let Some(steady) = self.steady(now) {
            self.known.note(now, steady);
        }
    }

    /// Returns the lowest count of the last seconds; `None` if this entry did not count for so long.
    pub(super) fn steady(&self, now: TimePoint) -> Option<u32> {
        let (first, _) = self.counts.front()?;
        let lowest = self.counts.iter().map(|(_, entries)| *entries).min();
        lowest.filter(|_| now.since(*first) >= STEADY_TIME)
    }

    /// Returns the largest fleet that this entry remembers.
    pub(super) fn known(&mut self, now: TimePoint) -> u32 {
        self.known.note(now, 0).max(self.named)
    }

    /// Returns the part of a limit that `entries` entries may use, from 0 to 1.
    ///
    /// The shares of parts of a fleet that cannot reach each other add up to 1 at most, as long as
    /// each of them remembers the whole fleet.
    pub(super) fn of(&mut self, now: TimePoint, entries: u32) -> f64 {
        f64::from(entries) / f64::from(self.known(now).max(entries).max(1))
    }
}
