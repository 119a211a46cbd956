//! Claims on idempotency keys, by replay of the `state` stream.
//!
//! The table decides which attempt of a request may run, so that the request runs at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::record::{ClaimOpened, ClaimOutcome, ClaimSettled, StateRecord};

/// Length of a claim's key, in hexadecimal digits.
const CLAIM_KEY_DIGITS: usize = 32;

/// Returns the key of a claim, which is a hash of the client account and the `Idempotency-Key`.
///
/// The hash includes the account, so that no account can reach a claim of another account.
pub fn claim_key(account: &str, idempotency_key: &str) -> Box<str> {
    let mut hasher = Sha256::new();
    hasher.update((account.len() as u64).to_be_bytes());
    hasher.update(account.as_bytes());
    hasher.update(idempotency_key.as_bytes());
    let digest = hasher.finalize();
    let mut text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    text.truncate(CLAIM_KEY_DIGITS);
    text.into()
}

/// State of one claim after a prefix of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimState {
    /// Record that opened the claim.
    pub opened: ClaimOpened,
    /// Log time at which the claim was opened, in milliseconds since 1970.
    pub at_ms: u64,
    /// Outcome of the attempt; `None` while the attempt may be running.
    #[serde(rename = "end")]
    pub outcome: Option<ClaimOutcome>,
}

/// Effect of a log record on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// The attempt holds the claim and may run.
    Opened,
    /// The outcome of the attempt was recorded.
    Settled,
    /// The record has no effect: another attempt holds the claim, or the record came too late.
    Void,
    /// The record is not about claims.
    Unrelated,
}

/// All unexpired claims after a prefix of the log.
///
/// The first claim of a key wins. If its attempt did not run, another attempt may claim the key.
/// Every other outcome is final, except that an unknown outcome may be replaced by a known one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    retention: Duration,
    log_ms: u64,
    claims: BTreeMap<Box<str>, ClaimState>,
    /// Opening time and key of each claim, oldest first.
    by_age: BTreeSet<(u64, Box<str>)>,
}

impl ClaimTable {
    /// Returns an empty table that keeps claims for `retention`, measured by the log's clock.
    pub fn new(retention: Duration) -> ClaimTable {
        ClaimTable { retention, log_ms: 0, claims: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    /// Replaces all claims by those of a snapshot taken at log time `log_ms`.
    pub fn restore(&mut self, log_ms: u64, claims: &[ClaimState]) {
        self.log_ms = log_ms;
        let keyed = |state: &ClaimState| (state.opened.key.clone(), state.clone());
        self.claims = claims.iter().map(keyed).collect();
        let aged = |state: &ClaimState| (state.at_ms, state.opened.key.clone());
        self.by_age = claims.iter().map(aged).collect();
    }

    /// Returns the highest log time seen so far, in milliseconds since 1970.
    pub fn log_ms(&self) -> u64 {
        self.log_ms
    }

    /// Returns all claims, in the order of their keys.
    pub fn claims(&self) -> impl Iterator<Item = &ClaimState> + '_ {
        self.claims.values()
    }

    /// Returns the claim of `key`, or `None` if there is none or it has expired.
    pub fn claim(&self, key: &str) -> Option<&ClaimState> {
        self.claims.get(key)
    }

    /// Applies a record with the log time `at_ms`, in milliseconds since 1970.
    pub fn apply(&mut self, at_ms: u64, record: &StateRecord) -> ClaimChange {
        self.log_ms = self.log_ms.max(at_ms);
        self.expire();
        match record {
            StateRecord::ClaimOpened(opened) => self.open(opened),
            StateRecord::ClaimSettled(settled) => self.settle(settled),
            _ => ClaimChange::Unrelated,
        }
    }

    fn open(&mut self, opened: &ClaimOpened) -> ClaimChange {
        if let Some(known) = self.claims.get(&opened.key) {
            if known.outcome != Some(ClaimOutcome::NotRun) {
                return ClaimChange::Void;
            }
            self.by_age.remove(&(known.at_ms, opened.key.clone()));
        }
        let state = ClaimState { opened: opened.clone(), at_ms: self.log_ms, outcome: None };
        self.by_age.insert((self.log_ms, opened.key.clone()));
        self.claims.insert(opened.key.clone(), state);
        ClaimChange::Opened
    }

    fn settle(&mut self, settled: &ClaimSettled) -> ClaimChange {
        let Some(known) = self.claims.get_mut(&settled.key) else { return ClaimChange::Void };
        let open = matches!(known.outcome, None | Some(ClaimOutcome::Unknown));
        if !open || known.opened.attempt != settled.attempt {
            return ClaimChange::Void;
        }
        known.outcome = Some(settled.outcome.clone());
        ClaimChange::Settled
    }

    fn expire(&mut self) {
        let retention = self.retention.as_millis() as u64;
        while self.by_age.first().is_some_and(|(at, _)| at + retention <= self.log_ms) {
            if let Some((_, key)) = self.by_age.pop_first() {
                self.claims.remove(&key);
            }
        }
    }
}
