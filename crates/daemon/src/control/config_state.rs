//! The replayed configuration and keys of one process.

use std::sync::Arc;

use pimentorock_kernel::{
    catalog::{CatalogSpec, ServiceCatalog},
    control::{ConfigReplay, KeyTable, ReplayOutcome, WithdrawalDigest},
};
use serde_json::Value;

use crate::logs::part;

/// Holds the replay of the `config` stream and the copies of its result that views share.
#[derive(Debug)]
pub(crate) struct ConfigState {
    /// Replay of the `config` stream.
    pub(crate) replay: ConfigReplay,
    /// Copy of the configuration in force.
    pub(crate) catalog: Arc<ServiceCatalog>,
    /// Copy of the table of caller keys.
    pub(crate) keys: Arc<KeyTable>,
    /// Whether the log has dropped records that no snapshot covers, so that only a peer may have
    /// them.
    pub(crate) gap: bool,
    /// Next offset and withdrawal digest of the replay when `catalog` and `keys` were copied.
    refreshed: Option<(u64, WithdrawalDigest)>,
}

impl ConfigState {
    /// Returns the empty configuration of the process `name`.
    pub(crate) fn new(name: &str) -> ConfigState {
        ConfigState {
            replay: ConfigReplay::new(compile_tree).with_name(name),
            catalog: Arc::new(ServiceCatalog::new()),
            keys: Arc::new(KeyTable::new(name)),
            gap: false,
            refreshed: None,
        }
    }

    /// Updates the shared copies of catalog and keys and reports whether they changed.
    pub(crate) fn refresh(&mut self) -> bool {
        let state = (self.replay.next_offset(), self.replay.keys().digest());
        if self.refreshed == Some(state) {
            return false;
        }
        self.refreshed = Some(state);
        let mut catalog = ServiceCatalog::clone(&self.catalog);
        catalog.apply(self.replay.revision(), self.replay.catalog().clone());
        self.catalog = Arc::new(catalog);
        self.keys = Arc::new(self.replay.keys().clone());
        true
    }
}

/// Logs the outcome of replaying the record at `offset`.
pub(crate) fn log_outcome(offset: u64, outcome: &ReplayOutcome) {
    match outcome {
        ReplayOutcome::Accepted { revision, .. } => {
            log::info!(target: part::CONTROL, "Configuration {revision} is in force.");
        }
        ReplayOutcome::Refused { change_id, reason } => {
            log::info!(target: part::CONTROL, "Change {change_id} is refused: {reason}.");
        }
        ReplayOutcome::KeyWithdrawn { hash } => {
            log::info!(target: part::CONTROL, "Key {} is withdrawn.", short(hash));
        }
        ReplayOutcome::Restored { revision } => {
            log::info!(target: part::CONTROL, "Configuration {revision} was restored from a snapshot.");
        }
        ReplayOutcome::Gap { expected } => {
            log::warn!(target: part::CONTROL, "Config records {expected} to {offset} are missing.");
        }
        ReplayOutcome::KeyCreated { .. }
        | ReplayOutcome::KeyRefused { .. }
        | ReplayOutcome::Ignored => {}
    }
}

/// Returns the prefix of a key's hash that a log line may show.
pub(crate) fn short(hash: &str) -> &str {
    hash.get(..8).unwrap_or(hash)
}

fn compile_tree(tree: &Value) -> Result<CatalogSpec, Box<str>> {
    pimentorock_settings::compile::check_tree(tree)
}
