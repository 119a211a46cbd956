//! The identity of a process and the handles through which control state reaches its other parts.

use std::{net::SocketAddr, sync::Arc};

use pimentorock_kernel::ids::ProcessId;
use tokio::sync::mpsc;

use crate::{
    agent::state::AgentState,
    entry::entry_report::{EntryReportCell, RouterUpdate},
    peer::ByteCount,
    state::{AnswerCache, StateReplica},
};

/// Names a process, its place and its addresses.
#[derive(Clone, Debug)]
pub(crate) struct ControlIdentity {
    /// Name and incarnation.
    pub(crate) process: ProcessId,
    /// `entry` or `agent`.
    pub(crate) role: &'static str,
    /// Host on which the process runs.
    pub(crate) host: Box<str>,
    /// Failure domain of the host.
    pub(crate) domain: Box<str>,
    /// Address for callers or entries.
    pub(crate) listen: SocketAddr,
    /// Address for calls of peers.
    pub(crate) peer: SocketAddr,
}

/// Handles from the control state to the other parts of the process.
#[derive(Debug)]
pub(crate) struct ControlHandles {
    /// State of the served endpoints; `None` in an entry.
    pub(crate) agent: Option<Arc<AgentState>>,
    /// Channel to the router; only an entry reads it.
    pub(crate) router: mpsc::UnboundedSender<RouterUpdate>,
    /// Content of the next report to the other entries; stays empty in an agent.
    pub(crate) entry_report: EntryReportCell,
    /// Replica of the `state` stream.
    pub(crate) replica: Arc<StateReplica>,
    /// Answers cached for repeated requests; stays empty in an agent.
    pub(crate) answers: AnswerCache,
    /// Counter of bytes sent to and received from peers.
    pub(crate) peer_bytes: ByteCount,
}
