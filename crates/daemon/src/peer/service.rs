//! The calls that processes make to each other, and what they carry.

use pimentorock_kernel::{
    control::{PeerVouch, WithdrawalDigest},
    ids::ProcessId,
    record::KeyWithdrawn,
    route::EndpointDigest,
};
use serde::{Deserialize, Serialize};

use crate::{entry::entry_report::EntryReport, state::HeldAnswer};

/// What a process says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerReport {
    /// Name and run.
    pub(crate) process: ProcessId,
    /// `entry` or `agent`.
    pub(crate) role: Box<str>,
    /// `IP:PORT` for callers or entries.
    pub(crate) listen: Box<str>,
    /// Endpoints beside it.
    pub(crate) endpoints: Vec<EndpointDigest>,
    /// Host it runs on.
    pub(crate) host: Box<str>,
    /// Run of an agent that counts usage.
    pub(crate) usage_run: Option<ProcessId>,
    /// What it tells the other entries, if it is an entry.
    pub(crate) entry_news: Option<EntryReport>,
    /// Offset that its replay of the configuration takes next.
    pub(crate) next_offset: u64,
    /// Revision in force there.
    pub(crate) revision: u64,
    /// Fingerprint of all withdrawals that it knows.
    pub(crate) withdrawals: WithdrawalDigest,
    /// What it says of its own news of withdrawals.
    pub(crate) vouch: PeerVouch,
}

/// Calls that every process serves.
#[tarpc::service]
pub(crate) trait PeerService {
    /// Returns what the process says of itself.
    async fn report() -> PeerReport;

    /// Returns all withdrawals that the process knows.
    async fn withdrawals() -> Vec<KeyWithdrawn>;

    /// Returns whether `holder` is out for good under the fencing number.
    async fn is_out(holder: ProcessId, fencing: u64) -> bool;

    /// Returns the answer that an entry keeps under the key of a claim.
    async fn held_answer(key: Box<str>) -> Option<HeldAnswer>;

    /// Lets an endpoint beside an agent take no new work, since the platform will stop it.
    async fn retire_endpoint(name: Box<str>);

    /// Takes withdrawals that may not stand in the log yet.
    async fn withdraw(withdrawn: Vec<KeyWithdrawn>);

    /// Returns the configuration as JSON if the replay has come further than `next_offset`.
    async fn configuration(next_offset: u64) -> Option<Box<str>>;
}
