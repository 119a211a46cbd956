//! Records of the platform's log.
//!
//! The `config` stream holds the decisions of operators. Each process replays it and reaches the
//! same configuration, whose revision is an offset of the stream. The `state` stream holds the
//! decisions of the processes themselves, see [`StateRecord`].

mod state;

pub use self::state::{
    AccountFigures, AttemptRanges, ClaimOpened, ClaimOutcome, ClaimSettled, LeaseClaim,
    LeaseEvidence, LeaseRelease, LeaseRenewal, LeaseState, OrderIntent, OrderOutcome, OrderSettled,
    OrderVerb, StateRecord, StateSnapshot, UsageBatch, UsageCounts, UsageFence, UsageLine,
    UsageSupplement, WindowClosed, WindowReported,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Name of the log stream that holds configuration and keys.
pub const CONFIG_STREAM: &str = "config";

/// Name of the log stream that holds the decisions of the processes: leases, orders, usage and
/// claims.
pub const STATE_STREAM: &str = "state";

/// Name of the log stream that holds snapshots of the `config` stream.
///
/// Snapshots are in separate streams, so that a new process finds the latest snapshot in a stream's
/// last record.
pub const CONFIG_SNAPSHOT_STREAM: &str = "config-snapshot";

/// Name of the log stream that holds snapshots of the `state` stream.
pub const STATE_SNAPSHOT_STREAM: &str = "state-snapshot";

/// A record of the `config` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ConfigRecord {
    /// Edits of the settings tree that are accepted or refused together.
    Change(ConfigChange),
    /// A new caller key.
    KeyCreated(KeyCreated),
    /// A withdrawn caller key.
    KeyWithdrawn(KeyWithdrawn),
    /// All state of the stream up to an offset, appended before older records expire.
    Snapshot(Box<ConfigSnapshot>),
}

/// Edits of the settings tree that are accepted or refused together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Unique identifier; a change that is sent again after a lost answer keeps it.
    pub change_id: Box<str>,
    /// Revision that the operator had read before making the change.
    pub base: u64,
    /// Operator who made the change.
    pub author: Box<str>,
    /// Edits, in the order in which they are applied.
    pub edits: Vec<ConfigEdit>,
}

/// One edit of the settings tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEdit {
    /// Path such as `/teams/north/accounts/shop`.
    pub path: Box<str>,
    /// New value; `None` deletes the path.
    pub value: Option<Value>,
}

/// A new caller key, of which only the hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCreated {
    /// SHA-256 of the key, in lowercase hexadecimal digits.
    pub hash: Box<str>,
    /// Client account that the key belongs to, as `TEAM/ACCOUNT`.
    pub account: Box<str>,
    /// Label by which operators recognise the key.
    pub label: Box<str>,
}

/// A withdrawn caller key; a withdrawal is never undone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWithdrawn {
    /// SHA-256 of the key, in lowercase hexadecimal digits.
    pub hash: Box<str>,
    /// Operator who withdrew the key.
    pub author: Box<str>,
}

/// All state of the `config` stream up to an offset.
///
/// Processes send it to each other while the log is unavailable. It is also appended to the log,
/// so that a reader needs no expired record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Offset of the first record that is not part of the snapshot.
    pub next: u64,
    /// Current revision, which is the offset of the last accepted change.
    pub revision: u64,
    /// Lowest base revision that a change may have; changes with a lower base are refused.
    #[serde(rename = "floor")]
    pub oldest_base: u64,
    /// The settings tree.
    pub tree: Value,
    /// Offset of the last accepted edit of each path.
    pub paths: Vec<PathRevision>,
    /// Verdicts on changes, oldest first.
    pub verdicts: Vec<ChangeVerdict>,
    /// All keys that were ever created, including withdrawn ones.
    pub keys: Vec<KeyCreated>,
    /// All withdrawals of keys that the log contains.
    pub withdrawn: Vec<KeyWithdrawn>,
}

/// Revision at which a path of the settings tree was last edited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathRevision {
    /// Path as a JSON pointer.
    pub path: Box<str>,
    /// Offset of the accepted change that edited the path.
    pub revision: u64,
}

/// Verdict on a change; every process reaches the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeVerdict {
    /// Identifier of the change.
    pub change_id: Box<str>,
    /// Offset of the record of the change.
    pub offset: u64,
    /// Reason for which the change was refused; `None` if it was accepted.
    pub refusal: Option<ChangeRefusal>,
}

/// Reason for which a change of the configuration was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "why")]
#[non_exhaustive]
pub enum ChangeRefusal {
    /// A later accepted change edited the same part of the tree.
    #[error(
        "path \"{path}\" was changed at \"{changed}\" by revision {revision}, after base {base}"
    )]
    Conflict {
        /// Path of the refused edit.
        path: Box<str>,
        /// Path of the accepted edit.
        changed: Box<str>,
        /// Revision of the accepted edit.
        revision: u64,
        /// Base revision of the refused change.
        base: u64,
    },
    /// The base is older than the accepted changes that processes keep for comparison.
    #[error("base {base} is older than {floor}, the oldest base that can be compared")]
    BaseTooOld {
        /// Base revision of the change.
        base: u64,
        /// Lowest base revision that is accepted.
        floor: u64,
    },
    /// The base does not precede the record of the change.
    #[error("base {base} lies after the change at offset {offset}")]
    BaseAhead {
        /// Base revision of the change.
        base: u64,
        /// Offset of the record of the change.
        offset: u64,
    },
    /// A path cannot be edited.
    #[error("path \"{path}\" {problem}")]
    Path {
        /// Path of the edit.
        path: Box<str>,
        /// Problem with the path.
        problem: Box<str>,
    },
    /// The edited settings tree is invalid.
    #[error("{problem}")]
    Check {
        /// Findings of the validation.
        problem: Box<str>,
    },
}
