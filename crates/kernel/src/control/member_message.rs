//! Messages of the membership protocol between processes.

use serde::{Deserialize, Serialize};

use crate::{control::WithdrawalDigest, ids::ProcessId};

/// Describes a process; only that process itself changes the description.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Name of the process and incarnation of its current run.
    #[serde(rename = "p")]
    pub process: ProcessId,
    /// Failure domain of the process.
    #[serde(rename = "d")]
    pub domain: Box<str>,
    /// Address for traffic between processes, `IP:PORT`.
    #[serde(rename = "a")]
    pub address: Box<str>,
    /// Whether the process is an agent; `false` means that it is an entry.
    #[serde(rename = "g")]
    pub agent: bool,
    /// Whether the process takes no new work.
    #[serde(rename = "x")]
    pub draining: bool,
    /// Number that the process raises when it changes another field or refutes a suspicion.
    #[serde(rename = "n")]
    pub sequence: u64,
}

/// Status of a member; for the same run and sequence the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// The member was heard recently.
    Alive,
    /// The member was not heard for [`MemberLimits::suspect_after`](crate::control::MemberLimits).
    Suspect,
    /// The member was not heard for [`MemberLimits::remove_after`](crate::control::MemberLimits);
    /// its process may still run.
    Removed,
    /// The member left in a planned stop; this run does not return.
    Left,
}

/// A member's description of itself and its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member's description of itself.
    #[serde(rename = "m")]
    pub digest: MemberDigest,
    /// Status, decided by the relays of the member's domain or set by the member itself.
    #[serde(rename = "s")]
    pub status: MemberStatus,
}

impl MemberEntry {
    /// Returns the key by which the newer of two entries of a member is found: incarnation, then
    /// sequence, then status.
    pub(crate) fn precedence(&self) -> (u64, u64, MemberStatus) {
        (self.digest.process.incarnation, self.digest.sequence, self.status)
    }
}

/// The request or the response of an exchange; both have the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// The sender and the incarnation of its current run.
    #[serde(rename = "p")]
    pub from: ProcessId,
    /// Offset of the `config` stream that the sender reads next.
    #[serde(rename = "c")]
    pub config_next: u64,
    /// Digest of the key withdrawals that the sender knows.
    #[serde(rename = "w")]
    pub withdrawals: WithdrawalDigest,
    /// Acknowledgement: the receiver's incarnation and the version of its table that the sender
    /// has. `None` if the sender has received nothing from the receiver.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<(u64, u64)>,
    /// Version of the sender's table that the receiver has once it applies `changes`.
    #[serde(rename = "v")]
    pub version: u64,
    /// Checksum of the sender's table; if it equals the receiver's, no changes have to be sent.
    #[serde(rename = "t")]
    pub table: u64,
    /// Whether the response may omit changes because the sender requests them from another
    /// relay.
    #[serde(rename = "b", default, skip_serializing_if = "std::ops::Not::not")]
    pub brief: bool,
    /// Members that changed since the version that the receiver last acknowledged.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<MemberEntry>,
    /// Hash of each failure domain's name and milliseconds since a member of it was heard.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub ages: Vec<(u32, u32)>,
    /// Hashes of the names of members of the sender's domain that contacted the sender directly
    /// since its last message to this receiver. Empty unless both are relays of one domain.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<u32>,
}

/// A host of the platform's list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHint {
    /// Name of the process on the host.
    pub name: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Address for traffic between processes, `IP:PORT`.
    pub address: Box<str>,
}

/// A process with which to exchange messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberTarget {
    /// Name of the process.
    pub name: Box<str>,
    /// Address for traffic between processes, `IP:PORT`.
    pub address: Box<str>,
}

/// A change of a member's status or run to which other components react.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A run was heard for the first time, or again after it was suspected or removed.
    Alive(ProcessId),
    /// A run is suspected to have failed; send no new work to it.
    Suspected(ProcessId),
    /// A run was removed; treat it as lost.
    Removed(ProcessId),
    /// A run has certainly ended: it left, or another run of the same process is known.
    Ended(ProcessId),
}

impl MemberEvent {
    /// Returns the event for a run whose status became `status`.
    pub(crate) fn new(status: MemberStatus, run: ProcessId) -> MemberEvent {
        match status {
            MemberStatus::Alive => MemberEvent::Alive(run),
            MemberStatus::Suspect => MemberEvent::Suspected(run),
            MemberStatus::Removed => MemberEvent::Removed(run),
            MemberStatus::Left => MemberEvent::Ended(run),
        }
    }
}
