//! What processes tell each other about membership.

use serde::{Deserialize, Serialize};

use crate::{control::WithdrawalDigest, ids::ProcessId};

/// What a process says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The process and its run.
    #[serde(rename = "p")]
    pub process: ProcessId,
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: Box<str>,
    /// Address for the system's own traffic, `IP:PORT`.
    #[serde(rename = "a")]
    pub address: Box<str>,
    /// Whether it serves as an agent; otherwise it is an entry.
    #[serde(rename = "g")]
    pub agent: bool,
    /// Whether it takes no new work.
    #[serde(rename = "x")]
    pub draining: bool,
    /// Grows when the process changes any of these, or refutes a suspicion.
    #[serde(rename = "n")]
    pub sequence: u64,
}

/// What is known of a member; a later one in this order goes before an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// It is heard.
    Alive,
    /// It was not heard for a short time.
    Suspect,
    /// It was not heard for a long time; it may still run.
    Removed,
    /// It left in a planned stop; this run does not come back.
    Left,
}

/// A member's digest with what others know of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// What the member says.
    #[serde(rename = "m")]
    pub digest: MemberDigest,
    /// What the relays of its domain know.
    #[serde(rename = "s")]
    pub status: MemberStatus,
}

impl MemberEntry {
    /// Returns the order of news: run, then sequence, then status.
    pub(crate) fn precedence(&self) -> (u64, u64, MemberStatus) {
        (self.digest.process.incarnation, self.digest.sequence, self.status)
    }
}

/// One half of an exchange; the question and the answer have the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// The sender's run.
    #[serde(rename = "p")]
    pub from: ProcessId,
    /// Offset that the sender's configuration has to read next.
    #[serde(rename = "c")]
    pub config_next: u64,
    /// Withdrawals that the sender knows.
    #[serde(rename = "w")]
    pub withdrawals: WithdrawalDigest,
    /// The receiver's run and the version of its table that the sender has.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<(u64, u64)>,
    /// Version of the sender's table that the receiver has with `changes`.
    #[serde(rename = "v")]
    pub version: u64,
    /// Checksum of the sender's table; equal tables need no changes.
    #[serde(rename = "t")]
    pub table: u64,
    /// Whether the answer needs no changes, since the sender asks another for them.
    #[serde(rename = "b", default, skip_serializing_if = "std::ops::Not::not")]
    pub brief: bool,
    /// Members that changed since the version that the receiver had.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<MemberEntry>,
    /// Milliseconds since news of each failure domain, by hash of its name.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub ages: Vec<(u32, u32)>,
    /// Members of the sender's domain that it heard itself since its last message to this
    /// receiver, by hash of their names; only between relays of one domain.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<u32>,
}

/// A host of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHint {
    /// Name of the process on the host.
    pub name: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Address for the system's own traffic, `IP:PORT`.
    pub address: Box<str>,
}

/// A process to exchange messages with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberTarget {
    /// Name of the process.
    pub name: Box<str>,
    /// Address, `IP:PORT`.
    pub address: Box<str>,
}

/// A change of a member that others act upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A run is heard for the first time, or again.
    Alive(ProcessId),
    /// A run was not heard for a short time; send it nothing new.
    Suspected(ProcessId),
    /// A run was not heard for a long time; take it for lost.
    Removed(ProcessId),
    /// A run is over for certain: it left, or a later run of the process is heard.
    Ended(ProcessId),
}

impl MemberEvent {
    /// Returns the event of a run that now has `status`.
    pub(crate) fn new(status: MemberStatus, run: ProcessId) -> MemberEvent {
        match status {
            MemberStatus::Alive => MemberEvent::Alive(run),
            MemberStatus::Suspect => MemberEvent::Suspected(run),
            MemberStatus::Removed => MemberEvent::Removed(run),
            MemberStatus::Left => MemberEvent::Ended(run),
        }
    }
}
