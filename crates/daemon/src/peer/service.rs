//! The calls between processes and the types that they exchange.

use pimentorock_kernel::{
    control::{PeerFreshness, WithdrawalDigest},
    ids::ProcessId,
    record::KeyWithdrawn,
    route::EndpointDigest,
};
use serde::{Deserialize, Serialize};

use crate::{entry::entry_report::EntryReport, state::HeldAnswer};

/// State that a process reports about itself to its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerReport {
    /// Name and incarnation of the process.
    pub(crate) process: ProcessId,
    /// Role of the process: `entry` or `agent`.
    pub(crate) role: Box<str>,
    /// Address as `IP:PORT` that an entry serves callers on, or an agent serves entries on.
    pub(crate) listen: Box<str>,
    /// Digests of the endpoints that an agent serves; empty for an entry.
    pub(crate) endpoints: Vec<EndpointDigest>,
    /// Host that the process runs on.
    pub(crate) host: Box<str>,
    /// Run under which an agent counts usage; `None` if the process counts no usage.
    pub(crate) usage_run: Option<ProcessId>,
    /// Report of an entry to the other entries; `None` if the process has not published one.
    pub(crate) entry_news: Option<EntryReport>,
    /// Offset of the next configuration record that the process will replay.
    pub(crate) next_offset: u64,
    /// Revision of the settings that the process applies.
    pub(crate) revision: u64,
    /// Count and checksum of all key withdrawals that the process knows.
    pub(crate) withdrawals: WithdrawalDigest,
    /// Information from which peers judge how recent the process's list of withdrawals is.
    pub(crate) vouch: PeerFreshness,
}

/// Calls that every process serves.
#[tarpc::service]
pub(crate) trait PeerService {
    /// Returns the process's report.
    async fn report() -> PeerReport;

    /// Returns all key withdrawals that the process knows.
    async fn withdrawals() -> Vec<KeyWithdrawn>;

    /// Returns whether `holder` will never act again under the fencing number.
    async fn is_out(holder: ProcessId, fencing: u64) -> bool;

    /// Returns the answer that an entry stores under the key of an idempotency claim.
    async fn held_answer(key: Box<str>) -> Option<HeldAnswer>;

    /// Makes an agent accept no new requests for an endpoint that the platform will stop.
    async fn retire_endpoint(name: Box<str>);

    /// Adds key withdrawals that may not be in the log yet.
    async fn withdraw(withdrawn: Vec<KeyWithdrawn>);

    /// Returns the configuration as JSON if the process has replayed records past `next_offset`.
    async fn configuration(next_offset: u64) -> Option<Box<str>>;
}
