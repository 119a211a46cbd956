//! Immutable views of the control state, published to the traffic threads.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use pimentorock_kernel::{
    catalog::ServiceCatalog,
    control::KeyTable,
    ids::{AccountKey, ProcessId},
};

use crate::key_hash::KeyHash;

/// The agent that takes the requests for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentAddress {
    /// Run of the agent that counts usage.
    pub(crate) run: ProcessId,
    /// `IP:PORT` to which entries send requests.
    pub(crate) listen: Box<str>,
}

/// Incarnation and address from another process's last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    /// Incarnation of the process.
    pub(crate) incarnation: u64,
    /// Address for calls of peers.
    pub(crate) peer: SocketAddr,
}

/// An immutable snapshot of the control state.
#[derive(Clone, Debug)]
pub(crate) struct ControlView {
    /// The configuration in force.
    pub(crate) catalog: Arc<ServiceCatalog>,
    /// Table of caller keys.
    pub(crate) keys: Arc<KeyTable>,
    /// Live agents, by the names of their endpoints.
    pub(crate) agents: Arc<HashMap<Box<str>, AgentAddress>>,
    /// Other live processes, by name.
    pub(crate) processes: Arc<HashMap<Box<str>, PeerAddress>>,
    /// Whether the last read of the `config` stream succeeded.
    pub(crate) log_up: bool,
    /// Whether keys may be accepted, since withdrawals were confirmed recently enough.
    pub(crate) keys_confirmed: bool,
}

impl ControlView {
    /// Reports whether the given run of another process is alive.
    pub(crate) fn is_alive(&self, process: &ProcessId) -> bool {
        let known = self.processes.get(&process.name);
        known.is_some_and(|known| known.incarnation == process.incarnation)
    }

    /// Returns the account of a key, or `None` if the key or its account is unknown.
    pub(crate) fn account_of(&self, hash: &KeyHash) -> Option<AccountKey> {
        self.catalog.account(self.keys.account_of(hash.as_str())?)
    }
}

/// Holds the latest view, stored by the control thread and loaded by the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct ViewCell {
    cell: Arc<ArcSwap<ControlView>>,
}

impl ViewCell {
    /// Returns a cell with an empty view; `name` is the name of this process.
    pub(crate) fn new(name: &str) -> ViewCell {
        let view = ControlView {
            catalog: Arc::new(ServiceCatalog::new()),
            keys: Arc::new(KeyTable::new(name)),
            agents: Arc::default(),
            processes: Arc::default(),
            log_up: false,
            keys_confirmed: false,
        };
        ViewCell { cell: Arc::new(ArcSwap::from_pointee(view)) }
    }

    /// Returns the latest view.
    pub(crate) fn load(&self) -> Arc<ControlView> {
        self.cell.load_full()
    }

    /// Publishes a view.
    pub(crate) fn store(&self, view: ControlView) {
        self.cell.store(Arc::new(view));
    }
}
