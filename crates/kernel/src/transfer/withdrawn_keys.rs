//! API keys whose withdrawal is known before the configuration that withdraws them.

use std::collections::BTreeMap;

/// Number of keys that travel ahead of their configuration; more of them travel with it.
const MAX_KEYS: usize = 64;

/// The keys that were withdrawn lately, by the version that did so.
#[derive(Clone, Debug, Default)]
pub struct WithdrawnKeys {
    rows: BTreeMap<Box<str>, u64>,
}

impl WithdrawnKeys {
    /// Returns a table without keys.
    pub fn new() -> WithdrawnKeys {
        WithdrawnKeys::default()
    }

    /// Notes that this version withdraws `key`.
    pub fn note(&mut self, key: &str, version: u64) {
        let known = self.rows.entry(key.into()).or_insert(version);
        *known = version.max(*known);
        if self.rows.len() > MAX_KEYS {
            let oldest = self.rows.iter().min_by_key(|(_, version)| **version);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.rows.remove(&key);
            }
        }
    }

    /// Notes that this entry has a configuration of this version, in which `is_listed` finds keys.
    pub fn settle(&mut self, version: u64, is_listed: impl Fn(&str) -> bool) {
        self.rows.retain(|key, withdrawn| *withdrawn > version || !is_listed(key));
    }

    /// Forgets what versions after `version` withdraw, as the store has lost them.
    pub fn forget_after(&mut self, version: u64) {
        self.rows.retain(|_, withdrawn| *withdrawn <= version);
    }

    /// Returns the keys that were withdrawn after the version `known`, with their versions.
    pub fn since(&self, known: u64) -> Vec<(Box<str>, u64)> {
        let later = self.rows.iter().filter(|(_, version)| **version > known);
        later.map(|(key, version)| (key.clone(), *version)).collect()
    }

    /// Reports whether a version after `own` withdraws `key`.
    pub fn contains(&self, key: &str, own: u64) -> bool {
        self.rows.get(key).is_some_and(|version| *version > own)
    }
}
