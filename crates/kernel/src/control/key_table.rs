//! Keys of callers and their withdrawal.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    record::{KeyCreated, KeyWithdrawn},
    time::TimePoint,
};

/// Time for which other processes leave the append of a withdrawal to the process that accepted it.
const PEER_APPEND_DELAY: Duration = Duration::from_secs(10);

/// Range of the delay by which other processes spread their appends of one withdrawal.
const PEER_APPEND_JITTER: Duration = Duration::from_secs(30);

/// Effect of a record that creates a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCreation {
    /// The key was added.
    Created,
    /// The same key was created before.
    Known,
    /// The key was not added because its hash belongs to another account.
    Taken,
}

/// Count and checksum of all known withdrawals; equal on processes that know the same withdrawals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalDigest {
    /// Number of known withdrawals.
    pub count: u64,
    /// Exclusive or of the hashes of the withdrawn keys' hashes.
    pub checksum: u64,
}

#[derive(Clone, Debug)]
struct Tombstone {
    record: KeyWithdrawn,
    logged: bool,
    own: bool,
    learned_at: TimePoint,
}

/// Keys by hash, and the set of withdrawals, from which nothing is ever removed.
///
/// A withdrawal is a tombstone for a hash: it stays in force whatever the order in which records
/// and peers deliver it, even if it arrives before the key is created.
#[derive(Clone, Debug)]
pub struct KeyTable {
    name: Box<str>,
    created: BTreeMap<Box<str>, KeyCreated>,
    tombstones: HashMap<Box<str>, Tombstone>,
    arrival_order: Vec<Box<str>>,
    digest: WithdrawalDigest,
}

impl KeyTable {
    /// Returns an empty table of the process `name`.
    pub fn new(name: &str) -> KeyTable {
        KeyTable {
            name: name.into(),
            created: BTreeMap::new(),
            tombstones: HashMap::new(),
            arrival_order: Vec::new(),
            digest: WithdrawalDigest::default(),
        }
    }

    /// Returns the account `TEAM/ACCOUNT` of a key, or `None` if the key is unknown or withdrawn.
    ///
    /// `hash` is the SHA-256 of the key in lowercase hexadecimal digits.
    pub fn account_of(&self, hash: &str) -> Option<&str> {
        if self.is_withdrawn(hash) {
            return None;
        }
        self.created.get(hash).map(|created| &*created.account)
    }

    /// Reports whether a key with this hash was ever created or withdrawn.
    pub fn is_known(&self, hash: &str) -> bool {
        self.created.contains_key(hash) || self.is_withdrawn(hash)
    }

    /// Reports whether the key with this hash is withdrawn.
    pub fn is_withdrawn(&self, hash: &str) -> bool {
        self.tombstones.contains_key(hash)
    }

    /// Adds a key from a record of the log.
    pub fn create(&mut self, created: &KeyCreated) -> KeyCreation {
        match self.created.get(&created.hash) {
            None => {
                self.created.insert(created.hash.clone(), created.clone());
                KeyCreation::Created
            }
            Some(known) if known.account == created.account => KeyCreation::Known,
            Some(_) => KeyCreation::Taken,
        }
    }

    /// Applies an operator's withdrawal, which takes effect in this process at once, and reports
    /// whether it is new.
    ///
    /// The caller sends the withdrawal to the peers immediately and appends it as soon as the log
    /// accepts it, see [`due_appends`](KeyTable::due_appends).
    pub fn withdraw(&mut self, withdrawn: KeyWithdrawn, now: TimePoint) -> bool {
        self.insert(withdrawn, false, true, now)
    }

    /// Applies withdrawals from a peer and returns the hashes that this process did not know as
    /// withdrawn.
    pub fn merge(&mut self, withdrawn: &[KeyWithdrawn], now: TimePoint) -> Vec<Box<str>> {
        let mut fresh = Vec::new();
        for record in withdrawn {
            if self.insert(record.clone(), false, false, now) {
                fresh.push(record.hash.clone());
            }
        }
        fresh
    }

