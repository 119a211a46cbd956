//! Caller keys and their withdrawal.

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

/// Time that the process which took a withdrawal has to append it before others do.
const PEER_APPEND_DELAY: Duration = Duration::from_secs(10);

/// Time over which the others spread their appends of one withdrawal.
const PEER_APPEND_JITTER: Duration = Duration::from_secs(30);

/// What a record of a new key did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCreation {
    /// The key is new.
    Created,
    /// The same key was created before.
    Known,
    /// The hash belongs to another account; nothing changed.
    Taken,
}

/// Number and combined hash of all withdrawals known; equal on processes that know the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalDigest {
    /// Withdrawals known.
    pub count: u64,
    /// Exclusive or of a hash of each.
    pub checksum: u64,
}

#[derive(Clone, Debug)]
struct Tombstone {
    record: KeyWithdrawn,
    logged: bool,
    own: bool,
    learned_at: TimePoint,
}

/// Keys by hash, and the withdrawals, which only ever grow.
///
/// A withdrawal is a tombstone by hash: it holds whatever order records and peers bring it
/// in, also before the key is created.
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

    /// Returns the account `TEAM/ACCOUNT` of a key that is in force.
    ///
    /// `hash` is the SHA-256 of the key in lowercase hexadecimal digits.
    pub fn account_of(&self, hash: &str) -> Option<&str> {
        if self.is_withdrawn(hash) {
            return None;
        }
        self.created.get(hash).map(|created| &*created.account)
    }

    /// Returns whether a key with this hash was ever created or withdrawn.
    pub fn is_known(&self, hash: &str) -> bool {
        self.created.contains_key(hash) || self.is_withdrawn(hash)
    }

    /// Returns whether a key is withdrawn.
    pub fn is_withdrawn(&self, hash: &str) -> bool {
        self.tombstones.contains_key(hash)
    }

    /// Adds a key from the log.
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

    /// Takes a withdrawal from an operator; it is in force here at once.
    ///
    /// Returns whether it is new. Send it to the peers now, and append it as soon as the log
    /// takes it, see [`due_appends`](KeyTable::due_appends).
    pub fn withdraw(&mut self, withdrawn: KeyWithdrawn, now: TimePoint) -> bool {
        self.insert(withdrawn, false, true, now)
    }

    /// Takes withdrawals from a peer and returns the hashes that are new here.
    pub fn merge(&mut self, withdrawn: &[KeyWithdrawn], now: TimePoint) -> Vec<Box<str>> {
        let mut fresh = Vec::new();
        for record in withdrawn {
            if self.insert(record.clone(), false, false, now) {
                fresh.push(record.hash.clone());
            }
        }
        fresh
    }

    /// Takes a withdrawal that the log holds.
    pub fn withdraw_logged(&mut self, withdrawn: &KeyWithdrawn) {
        self.insert(withdrawn.clone(), true, false, TimePoint::ZERO);
        if let Some(tombstone) = self.tombstones.get_mut(&withdrawn.hash) {
            tombstone.logged = true;
        }
    }

    /// Returns the withdrawals that this process has to append now.
    ///
    /// `log_up_since` is when the log began to answer again. A process appends its own
    /// withdrawals at once and those of others after a while, spread so that few processes
    /// append the same. Appending one twice does no harm.
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

    /// Returns the withdrawals from `position` in the order in which they came here.
    ///
    /// A peer asks with the position up to which it has them, which is
    /// [`position`](KeyTable::position) of the last answer of the same run of this process.
    pub fn withdrawals_since(&self, position: u64) -> Vec<KeyWithdrawn> {
        let position = usize::try_from(position).unwrap_or(usize::MAX);
        let hashes = self.arrival_order.get(position..).unwrap_or_default();
        hashes.iter().map(|hash| self.tombstones[hash].record.clone()).collect()
    }

    /// Returns the number of withdrawals that came here.
    pub fn position(&self) -> u64 {
        self.arrival_order.len() as u64
    }

    /// Returns the digest of all withdrawals; peers that differ exchange all of them.
    pub fn digest(&self) -> WithdrawalDigest {
        self.digest
    }

    /// Returns all keys ever created, in the order of their hashes.
    pub fn created(&self) -> impl Iterator<Item = &KeyCreated> + '_ {
        self.created.values()
    }

    /// Returns the withdrawals that the log holds, in the order of their hashes.
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

/// Returns the first 64 bits of the SHA-256 of `parts`, each ended by a zero byte.
pub(crate) fn short_hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}
