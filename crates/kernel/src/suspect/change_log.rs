//! The order in which the rows of a replicated table changed.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
};

use serde::{Deserialize, Serialize};

/// Number of changes that a ledger has made, and the run of the process that made them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerPosition {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Changes so far.
    pub changes: u64,
}

/// Numbers the changes of rows by key, so that another process can be sent those it lacks.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    incarnation: u64,
    /// Changes so far.
    changes: u64,
    /// Number of the last change of each key.
    last_changes: HashMap<u64, u64>,
    /// Key of each number in `last_changes`.
    changed: BTreeMap<u64, u64>,
}

impl ChangeLog {
    /// Returns a log without changes for the process run `incarnation`.
    pub(crate) fn new(incarnation: u64) -> ChangeLog {
        ChangeLog {
            incarnation,
            changes: 0,
            last_changes: HashMap::new(),
            changed: BTreeMap::new(),
        }
    }

    /// Notes that the row of `key` changed.
    pub(crate) fn note(&mut self, key: u64) {
        self.changes += 1;
        if let Some(last) = self.last_changes.insert(key, self.changes) {
            self.changed.remove(&last);
        }
        self.changed.insert(self.changes, key);
    }

    /// Returns the number of keys that have a change.
    pub(crate) fn len(&self) -> usize {
        self.last_changes.len()
    }

    /// Drops the changes of keys that `is_kept` rejects.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.last_changes.retain(|key, _| is_kept(*key));
        self.changed
            .retain(|number, key| self.last_changes.get(key).is_some_and(|last| last == number));
    }

    /// Returns the position after all changes so far.
    pub(crate) fn position(&self) -> LedgerPosition {
        LedgerPosition { incarnation: self.incarnation, changes: self.changes }
    }

    /// Returns at most `limit` keys that changed after `seen`, and the position after these changes.
    ///
    /// A position of an earlier run of this process counts as the start.
    pub(crate) fn since(&self, seen: LedgerPosition, limit: usize) -> (LedgerPosition, Vec<u64>) {
        let seen = if seen.incarnation == self.incarnation { seen.changes } else { 0 };
        let unseen = self.changed.range((Bound::Excluded(seen), Bound::Unbounded)).take(limit);
        let (numbers, keys): (Vec<u64>, Vec<u64>) = unseen.unzip();
        let is_cut = numbers.len() == limit;
        let changes = numbers.last().copied().filter(|_| is_cut).unwrap_or(self.changes);
        (LedgerPosition { changes, ..self.position() }, keys)
    }
}
