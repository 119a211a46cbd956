//! Requests that are known to complete.

use std::collections::HashSet;

/// Fingerprints kept in each of the two generations.
const GENERATION_SIZE: usize = 8192;

/// Fingerprints of requests that completed lately; bounded by two generations.
#[derive(Debug, Default)]
pub(crate) struct CompletedSet {
    young: HashSet<u64>,
    old: HashSet<u64>,
}

impl CompletedSet {
    /// Notes a completion.
    pub(crate) fn insert(&mut self, fingerprint: u64) {
        if self.young.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(fingerprint);
    }

    /// Returns whether the request completed lately.
    pub(crate) fn contains(&self, fingerprint: u64) -> bool {
        self.young.contains(&fingerprint) || self.old.contains(&fingerprint)
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        (self.young.capacity() + self.old.capacity()) * size_of::<u64>()
    }
}
