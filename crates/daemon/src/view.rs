//! What the control thread tells the traffic threads.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use pimentorock_kernel::{
    catalog::ServiceCatalog,
    control::KeyTable,
    ids::{AccountKey, ProcessId},
};

use crate::key_hash::KeyHash;

/// Where requests for an endpoint go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentAddress {
    /// Run of the agent that counts usage.
    pub(crate) run: ProcessId,
    /// `IP:PORT` that takes runs.
    pub(crate) listen: Box<str>,
}

/// Another process as last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    /// Run of the process.
    pub(crate) incarnation: u64,
    /// Address for calls.
    pub(crate) peer: SocketAddr,
}

/// An immutable snapshot of control state.
#[derive(Clone, Debug)]
pub(crate) struct ControlView {
    /// The configuration in force.
    pub(crate) catalog: Arc<ServiceCatalog>,
    /// Caller keys.
    pub(crate) keys: Arc<KeyTable>,
    /// Agents by the name of the endpoint beside them.
    pub(crate) agents: Arc<HashMap<Box<str>, AgentAddress>>,
    /// Other processes that live, by name.
    pub(crate) processes: Arc<HashMap<Box<str>, PeerAddress>>,
    /// Whether the log answers.
    pub(crate) log_up: bool,
    /// Whether keys may still be accepted: somebody confirmed them lately.
    pub(crate) keys_confirmed: bool,
}

impl ControlView {
    /// Returns whether the run of another process lives.
    pub(crate) fn is_alive(&self, process: &ProcessId) -> bool {
        let known = self.processes.get(&process.name);
        known.is_some_and(|known| known.incarnation == process.incarnation)
    }

    /// Returns the account that a key's hash belongs to.
    pub(crate) fn account_of(&self, hash: &KeyHash) -> Option<AccountKey> {
        self.catalog.account(self.keys.account_of(hash.as_str())?)
    }
}

/// The cell through which views pass from the control thread to the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct ViewCell {
    cell: Arc<ArcSwap<ControlView>>,
}

impl ViewCell {
    /// Returns a cell that holds an empty view of the process `name`.
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
