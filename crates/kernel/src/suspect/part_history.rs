//! What is known of one prompt part: the crashes at which it ran, and its last completed run.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use crate::suspect::PartCrash;

/// Maximum number of crash records of a part; the oldest are kept.
pub const MAX_PART_CRASHES: usize = 24;

/// The crashes at which requests with a prompt part ran, and the last run that completed.
///
/// The merge of two histories is a semilattice join unless the size limit applies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartHistory {
    /// Crash records, in the order of endpoint and crash.
    pub crashes: Vec<PartCrash>,
    /// Time since a request with the part last completed; `None` if none did since the first crash.
    pub completed: Option<Duration>,
}

impl PartHistory {
    /// Adds the record of a crash or merges it with that of the same crash.
    pub fn merge_crash(&mut self, crash: &PartCrash) {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.same_crash(crash)) {
            known.merge(crash);
            return;
        }
        self.crashes.push(crash.clone());
        self.crashes.sort_by(|a, b| (&a.endpoint, a.crash_id).cmp(&(&b.endpoint, b.crash_id)));
        if self.crashes.len() > MAX_PART_CRASHES {
            // Crashes that do not count go first, then the youngest.
            let rank = |index: &usize| {
                let crash = &self.crashes[*index];
                (self.counts(crash), crash.age)
            };
            if let Some(index) = (0..self.crashes.len()).min_by_key(rank) {
                self.crashes.remove(index);
            }
        }
    }

    /// Merges what another process knows of the part.
    pub fn merge(&mut self, other: &PartHistory) {
        self.completed = match (self.completed, other.completed) {
            (Some(completed), Some(other)) => Some(completed.min(other)),
            (completed, other) => completed.or(other),
        };
        other.crashes.iter().for_each(|crash| self.merge_crash(crash));
    }

    /// Adds `elapsed` to all ages and drops what is older than `ttl`.
    pub fn advance(&mut self, elapsed: Duration, ttl: Duration) {
        self.crashes.iter_mut().for_each(|crash| crash.age = crash.age.saturating_add(elapsed));
        self.crashes.retain(|crash| crash.age < ttl);
        self.completed =
            self.completed.map(|age| age.saturating_add(elapsed)).filter(|age| *age < ttl);
    }

    /// Reports whether the history holds no crash.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Reports whether a request with the part is known to have completed.
    pub fn is_proven(&self) -> bool {
        self.completed.is_some() || self.counted().any(|crash| crash.proven)
    }

    /// Returns the crashes that count against the part: those since a request with it completed.
    pub fn counted(&self) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter().filter(|crash| self.counts(crash))
    }

    fn counts(&self, crash: &PartCrash) -> bool {
        let is_voided = self.completed.is_some_and(|completed| crash.age >= completed);
        crash.evidence.counts_against() && !is_voided
    }

    /// Reports whether the history may lack crashes that are younger than those it holds.
    pub fn is_full(&self) -> bool {
        self.crashes.len() >= MAX_PART_CRASHES
    }

    /// Reports whether requests with the part ran at the crash that `other` describes, as far as
    /// known. A full history may lack a young crash, so it counts as one that has it.
    pub fn has_crash(&self, other: &PartCrash) -> bool {
        let oldest = || self.crashes.iter().map(|crash| crash.age).max();
        self.crashes.iter().any(|crash| crash.same_crash(other) && self.counts(crash))
            || (self.is_full() && oldest().is_some_and(|oldest| other.age < oldest))
    }
}

/// Returns the largest number of crashes whose lost runs did not overlap.
///
/// Requests that ran at the same time are lost together by whatever ends their endpoints. A run that
/// began after one crash and ended with the next is evidence of its own.
pub(crate) fn separate_crashes<'a>(crashes: impl Iterator<Item = &'a PartCrash>) -> usize {
    count_chain(crashes, |_, _| true)
}

/// Returns the largest number of separate crashes between which other requests of the service
/// completed.
///
/// If nothing completes between crashes, the service fails whatever it runs.
pub(crate) fn contrasted_crashes<'a>(crashes: impl Iterator<Item = &'a PartCrash>) -> usize {
    count_chain(crashes, |last, crash| {
        crash.idle.is_some_and(|idle| crash.age.saturating_add(idle) < last)
    })
}

/// Returns the length of the longest chain of crashes of which each one's runs began after the crash
/// before, and `follows` accepts it after the age of that crash.
fn count_chain<'a>(
    crashes: impl Iterator<Item = &'a PartCrash>,
    follows: impl Fn(Duration, &PartCrash) -> bool,
) -> usize {
    let mut crashes: Vec<&PartCrash> = crashes.collect();
    crashes.sort_by_key(|crash| Reverse(crash.age));
    let mut chain = 0;
    let mut last: Option<Duration> = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.start_age() < last && follows(last, crash)) {
            chain += 1;
            last = Some(crash.age);
        }
    }
    chain
}