    /// Applies a withdrawal that the log holds.
    pub fn withdraw_logged(&mut self, withdrawn: &KeyWithdrawn) {
        self.insert(withdrawn.clone(), true, false, TimePoint::ZERO);
        if let Some(tombstone) = self.tombstones.get_mut(&withdrawn.hash) {
            tombstone.logged = true;
        }
    }

    /// Returns the withdrawals that this process has to append to the log now.
    ///
    /// `log_up_since` is when the log became reachable again. A process appends the withdrawals
    /// that it accepted itself at once, and those of other processes after a delay that differs
    /// between processes, so that few of them append the same one. Appending a withdrawal twice has
    /// no further effect.
    pub fn due_appends(&self, now: TimePoint, log_up_since: TimePoint) -> Vec<KeyWithdrawn> {
        let due = |tombstone: &&Tombstone| {
            let since = now.since(tombstone.learned_at.max(log_up_since));
            tombstone.own || since >= PEER_APPEND_DELAY + self.append_jitter(&tombstone.record.hash)
        };
        let unlogged = self.tombstones.values().filter(|tombstone| !tombstone.logged);
        let mut records: Vec<KeyWithdrawn> =
            unlogged.filter(due).map(|tombstone| tombstone.record.clone()).collect();
        records.sort_unstable_by(|a, b| a.hash.cmp(&b.hash));
        records
    }

    /// Returns the withdrawals from `position` on, in the order in which this process learned them.
    ///
    /// A peer requests them with the [`position`](KeyTable::position) that it got with the last
    /// response of the same run of this process.
    pub fn withdrawals_since(&self, position: u64) -> Vec<KeyWithdrawn> {
        let position = usize::try_from(position).unwrap_or(usize::MAX);
        let hashes = self.arrival_order.get(position..).unwrap_or_default();
        hashes.iter().map(|hash| self.tombstones[hash].record.clone()).collect()
    }

    /// Returns the number of withdrawals that this process has learned.
    pub fn position(&self) -> u64 {
        self.arrival_order.len() as u64
    }

    /// Returns the digest of all withdrawals; peers whose digests differ exchange all withdrawals.
    pub fn digest(&self) -> WithdrawalDigest {
        self.digest
    }

    /// Returns all keys ever created, withdrawn ones included, ordered by hash.
    pub fn created(&self) -> impl Iterator<Item = &KeyCreated> + '_ {
        self.created.values()
    }

    /// Returns the withdrawals that the log holds, ordered by hash.
    pub(crate) fn logged(&self) -> impl Iterator<Item = &KeyWithdrawn> + '_ {
        let logged = self.tombstones.values().filter(|tombstone| tombstone.logged);
        let mut records: Vec<&KeyWithdrawn> = logged.map(|tombstone| &tombstone.record).collect();
        records.sort_unstable_by(|a, b| a.hash.cmp(&b.hash));
        records.into_iter()
    }

    fn insert(&mut self, record: KeyWithdrawn, logged: bool, own: bool, now: TimePoint) -> bool {
        if let Some(known) = self.tombstones.get_mut(&record.hash) {
            known.own |= own;
            return false;
        }
        self.digest.count += 1;
        self.digest.checksum ^= short_hash(&[&record.hash]);
        self.arrival_order.push(record.hash.clone());
        let hash = record.hash.clone();
        self.tombstones.insert(hash, Tombstone { record, logged, own, learned_at: now });
        true
    }

    fn append_jitter(&self, hash: &str) -> Duration {
        let jitter = PEER_APPEND_JITTER.as_millis() as u64;
        Duration::from_millis(short_hash(&[&self.name, hash]) % jitter)
    }
}

/// Returns the first 64 bits of the SHA-256 of `parts`, each followed by a zero byte.
pub(crate) fn short_hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}
