//! Fingerprints of requests that have completed.

use std::collections::HashSet;

/// Maximum number of fingerprints in each of the two generations.
const GENERATION_SIZE: usize = 8192;

/// A bounded set of the fingerprints of recently completed requests.
///
/// When the young generation is full, it replaces the old generation.
#[derive(Debug, Default)]
pub(crate) struct CompletedSet {
    young: HashSet<u64>,
    old: HashSet<u64>,
}

impl CompletedSet {
    /// Records that the request with `fingerprint` completed.
    pub(crate) fn insert(&mut self, fingerprint: u64) {
        if self.young.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(fingerprint);
    }

    /// Reports whether the request with `fingerprint` completed recently.
    pub(crate) fn contains(&self, fingerprint: u64) -> bool {
        self.young.contains(&fingerprint) || self.old.contains(&fingerprint)
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        (self.young.capacity() + self.old.capacity()) * size_of::<u64>()
    }
}
