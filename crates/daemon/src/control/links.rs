//! What the control state is connected to, and how the process is called.

use std::{net::SocketAddr, sync::Arc};

use pimentorock_kernel::ids::ProcessId;
use tokio::sync::mpsc;

use crate::{
    agent::state::AgentState,
    entry::entry_report::{EntryReportCell, RouterUpdate},
    peer::ByteCount,
    state::{AnswerCache, StateKeeper},
};

/// What a process is called and where it listens.
#[derive(Clone, Debug)]
pub(crate) struct ControlIdentity {
    pub(crate) process: ProcessId,
    pub(crate) role: &'static str,
    pub(crate) host: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) listen: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// What the control state is connected to.
#[derive(Debug)]
pub(crate) struct ControlLinks {
    /// Endpoints, in an agent.
    pub(crate) agent: Option<Arc<AgentState>>,
    /// The router of an entry.
    pub(crate) router: mpsc::UnboundedSender<RouterUpdate>,
    /// What an entry tells the others.
    pub(crate) entry_report: EntryReportCell,
    /// State shared through the log.
    pub(crate) keeper: Arc<StateKeeper>,
    /// Answers kept for repeats, in an entry.
    pub(crate) answers: AnswerCache,
    /// Bytes to and from peers.
    pub(crate) peer_bytes: ByteCount,
}
